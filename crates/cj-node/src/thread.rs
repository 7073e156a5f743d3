//! Runs a node on a thread of its own, for demonstrations and tests. It can be killed and paused like a process.

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

/// Handle of a node that runs on a thread of its own. Dropping it kills the node.
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
        let (commands, command_rx) = mpsc::unbounded_channel();
        let (ready_tx, ready_rx) = oneshot::channel();
        let name = settings.node.to_string();
        let spawned = thread::Builder::new().name(name).spawn(move || {
            actix_rt::System::new().block_on(run(settings, command_rx, ready_tx));
        });
        let thread = spawned.map_err(|e| thread_error(&format!("cannot start a thread: {e}")))?;
        let addresses = ready_rx.await.unwrap_or_else(|_| {
            Err(thread_error("the node's thread ended before the node was ready"))
        })?;
        Ok(NodeThread { addresses, commands, thread: Some(thread) })
    }

    /// Addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Ends the node at once, without finishing requests, telling the peers or flushing anything.
    pub fn kill(&self) {
        let _ = self.commands.send(Command::Kill);
    }

    /// Blocks all tasks of the node for the given time.
    pub fn pause(&self, duration: Duration) {
        let _ = self.commands.send(Command::Pause(duration));
    }

    /// Shuts the node down gracefully.
    pub async fn stop(mut self) {
        let (done_tx, done_rx) = oneshot::channel();
        let _ = self.commands.send(Command::Stop(done_tx));
        let _ = done_rx.await;
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

fn thread_error(problem: &str) -> Error {
    Error::new(
        ErrorKind::Failed(problem.into()),
        "check the limits of the process and the node's log lines",
    )
}

async fn run(
    settings: NodeSettings,
    mut commands: mpsc::UnboundedReceiver<Command>,
    ready_tx: oneshot::Sender<Result<Addresses>>,
) {
    let started = async {
        let log = HttpLog::new(&settings.log_address.to_string())?;
        Node::start(settings, log, SystemClock).await
    };
    let node = match started.await {
        Ok(node) => node,
        Err(e) => {
            let _ = ready_tx.send(Err(e));
            return;
        }
    };
    let _ = ready_tx.send(Ok(node.addresses()));
    while let Some(command) = commands.recv().await {
        match command {
            Command::Kill => return,
            // All tasks of the node run on this thread, so this blocks every one of them.
            Command::Pause(duration) => thread::sleep(duration),
            Command::Stop(done_tx) => {
                node.stop().await;
                let _ = done_tx.send(());
                return;
            }
        }
    }
}
