//! Admission: which jobs are refused, and when their callers may retry.

use std::time::Duration;

use cj_entry::admission::{AdmissionDecision, admit};
use cj_sched::{
    JobSpec, StepSpec,
    record::{OwnerHeartbeat, ServiceLoad},
};
use cj_types::{Millicores, NodeId, ServiceId};

const OBJECTIVE: Duration = Duration::from_secs(2);

fn heartbeat(backlog_s: u64) -> OwnerHeartbeat {
    let load = ServiceLoad { capacity: 32_000, backlog: 32_000 * backlog_s * 1_000 };
    let service = ServiceId::try_from("s").unwrap();
    let node = NodeId::try_from("n").unwrap();
    OwnerHeartbeat {
        epoch: 1,
        node,
        cores: Millicores(250),
        released: false,
        load: vec![(service, load)],
    }
}

fn decide(backlog_s: u64, long_running: bool) -> AdmissionDecision {
    let step = StepSpec { count: 1, long_running, ..StepSpec::default() };
    let spec = JobSpec { text: String::new(), steps: vec![step], schedule: None };
    admit(Some(&heartbeat(backlog_s)), &ServiceId::try_from("s").unwrap(), &spec, OBJECTIVE)
}

/// A burst of several times the capacity: jobs are accepted while they can finish in time to be of use, and then
/// refused with the time after which the backlog has shrunk. Guards against refusing jobs while workers will be idle
/// after the burst.
#[test]
fn refuses_only_jobs_that_would_be_too_late() {
    assert_eq!(decide(0, false), AdmissionDecision::Accept);
    assert_eq!(decide(15, false), AdmissionDecision::Accept);
    assert_eq!(decide(19, false), AdmissionDecision::Refuse(Duration::from_secs(3)));
    assert_eq!(decide(100, false), AdmissionDecision::Refuse(Duration::from_secs(10)));
}

/// Guards against refusing long-running jobs during a burst of finite ones, although they take precedence over those.
#[test]
fn accepts_long_running_jobs_in_a_burst() {
    assert_eq!(decide(100, true), AdmissionDecision::Accept);
}
