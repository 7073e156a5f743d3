//! The logs of the simulated store, and how owners read them: the log of jobs at once, the overflow log with a delay.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use cj_sched::{
    Event, JobIndex, JobKey, JobSpec, Log, Record, Scheduler, StepSpec, Submission,
    job_index::Change,
    record::OwnerHeartbeat,
    sched::{Limits, OWNERSHIP_LEASE, OwnershipLease},
};
use cj_types::{Millicores, NodeId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    network::Peer,
    store::{APPEND_RETRY_MS, Appends},
    world::{Owner, SimEvent, World, service},
};

/// Probability that a caller's record goes to the overflow log while that is in use.
const OVERFLOW_SHARE: f64 = 0.5;

/// Longest delay until an owner reads a record of the overflow log.
const MAX_READ_DELAY_MS: u64 = 1_500;

/// The only simulated overflow log.
const OVERFLOW: Log = Log::Overflow(0);

/// The records of both logs by offset.
pub(crate) struct Logs {
    jobs: Vec<Record>,
    overflow: Vec<Record>,
    /// Highest fencing token in the overflow log. The store refuses markers of earlier owners.
    marked_epoch: u64,
    /// Whether some records of callers go to the overflow log.
    pub(crate) use_overflow: bool,
    rng: Pcg64Mcg,
}

impl Logs {
    pub(crate) fn new(seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(!seed);
        Logs { jobs: Vec::new(), overflow: Vec::new(), marked_epoch: 0, use_overflow: false, rng }
    }
}

impl World {
    /// Appends a record. Connected owners read the log of jobs at once, and the overflow log after a random delay.
    pub(crate) fn append(&mut self, log: Log, record: Record) {
        let records = if log == OVERFLOW { &mut self.logs.overflow } else { &mut self.logs.jobs };
        records.push(record.clone());
        let offset = records.len() as u64;
        self.job_index.apply(log, offset, record.clone(), true);
        for owner in 0..self.owners.len() {
            if !self.owners[owner].active {
                continue;
            }
            if !self.reaches(owner, Peer::JobReads) {
                self.owners[owner].missed_overflow |= log == OVERFLOW;
                continue;
            }
            if log == OVERFLOW {
                let delay = self.logs.rng.random_range(4..MAX_READ_DELAY_MS);
                self.schedule(delay, SimEvent::ReadOverflow { owner });
            } else if self.owners[owner].jobs_read as u64 + 1 == offset {
                let reader = &mut self.owners[owner];
                reader.jobs_read += 1;
                reader.job_index.apply(log, offset, record.clone(), true);
            }
        }
    }

    /// Picks the log for a caller's record.
    fn caller_log(&mut self) -> Log {
        let overflow = self.logs.use_overflow && self.logs.rng.random_bool(OVERFLOW_SHARE);
        if overflow { OVERFLOW } else { Log::Jobs }
    }

