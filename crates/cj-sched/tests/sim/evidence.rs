//! Which observations count as evidence that a run or an incarnation of a worker has ended, and which don't.

use std::{rc::Rc, time::Duration};

use cj_sched::{
    Action, Event, Pool, Record, StepSpec,
    record::WaveProgress,
    sched::{CommandAnswer, ListAnswer, Listing, RunRow, VmAnswer, VmState, WaveSpec, WorkerId},
};
use cj_types::VmId;

use crate::{
    decisions::{Harness, config, starts},
    world::{service, step},
};

/// Time between two rounds of listings, in ms.
const ROUND_MS: u64 = 100;

fn vm(number: usize) -> VmId {
    VmId::try_from(format!("vm-{number}").as_str()).unwrap()
}

fn wave(vms: Vec<VmId>) -> WaveSpec {
    WaveSpec { number: 1, vms, duration: Duration::from_secs(30), cap: 1 }
}

/// A finite task of 60 s on one of two workers, and a maintenance wave over the VM of that worker.
struct Scenario {
    harness: Harness,
    /// Index of the worker with the task.
    worker: usize,
    run: RunRow,
}

impl Scenario {
    /// `requested` means that an earlier owner requested the maintenance already.
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
            CommandAnswer::Done,
        ));
        let (task, run) = (command.task, command.run);
        let run = RunRow { task, run, checkpoint: "".into(), percent: 1, sample: 0 };
        let requested_vms = if requested { vec![vm(worker)] } else { Vec::new() };
        let progress = WaveProgress { requested: requested_vms, ..WaveProgress::default() };
        harness.handle(Event::Wave(wave(vec![vm(worker)]), progress));
        Scenario { harness, worker, run }
    }

    /// Lists all workers and VMs, advances time by a round, and confirms the writes.
    fn run_round(&mut self) -> Vec<Action> {
        self.run.percent = self.run.percent % 99 + 1;
        let harness = &mut self.harness;
        harness.list_worker(self.worker, vec![self.run.clone()]);
        harness.list_worker(1 - self.worker, Vec::new());
        let rows = Event::VmsListed(harness.now().mono, harness.vm_rows.clone());
        harness.handle(rows);
        let actions = harness.poll_after(ROUND_MS);
        for action in &actions {
            if let Action::Write(number, _) = action {
                harness.handle(Event::Written(*number));
            }
        }
        actions
    }

    /// Runs rounds until the scheduler requests the maintenance.
    fn run_until_maintenance(&mut self) {
        let is_request = |action: &Action| matches!(action, Action::MaintainVm(..));
        let rounds = (0..150).find(|_| self.run_round().iter().any(is_request));
        rounds.expect("maintenance is requested once the drain limit has passed");
    }

    /// Answers the maintenance request.
    fn answer_maintenance(&mut self, answer: VmAnswer) {
        let vm = vm(self.worker);
        self.harness.handle(Event::Maintained(vm, 1, answer));
    }

    /// Number of starts in this many rounds.
    fn count_starts(&mut self, rounds: usize) -> usize {
        (0..rounds).map(|_| starts(&self.run_round()).len()).sum()
    }
}

/// Guards against starting a task a second time while it runs. The platform answers "done" for maintenance that an earlier owner
/// requested, while the current incarnation of the worker keeps running on the VM.
#[test]
fn a_repeated_maintenance_request_ends_no_incarnation() {
    let mut scenario = Scenario::new(true);
    scenario.run_until_maintenance();
    scenario.answer_maintenance(VmAnswer::Done);
    let before_listing = scenario.harness.poll_after(ROUND_MS);
    assert!(starts(&before_listing).is_empty());
    assert_eq!(scenario.count_starts(60), 0);
}

/// Guards against tasks that wait for the end of their lease although the list of VMs shows that their VM is off.
#[test]
fn a_vm_in_maintenance_ends_its_incarnation() {
    let mut scenario = Scenario::new(false);
    scenario.run_until_maintenance();
    scenario.answer_maintenance(VmAnswer::Done);
    let (worker, other) = (scenario.worker, scenario.harness.workers[1 - scenario.worker].clone());
    scenario.harness.vm_rows[worker].state = VmState::Maintenance;
    scenario.harness.vm_rows[worker].worker = None;
    let rows = Event::VmsListed(scenario.harness.now().mono, scenario.harness.vm_rows.clone());
    scenario.harness.handle(rows);
    let actions = scenario.harness.poll_after(ROUND_MS);
    let started = starts(&actions);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0.worker, other);
}

