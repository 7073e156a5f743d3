//! Placement query: what would become of a job if it were submitted now. Asking changes nothing.

use std::{rc::Rc, time::Duration};

use cj_types::{AccountId, Resources, ServiceId};
use compact_str::CompactString;

use crate::{
    config::Queue,
    job::{JobKey, JobSpec, StepSpec},
    record::Submission,
    sched::{
        event::VmState,
        placement_report::{
            Ages, ExpectedTimes, Hold, MAX_NAMED_STEPS, NoTimes, PlacementReport, PoolState,
            StepPlacement, WorkAhead,
        },
        placement_trial::{Trial, times_within},
        scheduler::Scheduler,
        work::{Job, TaskRef},
        worker::Worker,
    },
};

/// Maximum number of steps of a job that is asked about: the state of each is made for the query, which holds up the
/// owner meanwhile.
pub const MAX_QUERY_STEPS: usize = 4_096;

/// A job that is asked about.
#[derive(Clone, Debug)]
pub struct PlacementQuery {
    /// Name of its queue.
    pub queue: CompactString,
    /// The account that it would belong to.
    pub account: Option<AccountId>,
    /// The job; it is valid and has at most [`MAX_QUERY_STEPS`] steps.
    pub spec: JobSpec,
}

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Work of tasks in millicores times milliseconds.
fn work(tasks: u64, spec: &StepSpec, each: Duration) -> u64 {
    let cores = u64::from(spec.demand.cores.0);
    tasks.saturating_mul(cores).saturating_mul(ms(each))
}

impl Scheduler {
    /// Tells where the tasks of a job would start if it were submitted now, and when it would end. `None` if the
    /// configuration has no such queue.
    pub fn explain_placement(&self, query: &PlacementQuery) -> Option<PlacementReport> {
        let queue = self.config.queue(&query.queue)?;
        let (service, spec) = (&queue.service, &query.spec);
        let job = self.job_of_query(queue, query);
        let cap_room = query.account.as_ref().and_then(|account| self.cap_room(account));
        let mut trial = Trial::default();
        let mut room = cap_room;
        let is_due = spec.schedule.is_none_or(|schedule| schedule.due(0) <= self.now.wall);
        let first = spec.steps.iter().enumerate().filter(|(_, step)| step.after.is_empty());
        let first_steps = first.clone().count();
        let mut steps = Vec::new();
        for (number, step) in first.take(MAX_NAMED_STEPS) {
            let mut placement = self.explain_step(number, step, &job, &mut trial, room);
            if !is_due && placement.hold.is_none() {
                placement.hold = Some(Hold::NotDue);
                placement.starting = 0;
            }
            let taken = step.demand.times(placement.starting);
            room = room.map(|room| room.minus(taken));
            steps.push(placement);
        }
        let (ahead, pool) = (self.work_ahead(queue), self.pool_contents(service));
        let times = self.expected_times(&job, query, &steps, &ahead, &pool);
        Some(PlacementReport {
            service: service.clone(),
            config: self.config.version,
            unnamed_steps: first_steps - steps.len(),
            later_steps: spec.steps.len() - first_steps,
            steps,
            ahead,
            pool,
            cap_room,
            expected: times.ok(),
            no_times: times.err(),
            ages: self.ages(service),
        })
    }

    /// A job with the steps of the query, but with one task each, which takes less time to make. Steps without runs are in the
    /// same state whatever the number of their tasks.
    fn job_of_query(&self, queue: &Queue, query: &PlacementQuery) -> Job {
        let single = |step: &StepSpec| StepSpec { count: 1, ..step.clone() };
        let steps = query.spec.steps.iter().map(single).collect();
        let submission = Submission {
            queue: queue.name.clone(),
            service: queue.service.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            objective: Duration::ZERO,
            received_at: self.now.wall,
            spec: JobSpec { text: String::new(), steps, schedule: None },
            account: query.account.clone(),
        };
        Job::new(JobKey(0), Rc::new(submission), true, self.now.mono, |_| None)
    }

    /// The registered workers of a pool.
    fn registered_workers<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Worker> {
        let of_pool = move |worker: &&Worker| worker.registered && worker.service == *service;
        self.workers.values().filter(of_pool)
    }

    /// Expected run time of a task of a step.
    fn run_time(&self, job: &Job, step: usize) -> Duration {
        self.expected_run_time(job, step as u32, &job.occurrences[0].steps[step])
    }

