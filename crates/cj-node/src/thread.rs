//! A node on a thread of its own, for demonstrations and tests: it can be killed and paused as a process can.

use std::{
    thread::{self, JoinHandle},
    time::Duration,
};

use tokio::sync::{mpsc, oneshot};

use cj_log::HttpLog;
use cj_settings::NodeSettings;
use cj_types::{Error, ErrorKind, Result, SystemClock};

use crate::node::{Addresses, Node};

enum Command {
    Kill,
    Pause(Duration),
    Stop(oneshot::Sender<()>),
}

/// Handle of a node on a thread of its own. Dropping it kills the node.
pub struct NodeThread {
    addresses: Addresses,
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl NodeThread {
    /// Starts a node and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Those of [`Node::start`].
    pub async fn start(settings: NodeSettings) -> Result<Self> {
        let (commands, received) = mpsc::unbounded_channel();
        let (ready, started) = oneshot::channel();
        let name = settings.node.to_string();
        let spawned = thread::Builder::new().name(name).spawn(move || {
            actix_rt::System::new().block_on(run(settings, received, ready));
        });
        let thread = spawned.map_err(|e| failed(&format!("cannot start a thread: {e}")))?;
        let addresses = started.await.unwrap_or_else(|_| Err(failed("the node's thread ended")))?;
        Ok(NodeThread { addresses, commands, thread: Some(thread) })
    }

    /// Addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Ends the node at once: nothing is finished, announced or flushed.
    pub fn kill(&self) {
        let _ = self.commands.send(Command::Kill);
    }

    /// Halts everything that the node does for some time.
    pub fn pause(&self, time: Duration) {
        let _ = self.commands.send(Command::Pause(time));
    }

    /// Shuts the node down gracefully.
    pub async fn stop(mut self) {
        let (done, stopped) = oneshot::channel();
        let _ = self.commands.send(Command::Stop(done));
        let _ = stopped.await;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for NodeThread {
    fn drop(&mut self) {
        self.kill();
    }
}

fn failed(problem: &str) -> Error {
    Error::new(
        ErrorKind::Failed(problem.into()),
        "check the limits of the process and the node's log lines",
    )
}

async fn run(
    settings: NodeSettings,
    mut commands: mpsc::UnboundedReceiver<Command>,
    ready: oneshot::Sender<Result<Addresses>>,
) {
    let started = async {
        let log = HttpLog::new(&settings.log_address.to_string())?;
        Node::start(settings, log, SystemClock).await
    };
    let node = match started.await {
        Ok(node) => node,
        Err(e) => {
            let _ = ready.send(Err(e));
            return;
        }
    };
    let _ = ready.send(Ok(node.addresses()));
    while let Some(command) = commands.recv().await {
        match command {
            Command::Kill => return,
            // Blocks the thread, and with it every task of the node.
            Command::Pause(time) => thread::sleep(time),
            Command::Stop(done) => {
                node.stop().await;
                let _ = done.send(());
                return;
            }
        }
    }
}