/// Guards against a list of VMs from before the answer to the maintenance request: it was in flight when the answer arrived, and
/// still shows the VM as up.
#[test]
fn an_older_vm_list_does_not_confirm_maintenance() {
    let mut scenario = Scenario::new(false);
    scenario.run_until_maintenance();
    let listed_at = scenario.harness.now().mono;
    scenario.harness.elapsed_ms += 5;
    scenario.answer_maintenance(VmAnswer::Done);
    let rows = scenario.harness.vm_rows.clone();
    scenario.harness.handle(Event::VmsListed(listed_at, rows));
    scenario.harness.submit(2, vec![step(1, 7_500, 500)], None);
    let actions = scenario.harness.poll_after(ROUND_MS);
    let busy = scenario.harness.workers[scenario.worker].clone();
    assert!(starts(&actions).iter().all(|(target, _)| target.worker != busy));
}

/// True if one of the actions records that the maintenance of this VM has begun.
fn records_begun(actions: &[Action], vm: &VmId) -> bool {
    let is_begun = |record: &Record| match record {
        Record::Wave(1, progress) => progress.begun.contains(vm),
        _ => false,
    };
    actions.iter().any(|action| match action {
        Action::Write(_, records) => records.iter().any(is_begun),
        _ => false,
    })
}

/// Guards against draining a VM a second time after the answer to its maintenance command was lost, and against maintenance that counts
/// as begun because the list of VMs shows some maintenance: the answer to the repeated command tells whether it is for this wave.
#[test]
fn maintenance_in_the_vm_list_is_confirmed_by_a_repeated_command() {
    for by_earlier_owner in [true, false] {
        let mut scenario = Scenario::new(by_earlier_owner);
        if !by_earlier_owner {
            scenario.run_until_maintenance();
            scenario.answer_maintenance(VmAnswer::Unanswered);
        }
        let worker = scenario.worker;
        scenario.harness.vm_rows[worker].state = VmState::Maintenance;
        let worker_id = scenario.harness.vm_rows[worker].worker.take();
        let is_request = |action: &Action| matches!(action, Action::MaintainVm(..));
        let mut off = (0..15).map(|_| scenario.run_round());
        let repeated = off.find(|actions| {
            assert!(!records_begun(actions, &vm(worker)), "no answer tells for which wave it is");
            actions.iter().any(is_request)
        });
        assert!(repeated.is_some(), "the command is repeated while the VM is off");
        scenario.answer_maintenance(VmAnswer::Done);
        assert!(records_begun(&scenario.run_round(), &vm(worker)));
        scenario.harness.vm_rows[worker].state = VmState::Up;
        scenario.harness.vm_rows[worker].worker = worker_id;
        scenario.answer_maintenance(VmAnswer::NotUp);
        let mut later = (0..150).flat_map(|_| scenario.run_round());
        assert!(!later.any(|action| is_request(&action)));
    }
}

/// Guards against a wave that is reported as completed after a refusal that doesn't say that the VM isn't part of it, and against a VM
/// that gets no more tasks after one that does.
#[test]
fn only_a_refusal_that_names_the_wave_excludes_a_vm_from_it() {
    for (answer, completes) in [(VmAnswer::Invalid, false), (VmAnswer::NotInWave, true)] {
        let mut scenario = Scenario::new(false);
        scenario.run_until_maintenance();
        scenario.answer_maintenance(answer);
        let is_report =
            |action: &Action| matches!(action, Action::ReportWave { completed: true, .. });
        assert_eq!(scenario.run_round().iter().any(is_report), completes, "{answer:?}");
        let large = StepSpec { spread: Some(1), ..step(2, 6_000, 500) };
        scenario.harness.submit(2, vec![large], None);
        assert_eq!(scenario.count_starts(40), if completes { 2 } else { 1 }, "{answer:?}");
    }
}

/// Guards against a VM that gets no more tasks because its maintenance was answered as done but had no effect on its worker.
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

