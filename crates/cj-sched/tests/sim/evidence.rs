//! What shows that a run or a life has ended, and what doesn't.

use std::time::Duration;

use cj_sched::{
    Action, Event, StepSpec,
    record::WaveProgress,
    sched::{OrderAnswer, RunRow, VmAnswer, VmState, WaveOrder},
};
use cj_types::VmId;

use crate::{
    decisions::{Harness, starts},
    world::step,
};

/// Time between two rounds of a harness, in ms.
const ROUND_MS: u64 = 100;

fn vm(number: usize) -> VmId {
    VmId::try_from(format!("vm-{number}").as_str()).unwrap()
}

fn wave(vms: Vec<VmId>) -> WaveOrder {
    WaveOrder { number: 1, vms, duration: Duration::from_secs(30), cap: 1 }
}

/// A long task on a worker of two, and a wave that the worker's VM is due for.
struct Scenario {
    harness: Harness,
    /// The worker with the task.
    worker: usize,
    run: RunRow,
}

impl Scenario {
    /// `called` says that an earlier owner called for the maintenance.
    fn new(requested: bool) -> Self {
        let mut harness = Harness::new(&["r0", "r1"], None);
        harness.submit(1, vec![step(1, 1_000, 60_000)], None);
        let actions = harness.poll_after(10);
        let (target, command) = starts(&actions)[0];
        let worker = harness.workers.iter().position(|id| *id == target.worker).unwrap();
        harness.handle(Event::Started(
            target.worker.clone(),
            command.task,
            command.run,
            OrderAnswer::Done,
        ));
        let (task, run) = (command.task, command.run);
        let run = RunRow { task, run, saved: "".into(), percent: 1, sample: 0 };
        let called = if requested { vec![vm(worker)] } else { Vec::new() };
        let progress = WaveProgress { called, ..WaveProgress::default() };
        harness.handle(Event::Wave(wave(vec![vm(worker)]), progress));
        Scenario { harness, worker, run }
    }

    /// Lets a round pass in which all workers are listed, and writes are durable.
    fn run_round(&mut self) -> Vec<Action> {
        self.run.percent = self.run.percent % 99 + 1;
        let harness = &mut self.harness;
        harness.list_worker(self.worker, vec![self.run.clone()]);
        harness.list_worker(1 - self.worker, Vec::new());
        let rows = Event::Vms(harness.now().mono, harness.vm_rows.clone());
        harness.handle(rows);
        let actions = harness.poll_after(ROUND_MS);
        for action in &actions {
            if let Action::Write(number, _) = action {
                harness.handle(Event::Written(*number));
            }
        }
        actions
    }

    /// Rounds until the maintenance is called for.
    fn run_until_maintenance(&mut self) {
        let is_request = |action: &Action| matches!(action, Action::MaintainVm(..));
        let rounds = (0..150).find(|_| self.run_round().iter().any(is_request));
        rounds.expect("the VM is called for once its limit of emptying has passed");
    }

    fn answer_maintenance(&mut self, answer: VmAnswer) {
        let vm = vm(self.worker);
        self.harness.handle(Event::Maintained(vm, 1, answer));
    }

    /// Number of starts in some rounds.
    fn count_starts(&mut self, rounds: usize) -> usize {
        (0..rounds).map(|_| starts(&self.run_round()).len()).sum()
    }
}

/// Guards against a task that is started a second time while it runs: the platform answers "done" for a maintenance that an
/// earlier owner called for, and the life that runs on the VM by now goes on.
#[test]
fn a_repeated_maintenance_request_ends_no_incarnation() {
    let mut scenario = Scenario::new(true);
    scenario.run_until_maintenance();
    scenario.answer_maintenance(VmAnswer::Done);
    let before_listing = scenario.harness.poll_after(ROUND_MS);
    assert!(starts(&before_listing).is_empty());
    assert_eq!(scenario.count_starts(60), 0);
}

