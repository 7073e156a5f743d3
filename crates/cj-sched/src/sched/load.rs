//! Load of each service, which the owner publishes to all nodes.

use std::{collections::BTreeMap, time::Duration};

use cj_types::ServiceId;

use crate::{
    record::ServiceLoad,
    sched::{scheduler::Scheduler, work::Job},
};

impl Scheduler {
    /// Capacity in millicores, and open work in millicores times milliseconds, by service.
    pub fn load(&self) -> Vec<(ServiceId, ServiceLoad)> {
        let mut load: BTreeMap<ServiceId, ServiceLoad> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.registered && !worker.draining) {
            let entry = load.entry(worker.service.clone()).or_default();
            entry.capacity += u64::from(worker.capacity.cores.0);
        }
        for job in self.jobs.values().filter(|job| !job.is_over()) {
            let service = self.service_of(&job.submission).clone();
            let work = self.open_work(job);
            let backlog = &mut load.entry(service).or_default().backlog;
            *backlog = backlog.saturating_add(work);
        }
        load.into_iter().collect()
    }

    /// Expected work of the finite tasks of a job that aren't done, in millicores times milliseconds.
    pub(super) fn open_work(&self, job: &Job) -> u64 {
        let mut sum: u64 = 0;
        for occurrence in &job.occurrences {
            for (number, step) in occurrence.steps.iter().enumerate() {
                let number = number as u32;
                let spec = job.step_spec(number);
                if spec.long_running || spec.estimate == Duration::ZERO {
                    continue;
                }
                let open = step.open_tasks() as u64;
                let work = open * u64::from(spec.demand.cores.0);
                let expected = self.expected_run_time(job, number, step).as_millis() as u64;
                sum = sum.saturating_add(work.saturating_mul(expected));
            }
        }
        sum
    }
}
