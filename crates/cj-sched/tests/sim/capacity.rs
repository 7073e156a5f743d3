//! Workers whose capacity changes while they run tasks.

use crate::{
    decisions::{Harness, starts},
    world::step,
};

/// Guards against starts that exceed a capacity that has shrunk below what the worker runs, and against a worker that gets no
/// more tasks once it has grown again.
#[test]
fn starts_follow_a_capacity_that_shrinks_and_grows() {
    let mut harness = Harness::new(&["r0"], None);
    harness.submit(1, vec![step(2, 2_000, 60_000)], None);
    assert_eq!(starts(&harness.poll_after(10)).len(), 2);
    harness.submit(2, vec![step(2, 1_000, 60_000)], None);
    for (cores, started) in [(3_000, 0), (5_000, 1), (8_000, 1)] {
        harness.register(0, "r0", cores);
        assert_eq!(starts(&harness.poll_after(200)).len(), started, "{cores} millicores");
    }
}