    /// A new node takes over the fleet. Unless it is killed, the previous owner continues until it learns of the takeover.
    pub(crate) fn take_over(&mut self, kill: bool) {
        if kill && let Some(last) = self.owners.last_mut() {
            last.active = false;
        }
        let epoch = self.job_index.epoch() + 1;
        self.append(Log::Jobs, heartbeat(epoch));
        self.heartbeat_at = self.now;
        let now = self.clocks();
        let ownership_horizon =
            now.mono + OWNERSHIP_LEASE + OWNERSHIP_LEASE / 20 + Duration::from_millis(250);
        let (job_index, overflow_read) = self.read_logs();
        let mut scheduler = Scheduler::new(
            epoch,
            Limits::default(),
            self.config.clone(),
            &job_index,
            ownership_horizon,
            now,
        );
        scheduler.set_ownership(OwnershipLease::from_heartbeat(now.mono));
        scheduler.set_policies(self.policies);
        if !self.logs.use_overflow {
            scheduler.set_submissions_read();
        }
        let confirmed_at = self.now;
        let owner = Owner {
            scheduler,
            epoch,
            active: true,
            paused_until: 0,
            confirmed_at,
            job_index,
            jobs_read: self.logs.jobs.len(),
            overflow_read,
            missed_overflow: false,
            missed_events: Vec::new(),
            appends: Appends::default(),
        };
        self.owners.push(owner);
        let owner = self.owners.len() - 1;
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            if worker.alive && !self.unregistered.contains(&index) {
                let reported = self.reports.get(&index).filter(|report| report.id == worker.id);
                let registration = reported.cloned().unwrap_or_else(|| worker.registration());
                self.notify(owner, &Event::Registered(registration), 3);
            }
        }
        let vms = Event::VmsListed(self.clocks().mono, self.vm_rows());
        self.schedule(5, SimEvent::Notify { owner, event: vms });
        for wave in self.waves.clone() {
            let progress = self.job_index.wave(wave.number);
            self.notify(owner, &Event::Wave(wave, progress), 4);
        }
        self.schedule(6, SimEvent::Poll { owner });
        if !self.logs.use_overflow {
            self.owners[owner].scheduler.set_submissions_read();
        } else {
            let (mark_delay, read_delay) = (self.logs.rng.random_range(5..800), MAX_READ_DELAY_MS);
            self.schedule(mark_delay, SimEvent::MarkOverflow { epoch });
            self.schedule(read_delay, SimEvent::ReadOverflow { owner });
        }
    }

    /// Job index of a new owner, and the number of overflow records in it: the newest 0 to 4 of them are not read yet.
    fn read_logs(&mut self) -> (JobIndex, usize) {
        let mut job_index = JobIndex::default();
        let len = self.logs.overflow.len();
        let unread = if len == 0 { 0 } else { self.logs.rng.random_range(0..=len.min(4)) };
        let read = len - unread;
        for (index, record) in self.logs.overflow[..read].iter().enumerate() {
            job_index.apply(OVERFLOW, index as u64 + 1, record.clone(), true);
        }
        for (index, record) in self.logs.jobs.iter().enumerate() {
            job_index.apply(Log::Jobs, index as u64 + 1, record.clone(), true);
        }
        (job_index, read)
    }

    /// Writes the owner's marker into the overflow log, unless the owner ended or a later one has marked the log.
    pub(crate) fn mark_overflow(&mut self, epoch: u64) {
        let is_owner = |owner: &Owner| owner.epoch == epoch && owner.active;
        let Some(owner) = self.owners.iter().position(is_owner) else { return };
        if !self.network.delivers_calls(owner, Peer::Appends, self.now) {
            return self.schedule(APPEND_RETRY_MS, SimEvent::MarkOverflow { epoch });
        }
        if epoch > self.logs.marked_epoch {
            self.logs.marked_epoch = epoch;
            self.append(OVERFLOW, heartbeat(epoch));
        }
    }

    /// An owner reads the overflow log up to its end. It steps down if it finds a marker of a later owner.
    pub(crate) fn read_overflow(&mut self, owner: usize) {
        let now = self.clocks();
        if !self.reaches(owner, Peer::JobReads) {
            self.owners[owner].missed_overflow = true;
            return;
        }
        let reader = &mut self.owners[owner];
        while reader.active && reader.overflow_read < self.logs.overflow.len() {
            let record = self.logs.overflow[reader.overflow_read].clone();
            reader.overflow_read += 1;
            let change =
                reader.job_index.apply(OVERFLOW, reader.overflow_read as u64, record, true);
            if reader.job_index.last_epoch() > reader.epoch {
                reader.active = false;
                return;
            }
            match change {
                Change::Submitted(job) => {
                    let event = Event::for_job(&reader.job_index, job).unwrap();
                    reader.scheduler.handle(event, now);
                }
                Change::Cancelled(job) => reader.scheduler.handle(Event::Cancelled(job), now),
                _ => {}
            }
        }
        if reader.job_index.has_ownership_start(0, reader.epoch) {
            reader.scheduler.set_submissions_read();
        }
        if reader.active {
            self.run_actions(owner);
        }
    }

    fn has_read_jobs(&self, owner: usize) -> bool {
        self.owners[owner].jobs_read == self.logs.jobs.len()
    }

    /// An owner that reads the logs again reads what it has missed. It steps down if it finds a later owner.
    pub(crate) fn read_missed_records(&mut self, owner: usize) {
        if !self.reaches(owner, Peer::JobReads) {
            return;
        }
        if std::mem::take(&mut self.owners[owner].missed_overflow) {
            self.schedule(MAX_READ_DELAY_MS, SimEvent::ReadOverflow { owner });
        }
        let now = self.clocks();
        let reader = &mut self.owners[owner];
        for record in &self.logs.jobs[reader.jobs_read..] {
            reader.jobs_read += 1;
            let offset = reader.jobs_read as u64;
            match reader.job_index.apply(Log::Jobs, offset, record.clone(), true) {
                Change::Submitted(job) => {
                    let event = Event::for_job(&reader.job_index, job).unwrap();
                    reader.scheduler.handle(event, now);
                }
                Change::Cancelled(job) => reader.scheduler.handle(Event::Cancelled(job), now),
                _ => {}
            }
            if reader.job_index.epoch() > reader.epoch {
                break;
            }
        }
        reader.active &= reader.job_index.epoch() <= reader.epoch;
    }

    pub(crate) fn submit(&mut self, key: u64, name: &str, steps: Vec<StepSpec>) {
        self.submit_spec(key, name, JobSpec { text: String::new(), steps, schedule: None });
    }

    pub(crate) fn submit_spec(&mut self, key: u64, name: &str, spec: JobSpec) {
        let job = JobKey(key);
        let queue = self.config.queue(name);
        let submission = Submission {
            queue: name.into(),
            service: queue.map_or_else(|| service(name), |queue| queue.service.clone()),
            priority: 0,
            max_attempts: 3,
            objective: Duration::from_secs(4),
            received_at: self.clocks().wall,
            spec,
            account: self.config.accounts.as_ref().and_then(|_| self.account_of_job(key)),
        };
        let log = self.caller_log();
        self.append_submission(log, job, submission);
    }

    /// Appends the submission of a job again to the log of jobs, as a node does for a caller's retry if it hasn't read the
    /// first record.
    pub(crate) fn submit_again(&mut self, key: u64) {
        let job = JobKey(key);
        let submission = self.job_index.job(job).and_then(|entry| entry.submission()).unwrap();
        let submission = Submission::clone(submission);
        self.append_submission(Log::Jobs, job, submission);
    }

    fn append_submission(&mut self, log: Log, job: JobKey, submission: Submission) {
        self.append(log, Record::Submission(job, Box::new(submission)));
        if log == OVERFLOW {
            return;
        }
        for owner in 0..self.owners.len() {
            let reader = &self.owners[owner];
            // An earlier owner reads the heartbeat of the later one first, and so learns of no submission that follows it.
            let current = reader.epoch == self.job_index.epoch();
            if reader.active && current && self.has_read_jobs(owner) {
                let event = Event::for_job(&reader.job_index, job).unwrap();
                self.schedule(4, SimEvent::Notify { owner, event });
            }
        }
    }

    /// Cancels all long-running jobs, in the order of their keys.
    pub(crate) fn cancel_long_running(&mut self) {
        let is_long_running = |submission: &Rc<Submission>| submission.spec.is_long_running();
        let jobs = self.job_index.jobs();
        let long_running =
            jobs.filter(|(_, entry)| entry.submission().is_some_and(is_long_running));
        for key in long_running.map(|(key, _)| key).collect::<BTreeSet<_>>() {
            self.cancel(key.0);
        }
    }

    pub(crate) fn cancel(&mut self, key: u64) {
        let log = self.caller_log();
        self.append(log, Record::Cancel(JobKey(key), self.clocks().wall));
        if log == OVERFLOW {
            return;
        }
        for owner in 0..self.owners.len() {
            if self.owners[owner].active && self.has_read_jobs(owner) {
                let event = Event::Cancelled(JobKey(key));
                self.schedule(2, SimEvent::Notify { owner, event });
            }
        }
    }
}

fn heartbeat(epoch: u64) -> Record {
    Record::Owner(OwnerHeartbeat {
        epoch,
        node: NodeId::try_from("node").unwrap(),
        cores: Millicores(250),
        released: false,
        load: Vec::new(),
    })
}
