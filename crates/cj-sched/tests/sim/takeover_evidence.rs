//! A new owner whose service isn't reconciled yet: which workers keep it from starting older tasks.

use std::{rc::Rc, time::Duration};

use cj_sched::{
    Account, AccountCap, Accounts, Action, Event, JobIndex, JobKey, Log, Pool, Record, Submission,
    Weight,
    record::WaveProgress,
    sched::{Limits, ListAnswer, Refusal, VmAnswer, VmState, WaveSpec, WorkerId},
};

use cj_types::{AccountId, UnixMillis};

use crate::{
    decisions::{Harness, config, starts, submission},
    world::{START_UNIX_MS, service, step},
};

/// Time until the earlier owner has sent its last command.
const LEASES: Duration = Duration::from_secs(8);

/// Time within which evidence has to count: two lists of VMs, and some answers.
const SOON_MS: u64 = 2_500;

/// Time after the last command of earlier owners by which all records are read that they may have read.
const READ_LAG: Duration = Duration::from_secs(20);

/// An older job of one task.
fn older_job() -> JobIndex {
    let mut index = JobIndex::default();
    let job = Box::new(submission(vec![step(1, 1_000, 500)], None));
    index.apply(Log::Jobs, 1, Record::Submission(JobKey(1), job), true);
    index
}

/// A new owner with an older job and these workers, of which none is listed.
fn new_owner(racks: &[&str]) -> Harness {
    Harness::unlisted(&older_job(), racks, None, LEASES)
}

/// Guards against older tasks that wait for the longest lease because another worker answers at the address of one that is gone: no
/// list of VMs names it any more, and each answer made it seem new.
#[test]
fn a_worker_whose_address_another_answers_is_gone_once_no_list_names_it() {
    let mut harness = new_owner(&["r1", "r2"]);
    harness.list_worker(0, Vec::new());
    let mut rows = harness.vm_rows.clone();
    rows[1].worker = None;
    rows[1].state = VmState::Moving;
    let mut started = 0;
    for _ in 0..SOON_MS / 300 {
        let id = harness.workers[1].clone();
        let refused = ListAnswer::Refused(Refusal::OtherIncarnation);
        harness.handle(Event::Listed(id, harness.now().mono, refused));
        harness.handle(Event::VmsListed(harness.now().mono, rows.clone()));
        started += starts(&harness.poll_after(300)).len();
    }
    assert_eq!(started, 1);
}

/// Guards against a task that runs twice: another worker answers at an address, but a running VM still names the one that was there.
#[test]
fn a_worker_whose_address_another_answers_may_run_tasks_while_a_list_names_it() {
    let mut harness = new_owner(&["r1", "r2"]);
    harness.list_worker(0, Vec::new());
    for _ in 0..SOON_MS / 300 {
        let id = harness.workers[1].clone();
        let refused = ListAnswer::Refused(Refusal::OtherIncarnation);
        harness.handle(Event::Listed(id, harness.now().mono, refused));
        let rows = harness.vm_rows.clone();
        harness.handle(Event::VmsListed(harness.now().mono, rows));
        assert!(starts(&harness.poll_after(300)).is_empty());
    }
}

/// Guards against older tasks that wait for the longest lease because the owner itself takes off one empty worker after the other:
/// all runs there were known.
#[test]
fn a_worker_that_this_owner_took_off_keeps_no_older_task_waiting() {
    let mut harness = new_owner(&["r1", "r2", "r3", "r4"]);
    let mut with_spare = (*config(None)).clone();
    with_spare.pools.insert(service("spare"), Pool { rejects_overload: true, spare: true });
    harness.handle(Event::Config(with_spare.into()));
    for worker in 0..3 {
        harness.list_worker(worker, Vec::new());
    }
    // The last worker answers only once the others are taken off.
    let mut moved = Vec::new();
    for _ in 0..30 {
        for action in harness.poll_after(100) {
            if let Action::MoveVm(vm, to, _) = action {
                harness.handle(Event::Moved(vm.clone(), to, VmAnswer::Done));
                moved.push(vm);
            }
        }
    }
    assert!(!moved.is_empty(), "idle VMs move to the spare pool");
    let mut rows = harness.vm_rows.clone();
    for row in rows.iter_mut().filter(|row| moved.contains(&row.vm)) {
        row.pool = service("spare");
        row.state = VmState::Moving;
        row.worker = None;
    }
    harness.handle(Event::VmsListed(harness.now().mono, rows));
    harness.list_worker(3, Vec::new());
    assert_eq!(starts(&harness.poll_after(50)).len(), 1);
}

/// Guards against a task that runs twice: a worker that the new owner can't list has started again and taken in a command that was
/// meant for its former clock, so its lease ends after those that the earlier owner counted with.
#[test]
fn an_unlisted_worker_may_run_tasks_for_the_longest_lease() {
    let mut harness = new_owner(&["r1", "r2"]);
    let longest = LEASES + Limits::default().max_lease;
    loop {
        harness.list_worker(0, Vec::new());
        let (id, now) = (harness.workers[1].clone(), harness.now().mono);
        harness.handle(Event::Listed(id, now, ListAnswer::Unanswered));
        let started = starts(&harness.poll_after(100)).len();
        let since = harness.now().mono - harness.start;
        if started > 0 {
            assert!(since > longest, "started after {since:?}");
            return;
        }
        assert!(since < longest * 2, "it is never started");
    }
}