/// Guards against stopping a run as hung because its owner received no listings for a while. Only a listing shows that a run makes
/// no progress.
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
        CommandAnswer::Done,
    ));
    let (task, run) = (command.task, command.run);
    let row = RunRow { task, run, checkpoint: "".into(), percent: 20, sample: 0 };
    harness.list_worker(worker, vec![row.clone()]);
    let stops = |actions: Vec<Action>| {
        actions.iter().filter(|action| matches!(action, Action::Stop(..))).count()
    };
    assert_eq!(stops(harness.poll_after(4_000)), 0, "no listing was received");
    harness.list_worker(worker, vec![row]);
    assert_eq!(stops(harness.poll_after(100)), 1, "a listing shows no progress");
}

/// A worker that runs a task and has missed a listing, beside a free one. Returns its number.
fn unresponsive_worker(harness: &mut Harness) -> usize {
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let done = CommandAnswer::Done;
    harness.handle(Event::Started(target.worker.clone(), command.task, command.run, done));
    let worker = harness.workers.iter().position(|id| *id == target.worker).unwrap();
    harness.poll_after(1_000);
    let run = RunRow {
        task: command.task,
        run: command.run,
        checkpoint: "".into(),
        percent: 1,
        sample: 0,
    };
    harness.list_worker(worker, vec![run]);
    let (id, sent) = (harness.workers[worker].clone(), harness.now().mono);
    harness.handle(Event::Listed(id, sent, ListAnswer::Unanswered));
    worker
}

/// Guards against a task that runs twice because a list of VMs, which is read in pages, lacks the VM of its worker.
#[test]
fn one_list_of_vms_without_the_vm_of_a_worker_does_not_end_its_runs() {
    let mut harness = Harness::new(&["r0", "r0"], None);
    let worker = unresponsive_worker(&mut harness);
    let mut rows = harness.vm_rows.clone();
    rows.remove(worker);
    harness.handle(Event::VmsListed(harness.now().mono, rows.clone()));
    assert!(starts(&harness.poll_after(600)).is_empty());
    harness.handle(Event::VmsListed(harness.now().mono, rows));
    assert_eq!(starts(&harness.poll_after(100)).len(), 1, "two lists in a row lack it");
}

/// Guards against a wave that is reported as completed because a list of VMs, which is read in pages, lacks a VM by mistake.
#[test]
fn one_list_of_vms_without_a_vm_does_not_complete_its_wave() {
    let mut harness = Harness::new(&["r0", "r0"], None);
    harness.list_all();
    harness.handle(Event::Wave(wave(vec![vm(1)]), WaveProgress::default()));
    let mut completed_after = |lists: usize| {
        let is_report =
            |action: &Action| matches!(action, Action::ReportWave { completed: true, .. });
        (0..lists).any(|_| {
            let rows = harness.vm_rows[..1].to_vec();
            harness.handle(Event::VmsListed(harness.now().mono, rows));
            harness.poll_after(ROUND_MS).iter().any(is_report)
        })
    };
    assert!(!completed_after(1));
    assert!(completed_after(2), "two lists in a row lack it");
}

/// Guards against a task that runs twice: the platform answers "done" for earlier maintenance, the worker goes on, and the next list
/// of VMs lacks its VM by mistake.
#[test]
fn one_list_of_vms_without_a_vm_does_not_confirm_its_maintenance() {
    let mut scenario = Scenario::new(true);
    scenario.run_until_maintenance();
    scenario.answer_maintenance(VmAnswer::Done);
    let mut rows = scenario.harness.vm_rows.clone();
    rows.remove(scenario.worker);
    scenario.harness.handle(Event::VmsListed(scenario.harness.now().mono, rows));
    assert!(starts(&scenario.harness.poll_after(ROUND_MS)).is_empty());
    assert_eq!(scenario.count_starts(60), 0);
}

