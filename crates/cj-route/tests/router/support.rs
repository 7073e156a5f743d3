//! Builders of views and requests.

use std::time::{Duration, Instant};

use cj_route::{
    Action, Admission, Completion, Options, PoolEntry, PoolView, Request, Router, Selection,
    Ticket, Upstream,
};
use cj_settings::{ClassSettings, TeamSettings};
use cj_types::{Percent, PoolId, VmId};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub(crate) const SLOTS: u32 = 2;

pub(crate) fn name<T>(text: &str) -> T
where
    T: for<'a> TryFrom<&'a str, Error = cj_types::Error>,
{
    T::try_from(text).expect("valid name")
}

pub(crate) fn class(urgency: u32, share: u32, cap: u32) -> ClassSettings {
    ClassSettings {
        office: name("office"),
        urgency,
        deadline: Duration::from_secs(4),
        idempotent: true,
        must_not_drop: false,
        task: false,
        share: Percent(share),
        cap: Percent(cap),
    }
}

pub(crate) fn team(weight: u32, quota: u32) -> TeamSettings {
    TeamSettings { office: name("office"), quota: Percent(quota), weight }
}

pub(crate) fn upstreams(count: usize) -> Vec<Upstream> {
    let upstream = |i: usize| Upstream {
        vm: name(&format!("vm-{i:02}")),
        centre: name(&format!("dc-{}", i % 3)),
        rack: name(&format!("rack-{}", i % 6)),
        leaving: false,
    };
    (0..count).map(upstream).collect()
}

/// One pool with the service `cards`, the classes `urgent` (share 50, cap 100) and `bulk` (share 30, cap 80), and one
/// node.
pub(crate) fn view(count: usize) -> PoolView {
    let entry = PoolEntry {
        classes: vec![name("urgent"), name("bulk")],
        services: vec![name("cards")],
        upstreams: upstreams(count),
        slots: SLOTS,
        connections: 64,
    };
    PoolView {
        pools: [(pool(), entry)].into(),
        classes: [(name("urgent"), class(0, 50, 100)), (name("bulk"), class(1, 30, 80))].into(),
        teams: [(name("heavy"), team(3, 100)), (name("capped"), team(1, 25))].into(),
        node_index: 0,
        node_count: 1,
    }
}

pub(crate) fn pool() -> PoolId {
    name("cards")
}

pub(crate) fn router(selection: Selection, seed: u64) -> Router {
    let options = Options { selection, ..Options::default() };
    Router::with_options(Pcg64Mcg::seed_from_u64(seed), options)
}

pub(crate) fn request(class: &str, team: &str, deadline: Instant) -> Request {
    Request {
        id: "r".into(),
        service: name("cards"),
        class: name(class),
        team: name(team),
        deadline,
        idempotent: true,
        centre: name("dc-0"),
        avoid: None,
    }
}

pub(crate) fn done() -> Completion {
    Completion::Done { load: None }
}

/// Ticket and upstream of a request that is sent at once.
pub(crate) fn sent(admission: Admission) -> (Ticket, VmId) {
    match admission {
        Admission::Dispatch { ticket, upstream } => (ticket, upstream),
        other => panic!("not sent: {other:?}"),
    }
}

pub(crate) fn queued(admission: Admission) -> Ticket {
    match admission {
        Admission::Queued { ticket } => ticket,
        other => panic!("not queued: {other:?}"),
    }
}

/// Ticket and upstream of the actions that send a request.
pub(crate) fn sends(actions: &[Action]) -> Vec<(Ticket, VmId)> {
    let send = |action: &Action| match action {
        Action::Dispatch { ticket, upstream, .. } | Action::Retry { ticket, upstream, .. } => {
            Some((*ticket, upstream.clone()))
        }
        Action::GiveUp { .. } => None,
    };
    actions.iter().filter_map(send).collect()
}
