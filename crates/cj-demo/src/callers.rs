//! Callers: seeded open-loop arrivals, and one async task per work item that follows it to its final answer.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::Method;
use awc::Client;
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use cj_types::JobId;

use crate::{
    client::{self, Reply},
    ledger::{Ledger, WorkStatus},
    nodes::{NodeRef, Nodes},
    workload::{WorkKind, Workload},
};

/// Longest gap between arrivals in seconds; after a longer one the gap is drawn again.
const MAX_GAP_S: f64 = 0.5;

/// Maximum number of requests in flight per workload. Further arrivals are skipped and counted, so that the load stays
/// bounded.
const MAX_IN_FLIGHT: usize = 2000;

/// Time after the deadline for which a caller still waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Maximum timeout of one submission request.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(120);

/// Time for which a caller without an answer sends recorded work to further nodes.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Delays between two polls of pending work: the first one, doubled up to the maximum.
const MIN_POLL_DELAY: Duration = Duration::from_millis(100);
const MAX_POLL_DELAY: Duration = Duration::from_secs(1);

/// Timeout of one poll or cancellation.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a caller accepts an unknown outcome as final, since work on a minion leaves no evidence that could
/// resolve it.
const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of consecutive answers that a job doesn't exist, after which a caller submits unconfirmed work again under its
/// key.
const MAX_MISSING_REPLIES: u32 = 20;

/// All callers of a demonstration.
pub struct Callers {
    /// All work items and the answers to them.
    pub ledger: RefCell<Ledger>,
    /// Arrival rates during a flood as multiples of the capacity, by workload; 1 without a flood.
    pub flood_factors: RefCell<Vec<f64>>,
    client: Client,
    nodes: Rc<Nodes>,
    started: Instant,
    burst: Duration,
    seed: u64,
    stopping: Cell<bool>,
    in_flight: RefCell<Vec<usize>>,
    skipped: Cell<u64>,
}

impl Callers {
    /// Creates callers for the given workloads. Each workload in turn has a burst of the duration `burst`; zero means no
    /// bursts.
    pub fn new(workloads: Vec<Workload>, nodes: Rc<Nodes>, burst: Duration, seed: u64) -> Rc<Self> {
        let count = workloads.len();
        Rc::new(Callers {
            ledger: RefCell::new(Ledger::new(workloads)),
            flood_factors: RefCell::new(vec![1.0; count]),
            client: client::client(),
            nodes,
            started: Instant::now(),
            burst,
            seed,
            stopping: Cell::new(false),
            in_flight: RefCell::new(vec![0; count]),
            skipped: Cell::new(0),
        })
    }

    /// Starts the arrivals of all workloads.
    pub fn start(self: &Rc<Self>) {
        for index in 0..self.ledger.borrow().workloads().len() {
            actix_rt::spawn(self.clone().arrivals(index));
        }
    }

