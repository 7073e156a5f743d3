//! Workers and the load expected on them, updated by scans of the shared state.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use cj_fold::{Job, JobPhase, State};
use cj_record::VmKind;
use cj_types::{
    ClassId, JobId, Offset, PoolId, RackId, Resources, ServiceId, Token, UnixMillis, VmId,
};

use crate::{
    health::WorkerHealth,
    profile::{Profile, Quantile, unobserved_demand},
    types::UsageReport,
};

/// Shortest time between two scans of the open jobs, and its growth per open job. A scan costs up to 1.6 µs per job, so
/// scans take at most 1.6% of a core in large regions.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);
const SCAN_INTERVAL_PER_JOB: Duration = Duration::from_micros(100);
/// Time after which a reservation lapses if its claim hasn't appeared in the state.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(10);

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
    pub(crate) rack_tasks: HashMap<(ServiceId, RackId), u32>,
}

/// An open job as of the last scan.
struct TrackedJob {
    id: JobId,
    claim: Option<(VmId, Token)>,
    failures: usize,
    /// Time in the state at which a scan first saw the claim.
    claimed_at: UnixMillis,
}

/// A job that occupies a worker by its claim or by a reservation.
struct PlacedJob<'a> {
    id: &'a JobId,
    job: &'a Job,
    vm: VmId,
    /// Time of the claim or the reservation.
    since: UnixMillis,
}

/// Profiles by service and class.
#[derive(Default)]
pub(crate) struct Profiles(HashMap<ServiceId, Vec<(ClassId, Profile)>>);

impl Profiles {
    pub(crate) fn get(&self, service: &ServiceId, class: &ClassId) -> Option<&Profile> {
        self.0.get(service)?.iter().find(|(id, _)| id == class).map(|(_, profile)| profile)
    }

    pub(crate) fn get_mut(&mut self, service: &ServiceId, class: &ClassId) -> &mut Profile {
        if !self.0.contains_key(service) {
            self.0.insert(service.clone(), Vec::new());
        }
        let classes = self.0.get_mut(service).expect("the service was inserted");
        let index = classes.iter().position(|(id, _)| id == class).unwrap_or_else(|| {
            classes.push((class.clone(), Profile::new()));
            classes.len() - 1
        });
        &mut classes[index].1
    }

    /// 90th percentile of the demand expected of a job, which a worker should reserve for it.
    pub(crate) fn expected_demand(&self, job: &Job) -> Resources {
        let profile = self.get(&job.service, &job.class);
        profile
            .map_or_else(|| unobserved_demand(job.demand), |p| p.demand(Quantile::P90, job.demand))
    }

    /// Median demand expected of a job.
    fn median_demand(&self, job: &Job) -> Resources {
        let profile = self.get(&job.service, &job.class);
        profile.map_or(job.demand, |p| p.demand(Quantile::Median, job.demand))
    }

    /// Median run time expected of a job.
    pub(crate) fn median_run_time(&self, job: &Job) -> Duration {
        let declared = Duration::from_millis(job.run_ms.into());
        self.get(&job.service, &job.class).map_or(declared, |p| p.median_run_time(job.run_ms))
    }
}

/// Workers, open jobs and reservations.
#[derive(Default)]
pub(crate) struct WorkerTable {
    pub(crate) pools: BTreeMap<PoolId, Pool>,
    pub(crate) reports: HashMap<VmId, UsageReport>,
    pub(crate) profiles: Profiles,
    pub(crate) health: WorkerHealth,
    /// Open jobs as of the last scan, in the order of their ids.
    tracked_jobs: Vec<TrackedJob>,
    /// Workers chosen for jobs whose claims aren't in the state yet, with the time of the decision.
    reservations: BTreeMap<JobId, (VmId, UnixMillis)>,
    /// Offset that the state had reached at the last scan, and the time of the scan.
    last_scan: Option<(Offset, UnixMillis)>,
}

impl WorkerTable {
    /// Scans the state if it has changed and the last scan is old enough.
    pub(crate) fn refresh(&mut self, state: &State, now: UnixMillis) {
        let interval = SCAN_INTERVAL + SCAN_INTERVAL_PER_JOB * self.tracked_jobs.len() as u32;
        let due = self
            .last_scan
            .is_none_or(|(next, at)| next != state.next && (now.since(at) >= interval || now < at));
        if due {
            self.last_scan = Some((state.next, now));
            let placed = self.track_jobs(state, now);
            self.rebuild_load(state, placed, now);
        }
    }

    /// Capacity of a worker, or `None` when the last scan didn't find it.
    pub(crate) fn capacity(&self, vm: &VmId) -> Option<Resources> {
        let workers = self.pools.values().flat_map(|p| &p.workers);
        workers.filter(|w| w.vm == *vm).map(|w| w.capacity).next()
    }