    /// Tells where the tasks of a step that waits for no other would start.
    fn explain_step(
        &self,
        number: usize,
        step: &StepSpec,
        job: &Job,
        trial: &mut Trial,
        cap_room: Option<Resources>,
    ) -> StepPlacement {
        let service = &job.submission.service;
        let capped =
            cap_room.map_or(step.count, |room| times_within(step.demand, room).min(step.count));
        let mut chosen = trial.place_step(self, step, service, capped);
        let queue = self.config.queue(&job.submission.queue);
        let hold = if !self.may_command() {
            Some(Hold::OwnershipUnconfirmed)
        } else if queue.is_some_and(|queue| queue.advice.is_some()) {
            Some(Hold::Advice)
        } else if capped < step.count {
            Some(Hold::AccountCap)
        } else if step.gang && chosen.starting < step.count {
            Some(Hold::Gang)
        } else {
            None
        };
        if matches!(hold, Some(Hold::OwnershipUnconfirmed | Hold::Advice)) {
            chosen.starting = 0;
        }
        let able = |capacity: Resources, labels: &[CompactString]| {
            let has_label = step.requires.as_ref().is_none_or(|label| labels.contains(label));
            has_label && step.allocation().fits(capacity)
        };
        let workers = self.registered_workers(service);
        StepPlacement {
            step: number as u32,
            tasks: step.count,
            starting: chosen.starting,
            hold,
            workers: chosen.workers,
            chosen_workers: chosen.chosen_workers,
            others: chosen.others,
            able_workers: workers.filter(|w| able(w.capacity, &w.labels)).count(),
            able_vms: self.vms.values().filter(|row| able(row.capacity, &row.labels)).count(),
            expected_run_ms: ms(self.run_time(job, number)),
        }
    }

    /// Work of the pool of a queue that runs or waits.
    fn work_ahead(&self, queue: &Queue) -> WorkAhead {
        let mut sum = WorkAhead::default();
        let of_pool =
            |job: &&Job| !job.is_over() && *self.service_of(&job.submission) == queue.service;
        for (slot, job) in self.jobs.iter().filter(|(_, job)| of_pool(job)) {
            let priority = job.submission.priority;
            let in_time = job.in_time || !self.policies.rank;
            let goes_first = priority < queue.priority || (priority == queue.priority && in_time);
            let mut waiting: u64 = 0;
            for (number, occurrence) in job.occurrences.iter().enumerate() {
                if !occurrence.is_open_and_due(self.now.wall) {
                    continue;
                }
                for (step, state) in occurrence.steps.iter().enumerate() {
                    let spec = job.step_spec(step as u32);
                    if spec.long_running || state.is_done() {
                        continue;
                    }
                    let each = self.expected_run_time(job, step as u32, state);
                    waiting = waiting.saturating_add(work(state.idle.len() as u64, spec, each));
                    for &index in &state.placed {
                        let (occurrence, step) = (number as u32, step as u32);
                        let at = TaskRef { job: slot, occurrence, step, index };
                        let Some(placement) = self.task(at).placement() else { continue };
                        let rest = work(1, spec, self.remaining_run_time(at, placement));
                        sum.running = sum.running.saturating_add(rest);
                    }
                }
            }
            if goes_first {
                sum.waiting = sum.waiting.saturating_add(waiting);
                sum.jobs += usize::from(waiting > 0);
            } else {
                sum.behind = sum.behind.saturating_add(waiting);
            }
        }
        sum
    }

