//! Workers and the load expected on them, brought up to date from the shared state.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use cj_fold::{Claim, Job, JobPhase, State};
use cj_record::VmKind;
use cj_types::{ClassId, JobId, Offset, PoolId, RackId, Resources, ServiceId, UnixMillis, VmId};

use crate::{health::Health, profile::Profile, types::UsageReport};

/// Quantile of the observed usage that a job is expected to need.
const DEMAND_QUANTILE: f64 = 0.9;
/// Shortest time between two scans of the open jobs, and its growth per open job. A scan costs well under 1 µs per job,
/// so scans take at most a few percent of a core.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
const SCAN_PER_JOB: Duration = Duration::from_micros(20);
/// Time for which an own decision counts until its claim shows in the state.
const DECISION_LIFETIME: Duration = Duration::from_secs(10);

/// A worker with the load expected on it.
pub(crate) struct Worker {
    pub(crate) vm: VmId,
    pub(crate) rack: RackId,
    pub(crate) capacity: Resources,
    /// Load expected from its claims, or reported when that is higher.
    pub(crate) load: Resources,
    pub(crate) tasks: u32,
    /// Expected end of its last task.
    pub(crate) busy_until: UnixMillis,
}

/// Workers of one pool.
#[derive(Default)]
pub(crate) struct Pool {
    pub(crate) workers: Vec<Worker>,
    /// Tasks per service and rack.
    pub(crate) racks: HashMap<(ServiceId, RackId), u32>,
}

/// What was last seen of an open job.
struct Seen {
    scan: u64,
    claim: Option<Claim>,
    failures: usize,
    service: ServiceId,
    class: ClassId,
    /// Fold time at which the claim was first seen.
    since: UnixMillis,
}

/// Profiles by service and class.
#[derive(Default)]
pub(crate) struct Profiles(HashMap<(ServiceId, ClassId), Profile>);

impl Profiles {
    pub(crate) fn get(&self, service: &ServiceId, class: &ClassId) -> Option<&Profile> {
        self.0.get(&(service.clone(), class.clone()))
    }

    pub(crate) fn get_mut(&mut self, service: &ServiceId, class: &ClassId) -> &mut Profile {
        self.0.entry((service.clone(), class.clone())).or_insert_with(Profile::new)
    }

    /// Demand that a job is expected to have.
    pub(crate) fn demand(&self, job: &Job) -> Resources {
        let unknown = Profile::new;
        match self.get(&job.service, &job.class) {
            Some(profile) => profile.demand(DEMAND_QUANTILE, job.demand),
            None => unknown().demand(DEMAND_QUANTILE, job.demand),
        }
    }

    /// Median run time that a job is expected to have.
    pub(crate) fn run(&self, job: &Job) -> Duration {
        let declared = Duration::from_millis(job.run_ms.into());
        self.get(&job.service, &job.class).map_or(declared, |p| p.run(0.5, job.run_ms))
    }
}

/// Workers, open jobs and own recent decisions.
#[derive(Default)]
pub(crate) struct Table {
    pub(crate) pools: BTreeMap<PoolId, Pool>,
    pub(crate) reports: BTreeMap<VmId, UsageReport>,
    pub(crate) profiles: Profiles,
    pub(crate) health: Health,
    seen: BTreeMap<JobId, Seen>,
    decided: BTreeMap<JobId, (VmId, UnixMillis)>,
    scan: u64,
    scanned: Option<(Offset, UnixMillis)>,
}

impl Table {
    /// Scans the state if it has changed and the last scan is old enough.
    pub(crate) fn refresh(&mut self, state: &State, now: UnixMillis) {
        let interval = SCAN_INTERVAL + SCAN_PER_JOB * self.seen.len() as u32;
        let due = self
            .scanned
            .is_none_or(|(next, at)| next != state.next && (now.since(at) >= interval || now < at));
        if due {
            self.scanned = Some((state.next, now));
            self.scan += 1;
            self.follow_jobs(state, now);
            self.rebuild(state, now);
        }
    }

    /// Capacity of a worker.
    pub(crate) fn capacity(&self, vm: &VmId) -> Option<Resources> {
        let workers = self.pools.values().flat_map(|p| &p.workers);
        workers.filter(|w| w.vm == *vm).map(|w| w.capacity).next()
    }

