//! Tests of single rules of the router, and of its reaction to single faults.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use cj_route::{Action, Admission, Completion, PoolView, Refusal, Router, Selection, Ticket};
use cj_types::VmId;

use crate::support::{SLOTS, done, name, pool, queued, request, router, sends, sent, view};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn start(view: PoolView) -> (Router, Instant) {
    let (mut router, now) = (router(Selection::Apportioned, 1), Instant::now());
    router.update(view, now);
    (router, now)
}

fn fill(router: &mut Router, class: &str, now: Instant) -> Vec<(Ticket, VmId)> {
    let mut running = Vec::new();
    loop {
        match router.offer(request(class, "a", now + 4 * SECOND), now) {
            Admission::Dispatch { ticket, upstream } => running.push((ticket, upstream)),
            Admission::Queued { ticket } => {
                router.cancel(ticket, now);
                return running;
            }
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a refused request that stays open, and against a wrong reason.
#[test]
fn refusals_name_their_reason() {
    let (mut router, now) = start(view(2));
    let good = request("urgent", "a", now + SECOND);
    let mut leaving = view(2);
    leaving.pools.get_mut(&pool()).unwrap().upstreams.iter_mut().for_each(|u| u.leaving = true);
    let cases = [
        (Refusal::UnknownService, view(2), {
            cj_route::Request { service: name("other"), ..good.clone() }
        }),
        (Refusal::ClassNotAccepted, view(2), request("other", "a", now + SECOND)),
        (Refusal::Deadline, view(2), request("urgent", "a", now)),
        (Refusal::NoUpstream, leaving, good.clone()),
        (Refusal::UnknownService, PoolView::default(), good),
    ];
    for (expected, view, request) in cases {
        router.update(view, now);
        match router.offer(request, now) {
            Admission::Refused { reason, retry_after } => {
                assert_eq!(reason, expected);
                assert!(!retry_after.is_zero());
            }
            other => panic!("{expected:?}: {other:?}"),
        }
        assert_eq!(router.open_tickets(), 0);
    }
}

/// Guards against admission of requests that can't finish before their deadline, and refusal of ones that can: 4 slots
/// of 1 s that become free every 250 ms finish 6 more requests within 2.5 s.
#[test]
fn queue_refuses_what_cannot_finish() {
    let (mut router, mut now) = start(view(2));
    let mut running = VecDeque::new();
    for _ in 0..200 {
        running.push_back(sent(router.offer(request("urgent", "a", now + 4 * SECOND), now)).0);
        now += 250 * MS;
        if running.len() == 4 {
            router.complete(running.pop_front().unwrap(), done(), now);
        }
    }
    running.push_back(sent(router.offer(request("urgent", "a", now + 4 * SECOND), now)).0);
    let deadline = now + 2500 * MS;
    let mut waiting = 0;
    while let Admission::Queued { .. } = router.offer(request("urgent", "a", deadline), now) {
        waiting += 1;
    }
    assert!((5..=6).contains(&waiting), "{waiting} requests were queued");
    while let Some(ticket) = running.pop_front() {
        now += 250 * MS;
        running.extend(sends(&router.complete(ticket, done(), now)).iter().map(|(t, _)| *t));
    }
    assert!(now <= deadline);
    assert_eq!((router.counters().given_up, router.open_tickets()), (0, 0));
}

/// Guards against queued requests that are kept until their deadline although their pool has lost its upstreams.
#[test]
fn loss_of_slots_gives_up_at_once() {
    let (mut router, now) = start(view(4));
    for _ in 0..3 {
        let running = fill(&mut router, "urgent", now);
        for (ticket, _) in running {
            router.complete(ticket, done(), now + SECOND);
        }
    }
    let now = now + SECOND;
    fill(&mut router, "urgent", now);
    let deadline = now + 4 * SECOND;
    let waiting = (0..12).filter(|_| {
        matches!(router.offer(request("urgent", "a", deadline), now), Admission::Queued { .. })
    });
    let waiting = waiting.count();
    router.poll(now);
    let mut smaller = view(4);
    smaller.pools.get_mut(&pool()).unwrap().upstreams.truncate(1);
    router.update(smaller, now);
    let given_up = router.poll(now).len();
    assert!(given_up > 0 && given_up < waiting, "{given_up} of {waiting} requests were given up");
    router.update(PoolView::default(), now);
    assert_eq!(router.poll(now).len(), waiting - given_up);
    router.check_invariants();
}

/// Guards against a late completion that ends another request, and against an end that is counted twice.
#[test]
fn late_completions_have_no_effect() {
    let (mut router, now) = start(view(1));
    let (first, _) = sent(router.offer(request("urgent", "a", now + SECOND), now));
    router.cancel(first, now);
    let (second, vm) = sent(router.offer(request("urgent", "a", now + SECOND), now));
    for result in [done(), Completion::Failed, Completion::NotRun { load: None }] {
        assert!(router.complete(first, result, now).is_empty());
    }
    assert!(router.cancel(first, now).is_empty());
    // The entry daemon cancels every ticket when its caller disconnects, also an ended one; that isn't a late
    // completion.
    assert_eq!((router.counters().late_completions, router.in_flight(&vm)), (3, 1));
    assert_eq!(router.counters().cancelled, 1);
    router.complete(second, done(), now);
    router.complete(second, done(), now);
    assert_eq!(
        (router.counters().late_completions, router.counters().done, router.open_tickets()),
        (4, 1, 0)
    );
}

/// Guards against a second run of work that may have run and isn't idempotent. A retry goes to another data centre and
/// gets only the remaining time.
#[test]
fn only_safe_work_is_retried() {
    let not_run = Completion::NotRun { load: Some(2) };
    let cases = [
        (true, Completion::Failed, true),
        (true, not_run, true),
        (false, not_run, true),
        (false, Completion::Failed, false),
    ];
    for (idempotent, result, retried) in cases {
        let (mut router, now) = start(view(6));
        let request = cj_route::Request { idempotent, ..request("urgent", "a", now + SECOND) };
        let (ticket, first) = sent(router.offer(request, now));
        let actions = router.complete(ticket, result, now);
        if !retried {
            let [Action::GiveUp { reason, may_have_run, .. }] = actions[..] else {
                panic!("{actions:?}");
            };
            assert_eq!((reason, may_have_run), (Refusal::Failed, true));
            continue;
        }
        let due = router.next_poll().expect("the retry is scheduled");
        let actions = router.poll(due);
        let [Action::Retry { upstream, remaining, .. }] = &actions[..] else {
            panic!("{actions:?}");
        };
        let entry = &view(6).pools[&pool()];
        let centre =
            |vm: &VmId| entry.upstreams.iter().find(|u| u.vm == *vm).unwrap().centre.clone();
        assert_ne!(centre(&first), centre(upstream), "another failure domain is preferred");
        assert_eq!(*remaining, SECOND - (due - now), "the remaining time is passed on");
    }
}

/// Guards against a retry storm: retries stay within a tenth of the fresh requests plus the saved budget.
#[test]
fn retries_stay_within_the_budget() {
    let (mut router, mut now) = start(view(4));
    let fresh = 1000;
    for _ in 0..fresh {
        let (mut ticket, _) = sent(router.offer(request("urgent", "a", now + SECOND), now));
        loop {
            let actions = router.complete(ticket, Completion::Failed, now);
            if actions.iter().any(|a| matches!(a, Action::GiveUp { .. })) {
                break;
            }
            let mut next = Vec::new();
            while next.is_empty() {
                now = router.next_poll().expect("the retry is scheduled");
                next = sends(&router.poll(now));
            }
            ticket = next[0].0;
        }
        now += MS;
    }
    assert!(router.counters().retries <= fresh / 10 + 20, "{:?}", router.counters());
    assert_eq!(router.open_tickets(), 0);
}

/// Guards against an upstream that fails every request and still gets new ones, and against the ejection of a whole
/// pool.
#[test]
fn outliers_are_ejected_up_to_a_limit() {
    for (bad, max_ejections) in [(1, 1), (9, 3)] {
        let (mut router, mut now) = start(view(9));
        let is_bad = |vm: &VmId| vm.as_str() < format!("vm-{bad:02}").as_str();
        let mut hits_after_ejection = 0;
        for round in 0..600 {
            now += MS;
            let request =
                cj_route::Request { idempotent: false, ..request("urgent", "a", now + SECOND) };
            let (ticket, vm) = sent(router.offer(request, now));
            hits_after_ejection += usize::from(bad == 1 && round > 300 && is_bad(&vm));
            let result = if is_bad(&vm) { Completion::Failed } else { done() };
            router.complete(ticket, result, now);
        }
        assert_eq!(hits_after_ejection, 0, "an ejected upstream gets no requests");
        assert!(router.counters().ejections <= max_ejections);
        assert_eq!(
            router.counters().ejections > 0,
            bad == 1,
            "upstreams aren't ejected when their peers fail alike"
        );
        // After its ejection the upstream gets one request at a time.
        now += Duration::from_secs(6);
        router.poll(now);
        let running = fill(&mut router, "urgent", now);
        let on_bad = running.iter().filter(|(_, vm)| vm.as_str() == "vm-00").count();
        assert_eq!(on_bad, if bad == 1 { 1 } else { SLOTS as usize });
        router.check_invariants();
    }
}

/// Guards against a team that uses more of a class than its weight or quota allows while others wait.
#[test]
fn teams_share_a_class_by_weight_and_quota() {
    for (team, low, high) in [("heavy", 280, 320), ("a", 180, 220), ("capped", 80, 120)] {
        let (mut router, mut now) = start(view(4));
        let mut running: Vec<_> =
            fill(&mut router, "urgent", now).into_iter().map(|(t, _)| t).collect();
        let mut teams: BTreeMap<Ticket, &str> = BTreeMap::new();
        let mut served = 0;
        for _ in 0..400 {
            // Two requests of each team arrive per slot that becomes free, so both teams always wait.
            for name in [team, "b", team, "b"] {
                let ticket =
                    queued(router.offer(request("urgent", name, now + 3600 * SECOND), now));
                teams.insert(ticket, name);
            }
            now += 10 * MS;
            let next = sends(&router.complete(running.remove(0), done(), now));
            assert_eq!(next.len(), 1);
            served += u32::from(teams[&next[0].0] == team);
            running.push(next[0].0);
        }
        assert!((low..=high).contains(&served), "{team} got {served} of 400");
        router.check_invariants();
    }
}

/// Guards against a class that keeps another one, more or less urgent, below its guaranteed share.
#[test]
fn classes_keep_their_guaranteed_share() {
    for (flood, other, guaranteed) in [("urgent", "bulk", 6), ("bulk", "urgent", 10)] {
        let (mut router, mut now) = start(view(10));
        let first = fill(&mut router, flood, now);
        let cap = if flood == "bulk" { 16 } else { 20 };
        assert_eq!(first.len(), cap, "idle slots are lent up to the cap");
        for _ in 0..100 {
            router.offer(request(flood, "a", now + 3600 * SECOND), now);
            router.offer(request(other, "a", now + 3600 * SECOND), now);
        }
        for (ticket, _) in first {
            now += MS;
            router.complete(ticket, done(), now);
        }
        let used = router.in_use(&pool(), &name(other));
        assert!(used >= guaranteed, "{other} uses {used} of {guaranteed} guaranteed slots");
        router.check_invariants();
    }
}

/// Guards against entry nodes that together exceed an upstream's slots, or leave some unused.
#[test]
fn node_shares_add_up_to_the_slots() {
    for selection in [Selection::Apportioned, Selection::Subset, Selection::Borrowing] {
        for (nodes, count) in [(1, 1), (3, 8), (9, 12), (7, 11)] {
            let mut total = BTreeMap::new();
            for index in 0..nodes {
                let mut router = router(selection, 7);
                let now = Instant::now();
                router
                    .update(PoolView { node_index: index, node_count: nodes, ..view(count) }, now);
                for (_, vm) in fill(&mut router, "urgent", now) {
                    *total.entry(vm).or_insert(0) += 1;
                }
            }
            assert_eq!(total.len(), count, "{selection} {nodes} {count}");
            assert!(total.values().all(|&n| n == SLOTS), "{selection} {nodes} {count}: {total:?}");
        }
    }
}

/// Guards against an estimate that is above every deadline and that nothing corrects, because all requests are refused.
#[test]
fn a_wrong_estimate_is_corrected_by_a_probe() {
    let (mut router, mut now) = start(view(2));
    let (slow, _) = sent(router.offer(request("urgent", "a", now + 60 * SECOND), now));
    now += 7 * SECOND;
    router.complete(slow, done(), now);
    let deadline = |now| now + 4 * SECOND;
    let mut served = 0;
    for _ in 0..20 {
        now += 500 * MS;
        if let Admission::Dispatch { ticket, .. } =
            router.offer(request("urgent", "a", deadline(now)), now)
        {
            router.complete(ticket, done(), now + 10 * MS);
            served += 1;
        }
    }
    assert!(served >= 17, "only {served} of 20 served after the slow answer");
    router.check_invariants();
}