    /// Workers and VMs of a pool, present and arriving.
    fn pool_contents(&self, service: &ServiceId) -> PoolState {
        let now = self.now.mono;
        let mut state = PoolState::default();
        for worker in self.registered_workers(service) {
            state.workers += 1;
            if !worker.accepts_tasks(now) {
                continue;
            }
            state.accepting += 1;
            state.capacity_m += u64::from(worker.capacity.cores.0);
            state.free_m += u64::from(worker.free().cores.0);
            for at in &worker.runs {
                let spec = self.jobs[at.job].step_spec(at.step);
                let cores = if spec.long_running { spec.allocation().cores.0 } else { 0 };
                state.long_running_m += u64::from(cores);
            }
        }
        let spare_pool = self.config.spare_pool();
        for row in self.vms.values() {
            let (is_up, moves) = (row.state == VmState::Up, self.is_moving(&row.vm));
            state.vms += usize::from(is_up && row.pool == *service);
            state.spare += usize::from(is_up && Some(&row.pool) == spare_pool && !moves);
            if row.state == VmState::Moving && row.pool == *service && !moves {
                state.arriving += 1;
                state.arriving_m += u64::from(row.capacity.cores.0);
            }
        }
        for (vm, sent) in self.sent_to(service) {
            let Some(row) = self.vms.get(vm) else { continue };
            let worker = row.worker.as_ref().and_then(|id| self.worker_keys.get(id));
            if worker.is_some_and(|key| self.workers[*key].service == *service) {
                continue;
            }
            state.arriving += 1;
            state.arriving_m += u64::from(row.capacity.cores.0);
            let left = ms((sent + self.limits.move_time).saturating_duration_since(now));
            state.next_arrival_ms =
                Some(state.next_arrival_ms.map_or(left, |known: u64| known.min(left)));
        }
        // A worker registers before a list of VMs shows on which VM it runs, so some of these may have arrived.
        let absent = (state.vms + state.arriving).saturating_sub(state.workers);
        if absent < state.arriving {
            state.arriving_m = state.arriving_m * absent as u64 / state.arriving as u64;
            state.arriving = absent;
            state.next_arrival_ms = state.next_arrival_ms.filter(|_| absent > 0);
        }
        state
    }

    /// When a job would start and end, if the pool works off what runs and what goes first before it has room.
    fn expected_times(
        &self,
        job: &Job,
        query: &PlacementQuery,
        steps: &[StepPlacement],
        ahead: &WorkAhead,
        pool: &PoolState,
    ) -> Result<ExpectedTimes, NoTimes> {
        let spec = &query.spec;
        if spec.is_long_running() {
            return Err(NoTimes::LongRunning);
        }
        if steps.iter().any(|step| step.able_workers == 0 && step.able_vms == 0) {
            return Err(NoTimes::TooLarge);
        }
        let present = pool.capacity_m.saturating_sub(pool.long_running_m);
        let (capacity, arrival) = if present > 0 {
            (present, 0)
        } else if pool.arriving_m > 0 {
            let unknown = ms(self.limits.move_time);
            (pool.arriving_m, pool.next_arrival_ms.unwrap_or(unknown))
        } else if pool.spare > 0 {
            (self.spare_capacity(), ms(self.limits.move_time))
        } else {
            return Err(NoTimes::NoWorkers);
        };
        let capacity = capacity.max(1);
        let starts_now = steps.iter().all(|step| step.starting == step.tasks);
        let backlog = ahead.running.saturating_add(ahead.waiting);
        let wait = if starts_now { 0 } else { arrival.saturating_add(backlog / capacity) };
        let due = spec.schedule.map_or(0, |schedule| ms(schedule.due(0).since(self.now.wall)));
        let wait_ms = wait.max(due);
        let whole = spec.critical_path_by(|n, step| {
            self.longest_run_time(job, n as u32, &job.occurrences[0].steps[n], step.count)
        });
        let own = spec.steps.iter().enumerate().fold(0_u64, |sum, (n, step)| {
            sum.saturating_add(work(u64::from(step.count), step, self.run_time(job, n)))
        });
        let run_ms = ms(whole).max(own / capacity);
        let queue = self.config.queue(&query.queue);
        let objective_ms = queue.map_or(0, |queue| {
            let seconds = whole.as_secs_f64() * f64::from(queue.stretch.max(1.0));
            ms(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
                .saturating_add(ms(queue.target))
        });
        let end_ms = wait_ms.saturating_add(run_ms);
        let in_time = end_ms.saturating_sub(due) <= objective_ms;
        Ok(ExpectedTimes { wait_ms, run_ms, end_ms, objective_ms, in_time })
    }

    /// Processors of the VMs in the spare pool.
    fn spare_capacity(&self) -> u64 {
        let spare_pool = self.config.spare_pool();
        let spares = self.vms.values().filter(|row| Some(&row.pool) == spare_pool);
        spares.map(|row| u64::from(row.capacity.cores.0)).sum()
    }

    /// Ages of the inputs of the scheduler that an answer rests on.
    fn ages(&self, service: &ServiceId) -> Ages {
        let age = |at| ms(self.now.mono.saturating_duration_since(at));
        let listings =
            || self.registered_workers(service).filter_map(|worker| worker.last_answer.map(age));
        Ages {
            vm_list_ms: self.vms_known.then(|| age(self.vms_requested)),
            heartbeat_ms: self.heartbeat_age() as u64,
            placement_pass_ms: age(self.placed_at),
            newest_listing_ms: listings().min(),
            oldest_listing_ms: listings().max(),
        }
    }
}
