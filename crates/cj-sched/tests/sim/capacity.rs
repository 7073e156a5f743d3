//! Workers whose capacity changes while they run tasks.

use cj_sched::{Event, sched::WorkerRegistration};

use crate::{
    decisions::{Harness, starts},
    world::{resources, service, step},
};

fn registration(harness: &Harness, cores: u32) -> Event {
    Event::Registered(WorkerRegistration {
        id: harness.workers[0].clone(),
        started_at: Some(1),
        service: service("red"),
        address: "127.0.0.1:1".into(),
        capacity: resources(cores, 64_000),
        labels: vec!["a".into(), "r0".into()],
        draining: false,
        remaining: None,
    })
}

/// Guards against starts that exceed a capacity that has shrunk below what the worker runs, and against a worker that gets no
/// more tasks once it has grown again.
#[test]
fn starts_follow_a_capacity_that_shrinks_and_grows() {
    let mut harness = Harness::new(&["r0"], None);
    harness.submit(1, vec![step(2, 2_000, 60_000)], None);
    assert_eq!(starts(&harness.poll_after(10)).len(), 2);

    harness.handle(registration(&harness, 3_000));
    harness.submit(2, vec![step(2, 1_000, 60_000)], None);
    assert!(starts(&harness.poll_after(200)).is_empty());

    harness.handle(registration(&harness, 5_000));
    assert_eq!(starts(&harness.poll_after(200)).len(), 1);
    harness.handle(registration(&harness, 8_000));
    assert_eq!(starts(&harness.poll_after(200)).len(), 1);
}
