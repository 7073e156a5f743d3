//! Checks of submitted jobs.

use std::time::Duration;

use cj_sched::{JobSpec, Schedule, StepSpec};
use cj_types::UnixMillis;

/// Guards against a job whose number of tasks overflows and that is accepted: its owner would need more memory than there
/// is.
#[test]
fn number_of_tasks_does_not_overflow() {
    let step = StepSpec { count: u32::MAX, ..StepSpec::default() };
    let (start, interval) = (UnixMillis(0), Duration::from_secs(1));
    // 8 x (2^32 - 1) x 2^30 is just below a multiple of 2^64.
    for (steps, count) in [(1, 1), (8, 1 << 30), (68, 2_875_446_845)] {
        let schedule = Some(Schedule { count, start, interval });
        let spec = JobSpec { text: String::new(), steps: vec![step.clone(); steps], schedule };
        let error = spec.validate().unwrap_err().to_string();
        assert!(error.contains("at most 100,000 tasks"), "{error}");
    }
}
