//! Turns of the commands to one worker.

use std::rc::Rc;

use cj_entry::{CommandKind, CommandSlot, CommandSlots};
use cj_sched::sched::CommandWatch;
use futures::FutureExt;

/// More commands than a worker has slots.
const COMMANDS: usize = 8;

/// Takes slots until a command of this kind has to wait.
fn fill(slots: &Rc<CommandSlots>, kind: CommandKind) -> Vec<CommandSlot> {
    let next = || slots.acquire(kind, CommandWatch::always()).now_or_never().flatten();
    std::iter::from_fn(next).take(COMMANDS).collect()
}

/// Guards against stops that wait behind starts which their worker doesn't answer.
#[test]
fn stop_waits_for_no_start() {
    let slots = Rc::<CommandSlots>::default();
    let starts = fill(&slots, CommandKind::Other);
    assert!(starts.len() < COMMANDS);
    let stops = fill(&slots, CommandKind::Stop);
    assert!(!stops.is_empty(), "all slots are taken by starts");
}

/// Guards against a waiting start that gets a free slot before a stop that waits as well.
#[test]
fn stop_goes_before_a_waiting_start() {
    let slots = Rc::<CommandSlots>::default();
    let mut taken = fill(&slots, CommandKind::Other);
    taken.extend(fill(&slots, CommandKind::Stop));
    let mut start = Box::pin(slots.acquire(CommandKind::Other, CommandWatch::always()));
    let mut stop = Box::pin(slots.acquire(CommandKind::Stop, CommandWatch::always()));
    assert!(start.as_mut().now_or_never().is_none());
    assert!(stop.as_mut().now_or_never().is_none());
    taken.remove(0);
    assert!(start.as_mut().now_or_never().is_none());
    assert!(stop.as_mut().now_or_never().flatten().is_some());
}

/// Guards against slots that are lost when they are dropped or when a waiting command is given up.
#[test]
fn slots_are_free_again() {
    let slots = Rc::<CommandSlots>::default();
    let taken = fill(&slots, CommandKind::Other);
    let (count, waiting) = (taken.len(), slots.acquire(CommandKind::Other, CommandWatch::always()));
    assert!(waiting.now_or_never().is_none());
    drop(taken);
    assert_eq!(fill(&slots, CommandKind::Other).len(), count);
}
