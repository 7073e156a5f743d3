//! Queueing and dropping of log lines.

use std::io::Write;

use cj_entry::logging::{DroppedLines, LineQueue, dropped_line};
use cj_types::NodeId;

/// Guards against broken lines: the logger writes a line in several parts, and dropping only some of them would break
/// it.
#[test]
fn lines_are_queued_and_dropped_as_a_whole() {
    let dropped = DroppedLines::default();
    let (mut queue, received) = LineQueue::new(2, dropped.clone());
    for (number, choice) in ["start", "stop", "reload"].iter().enumerate() {
        writeln!(queue, "at={number} choice={choice}").unwrap();
    }
    let lines: Vec<Vec<u8>> = received.try_iter().collect();
    assert_eq!(lines, [&b"at=0 choice=start\n"[..], b"at=1 choice=stop\n"]);
    assert_eq!(dropped.count(), 1);
}

/// Guards against a flood of requests that takes the room of the lines that tell what starts and ends runs.
#[test]
fn lines_about_requests_leave_room_for_others() {
    let dropped = DroppedLines::default();
    let (mut queue, received) = LineQueue::new(8, dropped.clone());
    for _ in 0..20 {
        queue.write_all(b"kind=decision job=1 request=authenticate choice=refused\n").unwrap();
    }
    queue.write_all(b"kind=decision task=1.0.0.0 choice=start\n").unwrap();
    let lines: Vec<_> = received.try_iter().collect();
    assert!(lines.last().unwrap().ends_with(b"choice=start\n"));
    assert_eq!(dropped.count() as usize, 21 - lines.len());
}

/// Guards against lost lines that nobody notices, because the line that counts them names neither time nor node.
#[test]
fn the_line_about_dropped_lines_names_time_and_node() {
    let line = dropped_line(&NodeId::try_from("n1").unwrap(), 7);
    let (at, rest) = line.trim_end().split_once(' ').unwrap();
    assert!(at.strip_prefix("at=").unwrap().parse::<u64>().unwrap() > 0);
    assert_eq!(rest, "level=WARN node=n1 kind=process choice=drop_lines total=7");
}

/// Guards against starts whose lines are lost with a process that is killed while its lines gather.
#[test]
fn lines_about_runs_do_not_wait_for_others() {
    let (mut queue, _received) = LineQueue::new(8, DroppedLines::default());
    queue.write_all(b"kind=decision job=1 request=submit choice=accepted\n").unwrap();
    assert!(!queue.take_has_run());
    queue.write_all(b"kind=decision task=1.0.0.0 choice=start\n").unwrap();
    queue.write_all(b"kind=decision job=2 request=submit choice=accepted\n").unwrap();
    assert!(queue.take_has_run());
    assert!(!queue.take_has_run());
}