    /// Learns from what has become of the open jobs since the last scan.
    fn follow_jobs(&mut self, state: &State, now: UnixMillis) {
        for (id, job) in state.open_jobs().filter(|(_, j)| j.task) {
            let (old, since) = match self.seen.get(id) {
                Some(seen) => (seen.failures, seen.since),
                None => (job.failures.len(), now),
            };
            self.note_failures(state, id, job, old, now);
            let claim = match &job.phase {
                JobPhase::Claimed(claim) | JobPhase::OutcomeUnknown { claim, .. } => Some(claim),
                _ => None,
            };
            let same = self.seen.get(id).and_then(|s| s.claim.as_ref()).map(|c| c.token);
            let since = if same.is_some() && same == claim.map(|c| c.token) { since } else { now };
            if claim.is_some() {
                self.decided.remove(id);
            }
            let seen = Seen {
                scan: self.scan,
                claim: claim.cloned(),
                failures: job.failures.len(),
                service: job.service.clone(),
                class: job.class.clone(),
                since,
            };
            self.seen.insert(id.clone(), seen);
        }
        let scan = self.scan;
        let gone: Vec<JobId> =
            self.seen.iter().filter(|(_, s)| s.scan != scan).map(|(id, _)| id.clone()).collect();
        for id in gone {
            let Some(seen) = self.seen.remove(&id) else { continue };
            self.note_end(state, &id, &seen, now);
            self.decided.remove(&id);
        }
        self.decided.retain(|_, (_, at)| now.since(*at) < DECISION_LIFETIME);
        self.health.keep(|vm| state.vms.contains_key(vm));
    }

    fn note_failures(&mut self, state: &State, id: &JobId, job: &Job, old: usize, now: UnixMillis) {
        for (vm, _) in job.failures.iter().skip(old) {
            let members: Vec<&VmId> = state.members(&job.pool).map(|(id, _)| id).collect();
            let ejected = members.iter().filter(|vm| self.health.is_ejected(vm, now)).count();
            if self.health.failed(vm, (id, &job.failures), now, (ejected, members.len())) {
                log::warn!(target: "decision", "worker={vm} choice=eject reason=\"different jobs fail in a row\"");
            }
        }
    }

    fn note_end(&mut self, state: &State, id: &JobId, seen: &Seen, now: UnixMillis) {
        let Some(job) = state.jobs.get(id) else { return };
        self.note_failures(state, id, job, seen.failures, now);
        if let (JobPhase::Done { at, .. }, Some(claim)) = (&job.phase, &seen.claim) {
            self.health.succeeded(&claim.target, now);
            let profile = self.profiles.get_mut(&seen.service, &seen.class);
            profile.record_run(at.since(seen.since), job.run_ms);
        }
    }

    /// Computes the load of every worker from the claims, the reports and the own recent decisions.
    fn rebuild(&mut self, state: &State, now: UnixMillis) {
        self.pools.clear();
        let mut place: BTreeMap<&VmId, (&PoolId, usize)> = BTreeMap::new();
        for (id, vm) in state.vms.iter().filter(|(_, vm)| vm.kind == VmKind::Worker) {
            let pool = self.pools.entry(vm.pool.clone()).or_default();
            place.insert(id, (&vm.pool, pool.workers.len()));
            pool.workers.push(Worker {
                vm: id.clone(),
                rack: vm.rack.clone(),
                capacity: vm.capacity,
                load: Resources::default(),
                tasks: 0,
                busy_until: now,
            });
        }
        for (id, seen) in &self.seen {
            let claimed = seen.claim.as_ref().map(|c| (&c.target, seen.since));
            let decided = self.decided.get(id).map(|(vm, at)| (vm, *at));
            let Some((vm, since)) = claimed.or(decided) else { continue };
            let (Some(&(pool, index)), Some(job)) = (place.get(vm), state.jobs.get(id)) else {
                continue;
            };
            let expected = self.profiles.demand(job);
            let reported = self.reports.get(vm).and_then(|r| r.tasks.iter().find(|t| t.job == *id));
            let load = reported.map_or(expected, |t| typical(&self.profiles, job).most(t.used));
            let end = since + self.profiles.run(job);
            let pool = self.pools.get_mut(pool).expect("listed");
            pool.add(index, job, load, end);
        }
        for (vm, report) in &self.reports {
            if let Some(&(pool, index)) = place.get(vm) {
                let worker = &mut self.pools.get_mut(pool).expect("listed").workers[index];
                worker.load = worker.load.most(report.used);
            }
        }
        self.reports.retain(|vm, _| state.vms.contains_key(vm));
    }

    /// Counts an own decision until its claim shows in the state.
    pub(crate) fn decide(&mut self, id: &JobId, job: &Job, index: usize, now: UnixMillis) {
        let (load, end) = (self.profiles.demand(job), now + self.profiles.run(job));
        let Some(pool) = self.pools.get_mut(&job.pool) else { return };
        let vm = pool.workers[index].vm.clone();
        pool.add(index, job, load, end);
        self.decided.insert(id.clone(), (vm, now));
    }
}

impl Pool {
    fn add(&mut self, index: usize, job: &Job, load: Resources, end: UnixMillis) {
        let worker = &mut self.workers[index];
        worker.load = worker.load.plus(load);
        worker.tasks += 1;
        worker.busy_until = worker.busy_until.max(end);
        *self.racks.entry((job.service.clone(), worker.rack.clone())).or_default() += 1;
    }
}

/// Median demand of a job, below which a single report isn't believed: usage may still grow.
fn typical(profiles: &Profiles, job: &Job) -> Resources {
    profiles.get(&job.service, &job.class).map_or(job.demand, |p| p.demand(0.5, job.demand))
}

/// The larger of each resource.
trait Most {
    fn most(self, other: Self) -> Self;
}

impl Most for Resources {
    fn most(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}