/// Guards against tasks that wait for their lease after their VM went off: the list of VMs shows it.
#[test]
fn a_vm_in_maintenance_ends_its_incarnation() {
    let mut scenario = Scenario::new(false);
    scenario.run_until_maintenance();
    scenario.answer_maintenance(VmAnswer::Done);
    let (worker, other) = (scenario.worker, scenario.harness.workers[1 - scenario.worker].clone());
    scenario.harness.vm_rows[worker].state = VmState::Maintenance;
    scenario.harness.vm_rows[worker].worker = None;
    let rows = Event::Vms(scenario.harness.now().mono, scenario.harness.vm_rows.clone());
    scenario.harness.handle(rows);
    let actions = scenario.harness.poll_after(ROUND_MS);
    let started = starts(&actions);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0.worker, other);
}

/// Guards against a list of VMs that was on its way when the call was answered, and tells of the time before it.
#[test]
fn an_older_vm_list_does_not_confirm_maintenance() {
    let mut scenario = Scenario::new(false);
    scenario.run_until_maintenance();
    let listed_at = scenario.harness.now().mono;
    scenario.harness.elapsed_ms += 5;
    scenario.answer_maintenance(VmAnswer::Done);
    let rows = scenario.harness.vm_rows.clone();
    scenario.harness.handle(Event::Vms(listed_at, rows));
    scenario.harness.submit(2, vec![step(1, 7_500, 500)], None);
    let actions = scenario.harness.poll_after(ROUND_MS);
    let busy = scenario.harness.workers[scenario.worker].clone();
    assert!(starts(&actions).iter().all(|(target, _)| target.worker != busy));
}

/// Guards against a VM that is emptied and called for once more after the answer to an earlier owner was lost: its state in
/// the list of VMs says that it was carried out.
#[test]
fn maintenance_in_the_vm_list_is_recorded_as_begun() {
    let mut scenario = Scenario::new(true);
    let worker = scenario.worker;
    scenario.harness.vm_rows[worker].state = VmState::Maintenance;
    let worker_id = scenario.harness.vm_rows[worker].worker.take();
    let rows = Event::Vms(scenario.harness.now().mono, scenario.harness.vm_rows.clone());
    scenario.harness.handle(rows);
    let actions = scenario.harness.poll_after(ROUND_MS);
    let begun = actions.iter().any(|action| match action {
        Action::Write(_, records) => records.iter().any(|record| match record {
            cj_sched::Record::Wave(1, progress) => progress.begun == [vm(worker)],
            _ => false,
        }),
        _ => false,
    });
    assert!(begun, "the begin becomes durable");
    scenario.harness.vm_rows[worker].state = VmState::Up;
    scenario.harness.vm_rows[worker].worker = worker_id;
    let mut later = (0..150).flat_map(|_| scenario.run_round());
    assert!(!later.any(|action| matches!(action, Action::MaintainVm(..))));
}

/// Guards against a VM that takes no tasks any more because a move, answered as done, had no effect on its worker.
#[test]
fn a_vm_that_stayed_up_accepts_tasks_again() {
    let mut scenario = Scenario::new(false);
    scenario.run_until_maintenance();
    scenario.answer_maintenance(VmAnswer::Done);
    scenario.run_round();
    scenario.run_round();
    let large = StepSpec { spread: Some(1), ..step(2, 6_000, 500) };
    scenario.harness.submit(2, vec![large], None);
    assert_eq!(scenario.count_starts(40), 2, "one on each worker");
}

/// Guards against a run that is stopped as hanging because this owner reads no listings for a while: only a listing shows
/// that its progress stands still.
#[test]
fn a_run_is_hung_only_if_a_listing_shows_no_progress() {
    let mut harness = Harness::new(&["r0", "r1"], None);
    harness.submit(1, vec![step(1, 1_000, 500)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let worker = harness.workers.iter().position(|id| *id == target.worker).unwrap();
    harness.handle(Event::Started(
        target.worker.clone(),
        command.task,
        command.run,
        OrderAnswer::Done,
    ));
    let (task, run) = (command.task, command.run);
    let row = RunRow { task, run, saved: "".into(), percent: 20, sample: 0 };
    harness.list_worker(worker, vec![row.clone()]);
    let stops = |actions: Vec<Action>| {
        actions.iter().filter(|action| matches!(action, Action::Stop(..))).count()
    };
    assert_eq!(stops(harness.poll_after(4_000)), 0, "nothing was heard of it");
    harness.list_worker(worker, vec![row]);
    assert_eq!(stops(harness.poll_after(100)), 1, "its progress stood still");
}