/// Guards against maintenance that ends tasks of earlier owners: the worker of the VM isn't registered, and may hold the longest lease.
#[test]
fn a_vm_whose_worker_is_not_registered_waits_for_the_longest_lease() {
    let mut harness = Harness::unlisted(&JobIndex::default(), &["r1", "r2"], None, LEASES);
    let mut rows = harness.vm_rows.clone();
    rows[1].worker = Some(WorkerId("unregistered".into()));
    let vms = vec![rows[1].vm.clone()];
    let wave = WaveSpec { number: 1, vms, duration: Duration::from_secs(60), cap: 1 };
    harness.handle(Event::Wave(wave, WaveProgress::default()));
    let longest = LEASES + Limits::default().max_lease;
    loop {
        harness.list_worker(0, Vec::new());
        harness.handle(Event::VmsListed(harness.now().mono, rows.clone()));
        let mut maintained = false;
        for action in harness.poll_after(100) {
            match action {
                Action::MaintainVm(..) => maintained = true,
                Action::Write(number, _) => harness.handle(Event::Written(number)),
                _ => {}
            }
        }
        let since = harness.now().mono - harness.start;
        if maintained {
            assert!(since > longest, "maintained after {since:?}");
            return;
        }
        assert!(since < longest * 2, "it is never maintained");
    }
}

/// Number of starts of a new owner until `end`, which reads its only worker all the time.
fn starts_until(harness: &mut Harness, end: Duration) -> usize {
    let mut count = 0;
    while harness.now().mono < harness.start + end {
        harness.list_worker(0, Vec::new());
        count += starts(&harness.poll_after(100)).len();
    }
    count
}

/// Guards against a task of a cancelled job that starts again after its end as done was acknowledged: the earlier owner has read the
/// cancellation in an overflow log, and the new one hasn't.
#[test]
fn older_tasks_wait_for_records_that_earlier_owners_may_have_read() {
    let mut harness = Harness::catching_up(&older_job(), &["r1"], None, LEASES);
    assert_eq!(starts_until(&mut harness, Duration::from_secs(3)), 0);
    harness.handle(Event::Cancelled(JobKey(1)));
    harness.scheduler.set_submissions_read();
    assert_eq!(starts_until(&mut harness, LEASES + READ_LAG * 2), 0);
}

/// Guards against older tasks that wait for good because an overflow log can't be read.
#[test]
fn older_tasks_start_once_records_are_read_or_can_have_no_effect() {
    let mut harness = Harness::catching_up(&older_job(), &["r1"], None, LEASES);
    assert_eq!(starts_until(&mut harness, Duration::from_secs(1)), 0);
    harness.scheduler.set_submissions_read();
    assert_eq!(starts_until(&mut harness, Duration::from_secs(2)), 1);
    let mut harness = Harness::catching_up(&older_job(), &["r1"], None, LEASES);
    assert_eq!(starts_until(&mut harness, LEASES + READ_LAG - Duration::from_secs(1)), 0);
    assert_eq!(starts_until(&mut harness, LEASES + READ_LAG * 2), 1);
}

/// Guards against an account above its cap: a run of a job that was cancelled goes on under the longest lease, on a worker that neither
/// the stop nor the new owner reaches.
#[test]
fn runs_of_a_cancelled_job_count_for_their_account_while_their_leases_may_last() {
    let account = AccountId::try_from("small").unwrap();
    let job = Submission {
        account: Some(account.clone()),
        ..submission(vec![step(1, 1_000, 60_000)], None)
    };
    let mut index = JobIndex::default();
    index.apply(Log::Jobs, 1, Record::Submission(JobKey(1), Box::new(job.clone())), true);
    let cancelled_at = UnixMillis(START_UNIX_MS - 9_000);
    index.apply(Log::Jobs, 2, Record::Cancel(JobKey(1), cancelled_at), true);
    let mut harness = Harness::unlisted(&index, &["r1", "r2"], None, LEASES);
    let mut accounts = Accounts::default();
    let cap = AccountCap::from_limits(1_000, 0, 0);
    accounts.add(Account { id: account, weight: Weight::DEFAULT, cap }, []).unwrap();
    let mut capped = (*config(None)).clone();
    capped.accounts = Some(accounts);
    harness.handle(Event::Config(capped.into()));
    let (job, submission, recorded) = (JobKey(2), Rc::new(job), Vec::new());
    harness.handle(Event::Submitted { job, submission, fresh: true, recorded });
    assert_eq!(starts_until(&mut harness, LEASES), 0);
    assert_eq!(starts_until(&mut harness, LEASES + Limits::default().max_lease * 2), 1);
}
