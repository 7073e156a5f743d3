//! Admission: which jobs are refused, and when their callers are asked to return.

use std::time::Duration;

use cj_entry::admission::{Verdict, admit};
use cj_sched::{
    JobSpec, StepSpec,
    record::{OwnerHeartbeat, ServiceLoad},
};
use cj_types::{Millicores, NodeId, ServiceId};

const OBJECTIVE: Duration = Duration::from_secs(2);

fn beat(backlog_s: u64) -> OwnerHeartbeat {
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

fn verdict(backlog_s: u64, lasting: bool) -> Verdict {
    let step = StepSpec { count: 1, long_running: lasting, ..StepSpec::default() };
    let spec = JobSpec { text: String::new(), steps: vec![step], schedule: None };
    admit(Some(&beat(backlog_s)), &ServiceId::try_from("s").unwrap(), &spec, OBJECTIVE)
}

/// Plays a burst of several times the capacity: jobs are taken while they can be of use, then refused with the time after
/// which the backlog has shrunk. Guards against refusals while workers idle after the burst.
#[test]
fn refuses_only_what_comes_too_late() {
    assert_eq!(verdict(0, false), Verdict::Accept);
    assert_eq!(verdict(15, false), Verdict::Accept);
    assert_eq!(verdict(19, false), Verdict::Refuse(Duration::from_secs(3)));
    assert_eq!(verdict(100, false), Verdict::Refuse(Duration::from_secs(10)));
}

/// Guards against lasting jobs that are refused during a burst of finite ones, over which they go.
#[test]
fn takes_lasting_jobs_in_a_burst() {
    assert_eq!(verdict(100, true), Verdict::Accept);
}