    /// Stops the arrivals. Work in flight is still followed to its end.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Number of work items in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.borrow().iter().sum()
    }

    /// Number of arrivals skipped to bound the load.
    pub fn skipped(&self) -> u64 {
        self.skipped.get()
    }

    async fn arrivals(self: Rc<Self>, index: usize) {
        let (workload, count) = {
            let ledger = self.ledger.borrow();
            (ledger.workloads()[index].clone(), ledger.workloads().len())
        };
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ ((index as u64 + 1) << 32));
        let mut at = self.started.elapsed();
        let mut number = 0_u64;
        while !self.stopping.get() {
            let flood = self.flood_factors.borrow()[index];
            let usual = workload.rate_at(at, index, count, self.burst);
            // A flood is a multiple of the capacity, not of the usual rate.
            let rate = if flood > 1.0 { workload.capacity * flood } else { usual };
            // Exponential gaps give Poisson arrivals. A long gap is drawn again, so that a rise of the rate takes effect
            // soon; the exponential distribution is memoryless, so this doesn't change it.
            let gap = -(1.0 - rng.random::<f64>()).ln() / rate.max(0.01);
            at += Duration::from_secs_f64(gap.min(MAX_GAP_S));
            tokio::time::sleep_until((self.started + at).into()).await;
            if gap > MAX_GAP_S {
                continue;
            }
            number += 1;
            self.clone().submit(index, number, rng.random());
        }
    }

    /// Sends one work item and follows it in its own async task.
    pub fn submit(self: Rc<Self>, index: usize, number: u64, seed: u64) {
        if self.in_flight.borrow()[index] >= MAX_IN_FLIGHT {
            self.skipped.set(self.skipped.get() + 1);
            return;
        }
        let key = format!("{}-{number}-{seed:x}", self.seed).parse();
        let Ok(key) = key else { return };
        let (job, body) = self.ledger.borrow_mut().add(index, key, self.started.elapsed());
        let workload = self.ledger.borrow().workloads()[index].clone();
        self.in_flight.borrow_mut()[index] += 1;
        actix_rt::spawn(async move {
            let work = WorkItem {
                callers: &self,
                workload: &workload,
                job,
                body: body.into(),
                sent_at: Instant::now(),
                rng: Pcg64Mcg::seed_from_u64(seed),
                last_node: None,
                answer_lost: false,
                resubmit: false,
            };
            work.run().await;
            self.in_flight.borrow_mut()[index] -= 1;
        });
    }

    /// Requests the cancellation of up to `count` pending jobs; returns the number of requests.
    pub async fn cancel_pending(self: &Rc<Self>, count: usize, seed: u64) -> usize {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let jobs: Vec<JobId> =
            self.ledger.borrow().pending_recorded().into_iter().take(count).collect();
        let calls = jobs.iter().filter_map(|job| {
            let node = self.nodes.pick(&mut rng, None)?;
            let url = format!("http://{}/v1/jobs/{job}", node.callers);
            Some(async move {
                client::call(&self.client, Method::DELETE, &url, &[], Bytes::new(), POLL_TIMEOUT)
                    .await
            })
        });
        futures::future::join_all(calls).await.len()
    }
}

/// One work item until its final answer.
struct WorkItem<'a> {
    callers: &'a Callers,
    workload: &'a Workload,
    job: JobId,
    body: Bytes,
    sent_at: Instant,
    rng: Pcg64Mcg,
    last_node: Option<usize>,
    /// True once an answer was lost; after that, a refusal doesn't prove that the work never ran.
    answer_lost: bool,
    /// True once an earlier request may have been recorded; later requests carry `x-resubmit`.
    resubmit: bool,
}

/// Next step of a work item.
enum NextStep {
    Final,
    Poll,
    Submit,
}