    /// Records the failures and ends of jobs since the last scan. Returns the jobs that occupy a worker, with the
    /// worker and the time since when.
    fn track_jobs<'a>(&mut self, state: &'a State, now: UnixMillis) -> Vec<PlacedJob<'a>> {
        let mut placed = Vec::new();
        // Both lists are in the order of ids, so one pass compares them without a search per job.
        let mut previous = std::mem::take(&mut self.tracked_jobs).into_iter().peekable();
        let mut tracked = Vec::with_capacity(previous.len());
        let mut closed = Vec::new();
        for (id, job) in state.open_jobs().filter(|(_, j)| j.task) {
            while let Some(ended) = previous.next_if(|s| s.id < *id) {
                closed.push(ended);
            }
            let failures = job.failures.len();
            let known = previous.next_if(|s| s.id == *id);
            let mut entry = known.unwrap_or_else(|| TrackedJob {
                id: id.clone(),
                claim: None,
                failures,
                claimed_at: now,
            });
            let claim = match &job.phase {
                JobPhase::Claimed(claim) | JobPhase::OutcomeUnknown { claim, .. } => Some(claim),
                _ => None,
            };
            if entry.claim.as_ref().map(|c| c.1) != claim.map(|c| c.token) {
                entry.claim = claim.map(|c| (c.target.clone(), c.token));
                entry.claimed_at = now;
                self.reservations.remove(id);
            }
            if let Some((vm, _)) = &entry.claim {
                placed.push(PlacedJob { id, job, vm: vm.clone(), since: entry.claimed_at });
            } else if let Some((vm, at)) = self.reservations.get(id) {
                placed.push(PlacedJob { id, job, vm: vm.clone(), since: *at });
            }
            let old_failures = std::mem::replace(&mut entry.failures, failures);
            if old_failures < failures {
                self.record_failures(state, id, job, old_failures, now);
            }
            tracked.push(entry);
        }
        closed.extend(previous);
        self.tracked_jobs = tracked;
        for ended in closed {
            self.record_end(state, &ended, now);
            self.reservations.remove(&ended.id);
        }
        self.reservations.retain(|_, (_, at)| now.since(*at) < RESERVATION_LIFETIME);
        self.health.retain(|vm| state.vms.contains_key(vm));
        placed
    }

    /// Records the failures of a job after its first `previous` ones.
    fn record_failures(
        &mut self,
        state: &State,
        id: &JobId,
        job: &Job,
        previous: usize,
        now: UnixMillis,
    ) {
        for (vm, _) in job.failures.iter().skip(previous) {
            let members: Vec<&VmId> = state.members(&job.pool).map(|(id, _)| id).collect();
            let ejected = members.iter().filter(|vm| self.health.is_ejected(vm, now)).count();
            if self.health.record_failure(vm, (id, &job.failures), now, (ejected, members.len())) {
                log::warn!(target: "decision", "worker={vm} choice=eject reason=\"different jobs fail in a row\"");
            }
        }
    }

    /// Records the remaining failures, the success and the run time of a job that is no longer open.
    fn record_end(&mut self, state: &State, tracked: &TrackedJob, now: UnixMillis) {
        let Some(job) = state.jobs.get(&tracked.id) else { return };
        self.record_failures(state, &tracked.id, job, tracked.failures, now);
        if let (JobPhase::Done { at, .. }, Some((vm, _))) = (&job.phase, &tracked.claim) {
            self.health.record_success(vm, now);
            let profile = self.profiles.get_mut(&job.service, &job.class);
            profile.record_run(at.since(tracked.claimed_at), job.run_ms);
        }
    }

    /// Computes the load of every worker from the claims, the reports and the reservations.
    fn rebuild_load(&mut self, state: &State, placed: Vec<PlacedJob<'_>>, now: UnixMillis) {
        self.pools.clear();
        let mut positions: HashMap<&VmId, (&PoolId, usize)> = HashMap::new();
        for (id, vm) in state.vms.iter().filter(|(_, vm)| vm.kind == VmKind::Worker) {
            let pool = self.pools.entry(vm.pool.clone()).or_default();
            positions.insert(id, (&vm.pool, pool.workers.len()));
            pool.workers.push(Worker {
                vm: id.clone(),
                rack: vm.rack.clone(),
                capacity: vm.capacity,
                load: Resources::default(),
                tasks: 0,
                busy_until: now,
            });
        }
        for PlacedJob { id, job, vm, since } in placed {
            let Some(&(pool, index)) = positions.get(&vm) else { continue };
            let report = self.reports.get(&vm);
            let reported = report.and_then(|r| r.tasks.iter().find(|t| t.job == *id));
            // Usage may still grow, so a report below the median is raised to it.
            let load = match reported {
                Some(task) => self.profiles.median_demand(job).max_each(task.used),
                None => self.profiles.expected_demand(job),
            };
            let end = since + self.profiles.median_run_time(job);
            self.pools.get_mut(pool).expect("its pool exists").add_task(index, job, load, end);
        }
        for (vm, report) in &self.reports {
            if let Some(&(pool, index)) = positions.get(vm) {
                let worker = &mut self.pools.get_mut(pool).expect("its pool exists").workers[index];
                worker.load = worker.load.max_each(report.used);
            }
        }
        self.reports.retain(|vm, _| state.vms.contains_key(vm));
    }

    /// Counts a decision as load until its claim appears in the state.
    pub(crate) fn reserve(&mut self, id: &JobId, job: &Job, index: usize, now: UnixMillis) {
        let (load, end) =
            (self.profiles.expected_demand(job), now + self.profiles.median_run_time(job));
        let Some(pool) = self.pools.get_mut(&job.pool) else { return };
        let vm = pool.workers[index].vm.clone();
        pool.add_task(index, job, load, end);
        self.reservations.insert(id.clone(), (vm, now));
    }
}

impl Pool {
    fn add_task(&mut self, index: usize, job: &Job, load: Resources, end: UnixMillis) {
        let worker = &mut self.workers[index];
        worker.load = worker.load.plus(load);
        worker.tasks += 1;
        worker.busy_until = worker.busy_until.max(end);
        *self.rack_tasks.entry((job.service.clone(), worker.rack.clone())).or_default() += 1;
    }
}

/// Component-wise maximum of resources.
trait ComponentMax {
    fn max_each(self, other: Self) -> Self;
}

impl ComponentMax for Resources {
    fn max_each(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}
