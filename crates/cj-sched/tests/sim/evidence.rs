//! What shows that a run or a life has ended, and what doesn't.

use std::time::Duration;

use cj_sched::{
    Action, Event, StepSpec,
    record::WaveProgress,
    sched::{CommandAnswer, RunRow, VmAnswer, VmState, WaveSpec},
};
use cj_types::VmId;

use crate::{
    direct::{Bench, starts},
    world::step,
};

/// Time between two rounds of a bench, in ms.
const ROUND: u64 = 100;

fn vm(number: usize) -> VmId {
    VmId::try_from(format!("vm-{number}").as_str()).unwrap()
}

fn wave(vms: Vec<VmId>) -> WaveSpec {
    WaveSpec { number: 1, vms, duration: Duration::from_secs(30), cap: 1 }
}

/// A long task on a worker of two, and a wave that the worker's VM is due for.
struct Scene {
    bench: Bench,
    /// The worker with the task.
    at: usize,
    run: RunRow,
}

impl Scene {
    /// `called` says that an earlier owner called for the maintenance.
    fn new(called: bool) -> Self {
        let mut bench = Bench::new(&["r0", "r1"], None);
        bench.submit(1, vec![step(1, 1_000, 60_000)], None);
        let actions = bench.after(10);
        let (target, order) = starts(&actions)[0];
        let at = bench.workers.iter().position(|id| *id == target.worker).unwrap();
        bench.tell(Event::Started(
            target.worker.clone(),
            order.task,
            order.run,
            CommandAnswer::Done,
        ));
        let (task, run) = (order.task, order.run);
        let run = RunRow { task, run, checkpoint: "".into(), percent: 1, sample: 0 };
        let called = if called { vec![vm(at)] } else { Vec::new() };
        let progress = WaveProgress { requested: called, ..WaveProgress::default() };
        bench.tell(Event::Wave(wave(vec![vm(at)]), progress));
        Scene { bench, at, run }
    }

    /// Lets a round pass in which all workers are listed, and writes are durable.
    fn round(&mut self) -> Vec<Action> {
        self.run.percent = self.run.percent % 99 + 1;
        let bench = &mut self.bench;
        bench.list(self.at, vec![self.run.clone()]);
        bench.list(1 - self.at, Vec::new());
        let rows = Event::VmsListed(bench.now().mono, bench.rows.clone());
        bench.tell(rows);
        let actions = bench.after(ROUND);
        for action in &actions {
            if let Action::Write(number, _) = action {
                bench.tell(Event::Written(*number));
            }
        }
        actions
    }

    /// Rounds until the maintenance is called for.
    fn call(&mut self) {
        let called = |action: &Action| matches!(action, Action::MaintainVm(..));
        let rounds = (0..150).find(|_| self.round().iter().any(called));
        rounds.expect("the VM is called for once its limit of emptying has passed");
    }

    fn answer(&mut self, answer: VmAnswer) {
        let named = vm(self.at);
        self.bench.tell(Event::Maintained(named, 1, answer));
    }

    /// Number of starts in some rounds.
    fn starts_in(&mut self, rounds: usize) -> usize {
        (0..rounds).map(|_| starts(&self.round()).len()).sum()
    }
}

/// Guards against a task that is started a second time while it runs: the platform answers "done" for a maintenance that an
/// earlier owner called for, and the life that runs on the VM by now goes on.
#[test]
fn a_repeated_call_ends_no_life() {
    let mut scene = Scene::new(true);
    scene.call();
    scene.answer(VmAnswer::Done);
    let before_listing = scene.bench.after(ROUND);
    assert!(starts(&before_listing).is_empty());
    assert_eq!(scene.starts_in(60), 0);
}