impl WorkItem<'_> {
    async fn run(mut self) {
        let mut next = NextStep::Submit;
        loop {
            next = match next {
                NextStep::Final => return,
                NextStep::Submit => self.submit().await,
                NextStep::Poll => self.poll().await,
            };
        }
    }

    fn set_status(&self, status: WorkStatus) {
        self.callers.ledger.borrow_mut().set_status(&self.job, status);
    }

    fn pick_node(&mut self) -> Option<NodeRef> {
        let node = self.callers.nodes.pick(&mut self.rng, self.last_node);
        self.last_node = node.map(|node| node.index);
        node
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let workload = self.workload;
        let mut headers = vec![
            ("x-caller", workload.caller.to_string()),
            ("x-team", workload.team.to_string()),
            ("idempotency-key", self.job.key.to_string()),
            ("x-deadline-ms", workload.deadline.as_millis().to_string()),
        ];
        if let WorkKind::Task { run, resources } = workload.kind {
            headers.push(("x-run-ms", run.as_millis().to_string()));
            headers.push(("x-millicores", resources.cores.0.to_string()));
            headers.push(("x-memory-mib", resources.memory.0.to_string()));
        }
        if self.resubmit {
            headers.push(("x-resubmit", "1".into()));
        }
        headers
    }

    /// Sends the work until a node answers. After a lost answer, sends it with the same key to another node.
    async fn submit(&mut self) -> NextStep {
        let recorded = self.workload.is_recorded();
        let path = format!("/v1/{}/{}", self.workload.service, self.workload.class);
        let request_timeout = (self.workload.deadline + ANSWER_GRACE).min(MAX_REQUEST_TIME);
        let submit_timeout = if recorded { SUBMIT_TIMEOUT } else { request_timeout };
        while self.sent_at.elapsed() < submit_timeout || (recorded && !self.callers.stopping.get())
        {
            if let Some(node) = self.pick_node() {
                let url = format!("http://{}{path}", node.callers);
                let body = self.body.clone();
                let headers = self.headers();
                let client = &self.callers.client;
                let reply =
                    client::call(client, Method::POST, &url, &headers, body, request_timeout).await;
                self.resubmit |= !matches!(reply, Reply::NotRun | Reply::NotConnected);
                match reply {
                    Reply::Pending { .. } | Reply::Unknown if recorded => {
                        return self.record_reply(reply);
                    }
                    // The lost submission of recorded work may still be in the log, so a refusal isn't final.
                    Reply::NotRun if self.answer_lost && recorded => {}
                    Reply::NotConnected => {}
                    Reply::NoAnswer | Reply::Missing => {
                        self.answer_lost = true;
                        // The job's state shows the outcome of recorded work; a second submission would only wait.
                        if recorded {
                            self.set_status(WorkStatus::Unknown);
                            return NextStep::Poll;
                        }
                    }
                    reply => return self.record_reply(reply),
                }
            }
            self.sleep_with_jitter(MIN_POLL_DELAY).await;
        }
        self.set_status(if self.answer_lost {
            WorkStatus::Unknown
        } else {
            WorkStatus::Unreachable
        });
        NextStep::Final
    }

    /// Polls the state of recorded work until it's final.
    async fn poll(&mut self) -> NextStep {
        let mut wait = MIN_POLL_DELAY;
        let mut missing = 0;
        let mut last_known = Instant::now();
        loop {
            self.sleep_with_jitter(wait).await;
            wait = (wait * 2).min(MAX_POLL_DELAY);
            let Some(node) = self.pick_node() else { continue };
            let url = format!("http://{}/v1/jobs/{}", node.callers, self.job);
            let client = &self.callers.client;
            let reply =
                client::call(client, Method::GET, &url, &[], Bytes::new(), POLL_TIMEOUT).await;
            match reply {
                Reply::NoAnswer | Reply::NotConnected => {}
                Reply::Missing => {
                    missing += 1;
                    self.set_status(WorkStatus::Missing);
                    if missing >= MAX_MISSING_REPLIES && !self.is_accepted() {
                        return NextStep::Submit;
                    }
                }
                reply => {
                    missing = 0;
                    if reply != Reply::Unknown {
                        last_known = Instant::now();
                    }
                    let next = self.record_reply(reply);
                    if matches!(next, NextStep::Final) || last_known.elapsed() > UNKNOWN_TIMEOUT {
                        return NextStep::Final;
                    }
                }
            }
        }
    }

    fn is_accepted(&self) -> bool {
        self.callers.ledger.borrow().entry(&self.job).is_some_and(|entry| entry.accepted)
    }

    /// Records an answer in the ledger and returns the next step.
    fn record_reply(&self, reply: Reply) -> NextStep {
        let latency = self.sent_at.elapsed();
        let status = match reply {
            Reply::Done(body) => {
                self.callers.ledger.borrow_mut().record_answer(&self.job, &body, latency);
                return NextStep::Final;
            }
            Reply::Pending { accepted: true } => {
                self.callers.ledger.borrow_mut().record_accepted(&self.job);
                return NextStep::Poll;
            }
            Reply::Pending { accepted: false } => {
                self.set_status(WorkStatus::Pending);
                return NextStep::Poll;
            }
            // Evidence may resolve the outcome of recorded work later.
            Reply::Unknown if self.workload.is_recorded() => {
                self.set_status(WorkStatus::Unknown);
                return NextStep::Poll;
            }
            Reply::NotRun if self.answer_lost => WorkStatus::Unknown,
            Reply::NotRun => {
                log::debug!(target: "caller", "job={} refused as not run", self.job);
                WorkStatus::Refused
            }
            Reply::Parked => WorkStatus::Parked,
            Reply::Cancelled => WorkStatus::Cancelled,
            _ => WorkStatus::Unknown,
        };
        self.set_status(status);
        NextStep::Final
    }

    async fn sleep_with_jitter(&mut self, mean: Duration) {
        let factor = self.rng.random_range(0.5..1.5);
        tokio::time::sleep(mean.mul_f64(factor)).await;
    }
}
