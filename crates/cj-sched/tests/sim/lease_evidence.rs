//! What the end of a lease proves while the owner may have been replaced.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Action, Event, JobIndex, JobKey,
    sched::{CommandAnswer, Limits, ListAnswer, OwnershipLease, RunRow, StartCommand, Target},
};

use crate::{
    decisions::{Harness, starts, submission},
    world::step,
};

/// Time after the last heartbeat in which an owner sends commands.
const COMMAND_TIME: Duration = Duration::from_secs(7);

/// Longest time for which the owner of a test is cut off, longer than every lease.
const CUT_TIME: Duration = Duration::from_secs(9);

/// Interval between two polls of the owner, in ms.
const POLL_INTERVAL_MS: u64 = 50;

/// An owner that reaches neither the store nor the worker of its only run. It reaches all other workers.
struct CutOwner {
    harness: Harness,
    worker: usize,
    last_heartbeat: Instant,
}

impl CutOwner {
    fn new(start: &(Target, StartCommand), mut harness: Harness) -> Self {
        let worker = harness.workers.iter().position(|id| *id == start.0.worker).unwrap();
        let run = RunRow {
            task: start.1.task,
            run: start.1.run,
            checkpoint: "".into(),
            percent: 1,
            sample: 0,
        };
        harness.list_worker(worker, vec![run]);
        harness.poll_after(POLL_INTERVAL_MS);
        let last_heartbeat = harness.now().mono;
        CutOwner { harness, worker, last_heartbeat }
    }

    /// Polls the owner once more, with a lease from its last heartbeat.
    fn poll(&mut self) -> Vec<Action> {
        let harness = &mut self.harness;
        harness.elapsed_ms += POLL_INTERVAL_MS;
        let now = harness.now();
        harness.scheduler.set_ownership(OwnershipLease::from_heartbeat(self.last_heartbeat));
        let id = harness.workers[self.worker].clone();
        harness.handle(Event::Listed(id, now.mono, ListAnswer::Unanswered));
        for worker in (0..harness.workers.len()).filter(|worker| *worker != self.worker) {
            harness.list_worker(worker, Vec::new());
        }
        harness.scheduler.poll(now)
    }

    fn silence(&self) -> Duration {
        self.harness.now().mono - self.last_heartbeat
    }

    /// Time since the last heartbeat at which the owner starts a task, if it does within [`CUT_TIME`].
    fn first_start(&mut self) -> Option<Duration> {
        while self.silence() < CUT_TIME {
            if !starts(&self.poll()).is_empty() {
                return Some(self.silence());
            }
        }
        None
    }
}

fn owned_start(actions: &[Action]) -> (Target, StartCommand) {
    let found = starts(actions);
    let (target, command) = found.first().expect("a task is started");
    ((*target).clone(), (*command).clone())
}

/// An owner with two workers and a run of a task on one of them.
fn cut_owner() -> CutOwner {
    let mut harness = Harness::new(&["r0", "r1"], None);
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let start = owned_start(&harness.poll_after(10));
    let (target, command) = &start;
    let answer = CommandAnswer::Done;
    harness.handle(Event::Started(target.worker.clone(), command.task, command.run, answer));
    CutOwner::new(&start, harness)
}

/// Guards against a replaced owner that starts a task whose run the next owner keeps under its own leases.
#[test]
fn replaced_owner_starts_no_task_that_the_next_owner_keeps() {
    assert_eq!(cut_owner().first_start(), None);
}

/// Guards against tasks of lost workers that stay where they are after an outage of the store in which nobody took over.
#[test]
fn lapsed_run_starts_again_once_the_ownership_is_confirmed() {
    let mut owner = cut_owner();
    while owner.silence() < COMMAND_TIME {
        assert!(starts(&owner.poll()).is_empty());
    }
    owner.last_heartbeat = owner.harness.now().mono;
    let started = owner.first_start().expect("the task is started again");
    assert!(started < Duration::from_secs(1), "started after {started:?}");
}

/// Guards against a replaced owner that takes leases of earlier owners for ended although the next one has extended them.
#[test]
fn replaced_owner_starts_no_task_on_the_word_of_its_lease_horizon() {
    let horizon = Duration::from_secs(3);
    let mut harness = Harness::unlisted(&JobIndex::default(), &["r0", "r1"], None, horizon);
    let submission = Rc::new(submission(vec![step(1, 1_000, 60_000)], None));
    let (job, recorded) = (JobKey(1), Vec::new());
    harness.handle(Event::Submitted { job, submission, fresh: false, recorded });
    // The leases of earlier owners end about 3 s after the last heartbeat.
    let longest = Limits::default().max_lease;
    while harness.now().mono < harness.start + longest {
        harness.list_worker(0, Vec::new());
        assert!(starts(&harness.poll_after(POLL_INTERVAL_MS)).is_empty());
    }
    let last_heartbeat = harness.now().mono;
    let mut owner = CutOwner { harness, worker: 1, last_heartbeat };
    assert_eq!(owner.first_start(), None);
}