/// Guards against tasks that wait for their lease after their VM went off: the list of VMs shows it.
#[test]
fn a_vm_that_went_off_ends_its_life() {
    let mut scene = Scene::new(false);
    scene.call();
    scene.answer(VmAnswer::Done);
    let (at, elsewhere) = (scene.at, scene.bench.workers[1 - scene.at].clone());
    scene.bench.rows[at].state = VmState::Maintenance;
    scene.bench.rows[at].worker = None;
    let rows = Event::VmsListed(scene.bench.now().mono, scene.bench.rows.clone());
    scene.bench.tell(rows);
    let actions = scene.bench.after(ROUND);
    let started = starts(&actions);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0.worker, elsewhere);
}

/// Guards against a list of VMs that was on its way when the call was answered, and tells of the time before it.
#[test]
fn an_older_list_tells_nothing_of_a_call() {
    let mut scene = Scene::new(false);
    scene.call();
    let asked = scene.bench.now().mono;
    scene.bench.ms += 5;
    scene.answer(VmAnswer::Done);
    let rows = scene.bench.rows.clone();
    scene.bench.tell(Event::VmsListed(asked, rows));
    scene.bench.submit(2, vec![step(1, 7_500, 500)], None);
    let actions = scene.bench.after(ROUND);
    let busy = scene.bench.workers[scene.at].clone();
    assert!(starts(&actions).iter().all(|(target, _)| target.worker != busy));
}

/// Guards against a VM that is emptied and called for once more after the answer to an earlier owner was lost: its state in
/// the list of VMs says that it was carried out.
#[test]
fn maintenance_that_is_seen_has_begun() {
    let mut scene = Scene::new(true);
    let at = scene.at;
    scene.bench.rows[at].state = VmState::Maintenance;
    let worker = scene.bench.rows[at].worker.take();
    let rows = Event::VmsListed(scene.bench.now().mono, scene.bench.rows.clone());
    scene.bench.tell(rows);
    let written = scene.bench.after(ROUND);
    let begun = written.iter().any(|action| match action {
        Action::Write(_, records) => records.iter().any(|record| match record {
            cj_sched::Record::Wave(1, progress) => progress.begun == [vm(at)],
            _ => false,
        }),
        _ => false,
    });
    assert!(begun, "the begin becomes durable");
    scene.bench.rows[at].state = VmState::Up;
    scene.bench.rows[at].worker = worker;
    let mut later = (0..150).flat_map(|_| scene.round());
    assert!(!later.any(|action| matches!(action, Action::MaintainVm(..))));
}

/// Guards against a VM that takes no tasks any more because a move, answered as done, had no effect on its worker.
#[test]
fn a_vm_that_stayed_takes_tasks_again() {
    let mut scene = Scene::new(false);
    scene.call();
    scene.answer(VmAnswer::Done);
    scene.round();
    scene.round();
    let large = StepSpec { spread: Some(1), ..step(2, 6_000, 500) };
    scene.bench.submit(2, vec![large], None);
    assert_eq!(scene.starts_in(40), 2, "one on each worker");
}

/// Guards against a run that is stopped as hanging because this owner reads no listings for a while: only a listing shows
/// that its progress stands still.
#[test]
fn a_run_hangs_only_if_a_listing_says_so() {
    let mut bench = Bench::new(&["r0", "r1"], None);
    bench.submit(1, vec![step(1, 1_000, 500)], None);
    let actions = bench.after(10);
    let (target, order) = starts(&actions)[0];
    let at = bench.workers.iter().position(|id| *id == target.worker).unwrap();
    bench.tell(Event::Started(target.worker.clone(), order.task, order.run, CommandAnswer::Done));
    let (task, run) = (order.task, order.run);
    let row = RunRow { task, run, checkpoint: "".into(), percent: 20, sample: 0 };
    bench.list(at, vec![row.clone()]);
    let stops = |actions: Vec<Action>| {
        actions.iter().filter(|action| matches!(action, Action::Stop(..))).count()
    };
    assert_eq!(stops(bench.after(4_000)), 0, "nothing was heard of it");
    bench.list(at, vec![row]);
    assert_eq!(stops(bench.after(100)), 1, "its progress stood still");
}
