//! Records the answers that the callers received and compares them with the runs that the fakes observed.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use cj_standin::{Execution, Observed, body_key, expected_answer};
use cj_types::{IdempotencyKey, JobId};

use crate::workload::Workload;

/// State of a work item as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkStatus {
    /// Sent; no answer yet.
    Sent,
    /// Answered as pending; the caller polls.
    Pending,
    /// Completed with an answer.
    Done,
    /// Refused as not run.
    Refused,
    /// May have run: a node said so, or an answer was lost.
    Unknown,
    /// Given up by the node, with evidence.
    Parked,
    /// Cancelled as not run.
    Cancelled,
    /// A node answered that the job doesn't exist although it was sent.
    Missing,
    /// Never sent, because no node could be reached.
    Unreachable,
}

/// One work item.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Index of the workload.
    pub workload: usize,
    /// Body as sent.
    pub body: String,
    /// State as the caller knows it.
    pub status: WorkStatus,
    /// True once a node answered that the work is recorded.
    pub accepted: bool,
    /// True when the answer of completed work was not the expected one.
    pub wrong: bool,
    /// Time of sending since the start of the demonstration.
    pub sent_at: Duration,
    /// Time between sending and the final answer.
    pub latency: Option<Duration>,
}

/// Counts of one workload, or of all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Work items sent.
    pub sent: u64,
    /// Recorded by a node, or answered.
    pub accepted: u64,
    /// Completed with an answer.
    pub done: u64,
    /// Completed within the deadline.
    pub in_deadline: u64,
    /// Refused as not run.
    pub refused: u64,
    /// May have run.
    pub unknown: u64,
    /// Given up by the node, with evidence.
    pub parked: u64,
    /// Cancelled as not run.
    pub cancelled: u64,
    /// Never sent, because no node could be reached.
    pub unreachable: u64,
    /// Still pending at the end.
    pub open: u64,
    /// Must-not-drop work that was accepted but has no known state at the end, or was refused later.
    pub lost: u64,
    /// Non-idempotent work that ran more than once.
    pub doubled: u64,
    /// Refused, cancelled or never sent according to the caller, but it ran.
    pub false_refusals: u64,
    /// Answers that are incomplete, belong to another request, or to work that never ran to its end.
    pub wrong_answers: u64,
    /// 50th percentile of the time to the answer.
    pub p50_ms: u64,
    /// 99th percentile of the time to the answer.
    pub p99_ms: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.sent += other.sent;
        self.accepted += other.accepted;
        self.done += other.done;
        self.in_deadline += other.in_deadline;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.parked += other.parked;
        self.cancelled += other.cancelled;
        self.unreachable += other.unreachable;
        self.open += other.open;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.false_refusals += other.false_refusals;
        self.wrong_answers += other.wrong_answers;
    }
}