/// Guards against maintenance that ends tasks, because a list of VMs lacks by mistake the VM on which they run.
#[test]
fn one_list_of_vms_without_a_vm_does_not_end_its_drain() {
    let mut scenario = Scenario::new(false);
    // The owner requests maintenance from 1 s after its takeover on.
    for _ in 0..15 {
        scenario.run_round();
    }
    let mut rows = scenario.harness.vm_rows.clone();
    rows.remove(scenario.worker);
    scenario.harness.handle(Event::VmsListed(scenario.harness.now().mono, rows));
    let actions = scenario.harness.poll_after(ROUND_MS);
    let is_request = |record: &Record| matches!(record, Record::Wave(..));
    let requests = |action: &Action| match action {
        Action::Write(_, records) => records.iter().any(is_request),
        _ => false,
    };
    assert!(!actions.iter().any(requests), "its task is far from its end");
}

/// Guards against tasks of a lost worker that wait although a list of VMs shows that another one runs on its VM.
#[test]
fn a_list_of_vms_with_another_worker_on_the_vm_ends_the_runs_at_once() {
    let mut harness = Harness::new(&["r0", "r0"], None);
    let worker = unresponsive_worker(&mut harness);
    let mut rows = harness.vm_rows.clone();
    rows[worker].worker = Some(WorkerId("next".into()));
    harness.handle(Event::VmsListed(harness.now().mono, rows));
    assert_eq!(starts(&harness.poll_after(100)).len(), 1);
}

/// Guards against a move that ends tasks: its first command goes unanswered, the worker restarts and gets a task, and the command is
/// repeated.
#[test]
fn a_move_is_not_repeated_once_tasks_run_on_the_vm() {
    let mut harness = Harness::new(&["r0"; 4], None);
    let mut with_spare = (*config(None)).clone();
    with_spare.pools.insert(service("spare"), Pool { rejects_overload: true, spare: true });
    harness.handle(Event::Config(Rc::new(with_spare)));
    let moved = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::MoveVm(vm, ..) => Some(vm.clone()),
            _ => None,
        })
    };
    let vm = loop {
        harness.list_all();
        if let Some(vm) = moved(&harness.poll_after(100)) {
            break vm;
        }
        assert!(harness.elapsed_ms < 5_000, "no idle VM moves");
    };
    harness.handle(Event::Moved(vm.clone(), service("spare"), VmAnswer::Unanswered));
    let worker = harness.vm_rows.iter().position(|row| row.vm == vm).unwrap();
    harness.register_start(worker, 2);
    harness.list_started(worker, 2);
    harness.submit(1, vec![StepSpec { spread: Some(1), ..step(4, 1_000, 60_000) }], None);
    let actions = harness.poll_after(10);
    let started = starts(&actions).iter().any(|(to, _)| to.worker == harness.workers[worker]);
    for _ in 0..30 {
        let again = moved(&harness.poll_after(100)) == Some(vm.clone());
        assert!(!(started && again), "{vm} is moved although a task runs there");
    }
}

/// Guards against a task that runs twice: a list of VMs was requested while the worker was down, and arrives once it has started
/// anew, got a task and missed a listing.
#[test]
fn a_list_of_vms_from_before_an_incarnation_does_not_end_it() {
    let mut harness = Harness::new(&["r0"], None);
    harness.poll_after(1_000);
    let requested_at = harness.now().mono;
    let mut rows = harness.vm_rows.clone();
    rows[0].state = VmState::Down;
    harness.poll_after(500);
    harness.register_start(0, 2);
    harness.list_started(0, 2);
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let done = CommandAnswer::Done;
    harness.handle(Event::Started(target.worker.clone(), command.task, command.run, done));
    harness.poll_after(600);
    let run = RunRow {
        task: command.task,
        run: command.run,
        checkpoint: "".into(),
        percent: 1,
        sample: 0,
    };
    let listing = Listing {
        started_at: Some(2),
        clock: 1_000 + harness.elapsed_ms,
        running: vec![run],
        ends_complete: true,
        ..Listing::default()
    };
    for answer in [ListAnswer::Listed(listing), ListAnswer::Unanswered] {
        let sent = harness.now().mono;
        harness.handle(Event::Listed(target.worker.clone(), sent, answer));
    }
    harness.workers.push(WorkerId("w1".into()));
    harness.register(1, "r0", 8_000);
    harness.list_worker(1, Vec::new());
    harness.handle(Event::VmsListed(requested_at, rows));
    assert!(starts(&harness.poll_after(1_000)).is_empty());
}
