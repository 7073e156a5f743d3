//! The logs of the simulated store, and what each owner has read of them.

use std::time::Duration;

use cj_sched::{
    Event, JobIndex, JobKey, JobSpec, Log, Record, Scheduler, StepSpec, Submission,
    job_index::Change,
    record::OwnerHeartbeat,
    sched::{Limits, OWNERSHIP_LEASE, OwnershipLease},
};
use cj_types::{Millicores, NodeId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::world::{Effect, Owner, World, service};

/// Chance that a record of a caller goes to the overflow log while it is in use.
const OVERFLOW_SHARE: f64 = 0.5;

/// Longest delay until a record of the overflow log is read, in ms.
const READ_DELAY: u64 = 1_500;

/// The one overflow log that is simulated.
const OVERFLOW: Log = Log::Overflow(0);

/// The records of both logs in order.
pub(crate) struct Logs {
    jobs: Vec<Record>,
    overflow: Vec<Record>,
    /// Highest fencing token in the overflow log; the store refuses marks of earlier owners.
    marked: u64,
    /// Some callers' records go to the overflow log.
    pub(crate) overflows: bool,
    rng: Pcg64Mcg,
}

impl Logs {
    pub(crate) fn new(seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(!seed);
        Logs { jobs: Vec::new(), overflow: Vec::new(), marked: 0, overflows: false, rng }
    }
}

impl World {
    /// Appends a record. Owners read the log of jobs without delay, and the overflow log later.
    pub(crate) fn write(&mut self, log: Log, record: Record) {
        let records = if log == OVERFLOW { &mut self.logs.overflow } else { &mut self.logs.jobs };
        records.push(record.clone());
        let offset = records.len() as u64;
        self.book.apply(log, offset, record.clone(), true);
        for owner in 0..self.owners.len() {
            if !self.owners[owner].active || !self.owners[owner].connected {
                continue;
            }
            if log == OVERFLOW {
                let delay = self.logs.rng.random_range(4..READ_DELAY);
                self.schedule(delay, Effect::Read { owner });
            } else {
                self.owners[owner].book.apply(log, offset, record.clone(), true);
            }
        }
    }

    /// Log for a record of a caller.
    fn callers_log(&mut self) -> Log {
        let overflows = self.logs.overflows && self.logs.rng.random_bool(OVERFLOW_SHARE);
        if overflows { OVERFLOW } else { Log::Jobs }
    }

    /// A new node owns the fleet. The earlier owner goes on until it learns of it, if it isn't killed.
    pub(crate) fn take_over(&mut self, kill: bool) {
        if kill && let Some(last) = self.owners.last_mut() {
            last.active = false;
        }
        let epoch = self.book.epoch() + 1;
        self.write(Log::Jobs, beat(epoch));
        let now = self.clocks();
        let horizon =
            now.mono + OWNERSHIP_LEASE + OWNERSHIP_LEASE / 20 + Duration::from_millis(250);
        let (book, read) = self.read_logs();
        let mut scheduler =
            Scheduler::new(epoch, Limits::default(), self.config.clone(), &book, horizon, now);
        scheduler.set_ownership(OwnershipLease::from_heartbeat(now.mono));
        scheduler.set_policies(self.policies);
        let confirmed = self.now;
        let owner =
            Owner { scheduler, epoch, active: true, connected: true, confirmed, book, read };
        self.owners.push(owner);
        let owner = self.owners.len() - 1;
        for index in 0..self.workers.len() {
            if self.workers[index].alive {
                let event = Event::Registered(self.workers[index].report());
                self.schedule(3, Effect::Reply { owner, event });
            }
        }
        let vms = Event::VmsListed(self.clocks().mono, self.vm_rows());
        self.schedule(5, Effect::Reply { owner, event: vms });
        if let Some(order) = self.wave.clone() {
            let progress = self.book.wave(order.number);
            self.schedule(4, Effect::Reply { owner, event: Event::Wave(order, progress) });
        }
        self.schedule(6, Effect::Poll { owner });
        if self.logs.overflows {
            let (mark, read) = (self.logs.rng.random_range(5..800), READ_DELAY);
            self.schedule(mark, Effect::Mark { epoch });
            self.schedule(read, Effect::Read { owner });
        }
    }

    /// What a new owner knows: the log of jobs, and the overflow log but for its last records.
    fn read_logs(&mut self) -> (JobIndex, usize) {
        let mut book = JobIndex::default();
        let held = self.logs.overflow.len();
        let unread = if held == 0 { 0 } else { self.logs.rng.random_range(0..=held.min(4)) };
        let read = held - unread;
        for (index, record) in self.logs.overflow[..read].iter().enumerate() {
            book.apply(OVERFLOW, index as u64 + 1, record.clone(), true);
        }
        for (index, record) in self.logs.jobs.iter().enumerate() {
            book.apply(Log::Jobs, index as u64 + 1, record.clone(), true);
        }
        (book, read)
    }

    pub(crate) fn mark_overflow(&mut self, epoch: u64) {
        let alive = self.owners.iter().any(|owner| owner.epoch == epoch && owner.active);
        if alive && epoch > self.logs.marked {
            self.logs.marked = epoch;
            self.write(OVERFLOW, beat(epoch));
        }
    }

    /// An owner reads the overflow log up to its end.
    pub(crate) fn read_overflow(&mut self, owner: usize) {
        let now = self.clocks();
        let state = &mut self.owners[owner];
        if !state.connected {
            return;
        }
        while state.active && state.read < self.logs.overflow.len() {
            let record = self.logs.overflow[state.read].clone();
            state.read += 1;
            let change = state.book.apply(OVERFLOW, state.read as u64, record, true);
            if state.book.last_epoch() > state.epoch {
                state.active = false;
                return;
            }
            match change {
                Change::Submitted(job) => {
                    let event = Event::for_job(&state.book, job).unwrap();
                    state.scheduler.handle(event, now);
                }
                Change::Cancelled(job) => state.scheduler.handle(Event::Cancelled(job), now),
                _ => {}
            }
        }
        if state.active {
            self.act(owner);
        }
    }

    pub(crate) fn submit(&mut self, key: u64, name: &str, steps: Vec<StepSpec>) {
        let job = JobKey(key);
        let submission = Submission {
            queue: name.into(),
            service: service(name),
            priority: 0,
            max_attempts: 3,
            objective: Duration::from_secs(4),
            received_at: self.clocks().wall,
            spec: JobSpec { text: String::new(), steps, schedule: None },
        };
        let log = self.callers_log();
        self.write(log, Record::Submission(job, Box::new(submission)));
        if log == OVERFLOW {
            return;
        }
        for owner in 0..self.owners.len() {
            let state = &self.owners[owner];
            // An owner reads the record of a later owner before the submissions that follow it.
            let current = state.epoch == self.book.epoch();
            if state.active && state.connected && current {
                let event = Event::for_job(&state.book, job).unwrap();
                self.schedule(4, Effect::Reply { owner, event });
            }
        }
    }

    pub(crate) fn cancel(&mut self, key: u64) {
        let log = self.callers_log();
        self.write(log, Record::Cancel(JobKey(key), self.clocks().wall));
        if log == Log::Jobs {
            self.tell(&Event::Cancelled(JobKey(key)));
        }
    }
}

fn beat(epoch: u64) -> Record {
    Record::Owner(OwnerHeartbeat {
        epoch,
        node: NodeId::try_from("node").unwrap(),
        cores: Millicores(250),
        released: false,
        load: Vec::new(),
    })
}
