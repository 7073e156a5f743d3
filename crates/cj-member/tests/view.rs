//! The view of live peers and the gossip algorithm, without a network.

mod common;

use std::time::{Duration, Instant};

use common::{SECOND, report};
use quickcheck::{Gen, QuickCheck};

use cj_member::{Gossip, PeerView, Received, Report, ViewOptions};

const OPTIONS: ViewOptions =
    ViewOptions { interval: SECOND, missed: 3, forget_after: Duration::from_secs(60) };

fn names(view: &PeerView, now: Instant) -> Vec<String> {
    view.live(now).iter().map(|p| p.report.node.node.to_string()).collect()
}

/// Guards against replacing a newer report by a delayed copy or by a report of an earlier incarnation.
#[test]
fn reports_are_taken_in_order() {
    let mut other_cluster = report("b", 1, 9);
    other_cluster.cluster = "other".into();
    let mut other_protocol = report("b", 1, 9);
    other_protocol.protocol += 1;
    let steps = [
        ("first", report("b", 1, 1), Received::Joined),
        ("newer", report("b", 1, 3), Received::Updated),
        ("copy", report("b", 1, 3), Received::Stale),
        ("late", report("b", 1, 2), Received::Stale),
        ("another cluster", other_cluster, Received::Foreign),
        ("another protocol", other_protocol, Received::Foreign),
        ("this node", report("a", 9, 1), Received::Foreign),
        ("restarted", report("b", 2, 1), Received::Joined),
        ("late, before the restart", report("b", 1, 4), Received::Stale),
        ("after the restart", report("b", 2, 2), Received::Updated),
    ];
    let now = Instant::now();
    let mut view = PeerView::new(report("a", 1, 0), OPTIONS);
    for (name, report, expected) in steps {
        assert_eq!(view.receive(report, now), expected, "{name}");
    }
}

/// Guards against ownership by peers that have missed too many heartbeats or are leaving.
#[test]
fn silent_and_leaving_peers_are_not_live() {
    let now = Instant::now();
    let mut view = PeerView::new(report("a", 1, 0), OPTIONS);
    view.receive(report("b", 1, 1), now);
    view.receive(report("c", 1, 1), now + SECOND);
    assert_eq!(names(&view, now + 3 * SECOND), ["b", "c"]);
    assert_eq!(names(&view, now + 4 * SECOND), ["c"]);
    let mut leaving = report("c", 1, 2);
    leaving.leaving = true;
    view.receive(leaving, now + 4 * SECOND);
    assert!(names(&view, now + 4 * SECOND).is_empty());
    let key = |n: u8| [n; 4];
    assert!((0..20).all(|n| view.owner(&key(n), now + 4 * SECOND).as_str() == "a"));
    view.receive(report("b", 1, 2), now + 5 * SECOND);
    assert_eq!(names(&view, now + 5 * SECOND), ["b"], "a returning peer is live again");
    view.own_mut().leaving = true;
    assert!((0..20).all(|n| view.owner(&key(n), now + 5 * SECOND).as_str() == "b"));
    view.tick(now + 66 * SECOND);
    assert_eq!(view.known().count(), 0, "forgotten");
}

/// Guards against a node that suspects all its peers after a pause of its own, and so takes over all ownership.
#[test]
fn paused_node_keeps_its_peers_for_a_while() {
    let start = Instant::now();
    let mut view = PeerView::new(report("a", 1, 0), OPTIONS);
    view.tick(start);
    view.receive(report("b", 1, 1), start);
    let resumed = start + 30 * SECOND;
    view.tick(resumed);
    assert_eq!(names(&view, resumed), ["b"]);
    for second in 1..=3 {
        view.tick(resumed + second * SECOND);
    }
    assert!(names(&view, resumed + 4 * SECOND).is_empty(), "a peer that stays silent is suspected");
}

/// Guards against different owners at nodes with the same view, also after a network partition has healed.
#[test]
fn owners_agree_and_partitions_heal() {
    let now = Instant::now();
    let members = ["a", "b", "c", "d"];
    let mut views: Vec<PeerView> =
        members.iter().map(|n| PeerView::new(report(n, 1, 0), OPTIONS)).collect();
    let mut spread = |counter: u64, now: Instant, linked: fn(usize, usize) -> bool| {
        for (i, view) in views.iter_mut().enumerate() {
            let linked_members = members.iter().enumerate().filter(|(j, _)| linked(i, *j));
            for (_, name) in linked_members {
                view.receive(report(name, 1, counter), now);
            }
        }
        let owners = |key: u8| views.iter().map(move |v| v.owner(&[key], now).to_string());
        (0..50).map(|key| owners(key).collect::<Vec<_>>()).collect::<Vec<_>>()
    };
    let same = |owners: &[Vec<String>]| owners.iter().all(|o| o.iter().all(|n| *n == o[0]));
    assert!(same(&spread(1, now, |_, _| true)));
    let split = spread(2, now + 10 * SECOND, |i, j| (i < 2) == (j < 2));
    assert!(split.iter().all(|o| o[0] == o[1] && o[2] == o[3]));
    assert!(!same(&split));
    assert!(same(&spread(3, now + 12 * SECOND, |_, _| true)));
}

/// Guards against keeping an older report, in whatever order copies arrive.
#[test]
fn newest_report_wins_in_any_order() {
    fn holds(counters: Vec<u8>) -> bool {
        let now = Instant::now();
        let mut view = PeerView::new(report("a", 1, 0), OPTIONS);
        for counter in &counters {
            view.receive(report("b", 1, u64::from(*counter)), now);
        }
        let newest = counters.iter().max().map(|c| u64::from(*c));
        view.known().next().map(|p| p.report.counter) == newest
    }
    let rng = Gen::from_size_and_seed(50, 20_261_204);
    QuickCheck::new().rng(rng).tests(500).quickcheck(holds as fn(Vec<u8>) -> bool);
}

fn exchange(nodes: &mut [Gossip], from: usize, to: usize, now: Instant) {
    let difference = nodes[to].compare(&nodes[from].versions());
    let requested: Vec<Report> = nodes[from].select(&difference.requested);
    nodes[from].merge(difference.reports, now);
    nodes[to].merge(requested, now);
}

/// Guards against reports that do not reach every node by exchanges along a ring, and against sending reports again
/// that the other node has.
#[test]
fn gossip_converges_and_sends_only_differences() {
    let now = Instant::now();
    let mut nodes: Vec<Gossip> =
        (0..9).map(|n| Gossip::new(report(&format!("n{n}"), 1, 1), OPTIONS)).collect();
    for _ in 0..2 {
        (0..9).for_each(|n| exchange(&mut nodes, n, (n + 1) % 9, now));
    }
    assert!(nodes.iter().all(|n| n.view.known().count() == 8));
    let difference = nodes[3].compare(&nodes[7].versions());
    assert!(difference.reports.is_empty() && difference.requested.is_empty());
}
