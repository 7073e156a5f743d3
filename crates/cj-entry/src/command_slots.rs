//! Limits the commands in flight to one worker, and decides which of those that wait goes next.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use cj_sched::sched::CommandWatch;
use tokio::sync::oneshot;

/// Maximum number of commands in flight to one worker, without listings; each takes a connection.
const MAX_COMMANDS: usize = 4;

/// Maximum number of them that are no stops, so that a stop never waits for the answers to starts.
const MAX_OTHER_COMMANDS: usize = 3;

/// Kind of a command, which determines its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// A stop; it goes before all others.
    Stop,
    /// A start or a pace.
    Other,
}

/// The command slots of one worker.
#[derive(Default)]
pub struct CommandSlots {
    /// Number of commands in flight.
    used: Cell<usize>,
    /// Number of them that are no stops.
    used_by_others: Cell<usize>,
    stops: RefCell<VecDeque<Waiting>>,
    others: RefCell<VecDeque<Waiting>>,
}

/// A command that waits for a slot.
struct Waiting {
    watch: CommandWatch,
    grant: oneshot::Sender<()>,
}

/// A slot, which is free again when this is dropped.
pub struct CommandSlot {
    slots: Rc<CommandSlots>,
    kind: CommandKind,
}

impl Drop for CommandSlot {
    fn drop(&mut self) {
        self.slots.release(self.kind);
        self.slots.grant();
    }
}

impl CommandSlots {
    /// Waits for a slot; `None` if the command was withdrawn before it got one.
    pub async fn acquire(
        self: &Rc<Self>,
        kind: CommandKind,
        watch: CommandWatch,
    ) -> Option<CommandSlot> {
        let (grant, granted) = oneshot::channel();
        let queue = match kind {
            CommandKind::Stop => &self.stops,
            CommandKind::Other => &self.others,
        };
        queue.borrow_mut().push_back(Waiting { watch, grant });
        self.grant();
        granted.await.ok()?;
        Some(CommandSlot { slots: self.clone(), kind })
    }

    /// Gives free slots to waiting commands, and lets go of those at the head of a queue that were withdrawn.
    fn grant(&self) {
        while let Some(waiting) = pop(&self.stops, self.used.get() < MAX_COMMANDS) {
            self.give(waiting, CommandKind::Stop);
        }
        while let Some(waiting) = pop(&self.others, self.has_slot_for_others()) {
            self.give(waiting, CommandKind::Other);
        }
    }

    fn has_slot_for_others(&self) -> bool {
        self.used.get() < MAX_COMMANDS && self.used_by_others.get() < MAX_OTHER_COMMANDS
    }

    fn give(&self, waiting: Waiting, kind: CommandKind) {
        self.used.set(self.used.get() + 1);
        if kind == CommandKind::Other {
            self.used_by_others.set(self.used_by_others.get() + 1);
        }
        if waiting.grant.send(()).is_err() {
            self.release(kind);
        }
    }

    fn release(&self, kind: CommandKind) {
        self.used.set(self.used.get() - 1);
        if kind == CommandKind::Other {
            self.used_by_others.set(self.used_by_others.get() - 1);
        }
    }
}

/// Takes the next command from a queue if a slot is free. Withdrawn ones before it are dropped, which ends their wait.
fn pop(queue: &RefCell<VecDeque<Waiting>>, free: bool) -> Option<Waiting> {
    let mut queue = queue.borrow_mut();
    while queue.front().is_some_and(|waiting| !waiting.watch.is_wanted()) {
        queue.pop_front();
    }
    if free { queue.pop_front() } else { None }
}