/// All work items of a demonstration.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    workloads: Vec<Workload>,
    entries: BTreeMap<JobId, Entry>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(workloads: Vec<Workload>) -> Self {
        Ledger { workloads, entries: BTreeMap::new() }
    }

    /// Workloads by index.
    pub fn workloads(&self) -> &[Workload] {
        &self.workloads
    }

    /// Adds a new work item; returns its job id and body.
    pub fn add(
        &mut self,
        workload: usize,
        key: IdempotencyKey,
        sent_at: Duration,
    ) -> (JobId, String) {
        let job = JobId { caller: self.workloads[workload].caller.clone(), key };
        // The body contains the job id, so that the answer to another request is detected as wrong.
        let body = format!("{job} of {}", self.workloads[workload].name);
        let entry = Entry {
            workload,
            body: body.clone(),
            status: WorkStatus::Sent,
            accepted: false,
            wrong: false,
            sent_at,
            latency: None,
        };
        self.entries.insert(job.clone(), entry);
        (job, body)
    }

    /// Sets the state of a work item.
    pub fn set_status(&mut self, job: &JobId, status: WorkStatus) {
        if let Some(entry) = self.entries.get_mut(job) {
            entry.status = status;
        }
    }

    /// Records a node's answer that the work is recorded.
    pub fn record_accepted(&mut self, job: &JobId) {
        if let Some(entry) = self.entries.get_mut(job) {
            (entry.accepted, entry.status) = (true, WorkStatus::Pending);
        }
    }

    /// Records the answer of completed work and compares it with the expected one.
    pub fn record_answer(&mut self, job: &JobId, answer: &[u8], latency: Duration) {
        let Some(entry) = self.entries.get_mut(job) else { return };
        let body = entry.body.as_bytes();
        let expected = expected_answer(&job.to_string(), body);
        let recorded = self.workloads[entry.workload].is_recorded();
        // For work that isn't recorded, a node passes no job key to the upstream.
        let without_key = !recorded && expected_answer("", body).as_bytes() == answer;
        entry.wrong = expected.as_bytes() != answer && !without_key;
        (entry.status, entry.latency) = (WorkStatus::Done, Some(latency));
    }

    /// The work item of a job.
    pub fn entry(&self, job: &JobId) -> Option<&Entry> {
        self.entries.get(job)
    }

    /// Jobs whose callers still wait: the id, and true when the request has had no answer at all so far.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&JobId, bool)> {
        let open = self
            .entries
            .iter()
            .filter(|(_, e)| matches!(e.status, WorkStatus::Sent | WorkStatus::Pending));
        open.map(|(job, entry)| (job, entry.status == WorkStatus::Sent))
    }

    /// All work items by job.
    pub fn entries(&self) -> impl Iterator<Item = (&JobId, &Entry)> {
        self.entries.iter()
    }

    /// Recorded work that is pending, for cancellation.
    pub fn pending_recorded(&self) -> Vec<JobId> {
        let recorded = |entry: &Entry| self.workloads[entry.workload].is_recorded();
        let pending =
            self.entries.iter().filter(|(_, e)| e.status == WorkStatus::Pending && recorded(e));
        pending.map(|(job, _)| job.clone()).collect()
    }

    /// Compares the ledger with the runs that the fakes observed. Returns the counts by workload and in total.
    pub fn compare(&self, observed: &Observed) -> (BTreeMap<CompactString, Counts>, Counts) {
        let mut all: Vec<Counts> = vec![Counts::default(); self.workloads.len()];
        let mut times = vec![histogram(); self.workloads.len() + 1];
        for (job, entry) in &self.entries {
            let workload = &self.workloads[entry.workload];
            count(&mut all[entry.workload], workload, entry, observed_runs(job, entry, observed));
            if let Some(latency) = entry.latency {
                let millis = latency.as_millis() as u64;
                times[entry.workload].saturating_record(millis);
                times[self.workloads.len()].saturating_record(millis);
            }
        }
        let mut total = Counts::default();
        let mut by_name = BTreeMap::new();
        for ((workload, mut counts), times) in self.workloads.iter().zip(all).zip(&times) {
            total.add(&counts);
            percentiles(&mut counts, times);
            by_name.insert(workload.name.clone(), counts);
        }
        percentiles(&mut total, &times[self.workloads.len()]);
        (by_name, total)
    }
}

/// Histogram for milliseconds up to one hour, with two significant digits.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000, 2).expect("the bounds are valid")
}

fn percentiles(counts: &mut Counts, times: &Histogram<u64>) {
    counts.p50_ms = times.value_at_quantile(0.5);
    counts.p99_ms = times.value_at_quantile(0.99);
}

/// Runs recorded under the job id, and under the body for work whose job id was not passed to the upstream.
fn observed_runs(job: &JobId, entry: &Entry, observed: &Observed) -> Execution {
    let find = |key: &str| observed.executions.get(key).copied().unwrap_or_default();
    let (by_job, by_body) = (find(&job.to_string()), find(&body_key(entry.body.as_bytes())));
    Execution {
        starts: by_job.starts + by_body.starts,
        resumed: by_job.resumed + by_body.resumed,
        ends: by_job.ends + by_body.ends,
    }
}

fn count(counts: &mut Counts, workload: &Workload, entry: &Entry, runs: Execution) {
    counts.sent += 1;
    counts.accepted += u64::from(entry.accepted || entry.status == WorkStatus::Done);
    let counter = match entry.status {
        WorkStatus::Done => &mut counts.done,
        WorkStatus::Refused => &mut counts.refused,
        WorkStatus::Unknown => &mut counts.unknown,
        WorkStatus::Parked => &mut counts.parked,
        WorkStatus::Cancelled => &mut counts.cancelled,
        WorkStatus::Unreachable => &mut counts.unreachable,
        WorkStatus::Pending | WorkStatus::Sent => &mut counts.open,
        // Work that no node ever confirmed may have been withdrawn or may still be in flight.
        WorkStatus::Missing if !entry.accepted || !workload.must_not_drop => &mut counts.unknown,
        WorkStatus::Missing => &mut counts.lost,
    };
    *counter += 1;
    if entry.accepted && matches!(entry.status, WorkStatus::Refused | WorkStatus::Unreachable) {
        counts.lost += u64::from(workload.must_not_drop);
    }
    if !workload.idempotent && runs.starts > 1 {
        counts.doubled += 1;
    }
    let claimed_not_run = matches!(
        entry.status,
        WorkStatus::Refused | WorkStatus::Cancelled | WorkStatus::Unreachable
    );
    counts.false_refusals += u64::from(claimed_not_run && runs.starts > 0);
    let done = entry.status == WorkStatus::Done;
    counts.wrong_answers += u64::from(done && (entry.wrong || runs.ends == 0));
    let in_time = entry.latency.is_some_and(|latency| latency <= workload.deadline);
    counts.in_deadline += u64::from(done && in_time);
}
