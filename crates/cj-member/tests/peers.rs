//! Authentication of messages, and the exchange of messages between nodes over loopback connections.

mod common;

use std::{cell::Cell, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use common::report;
use futures::future::LocalBoxFuture;
use quickcheck::{Gen, QuickCheck};

use cj_log::{RecordSource, RelayPage};
use cj_member::{
    Membership, MembershipOptions, ViewOptions,
    wire::{self, Answer, AuthenticatedMessage, Request},
};
use cj_types::{Offset, StreamId, SystemClock};

type Node = Rc<Membership<SystemClock>>;

const KEY: [u8; 32] = [3; 32];

fn run<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

async fn start(name: &str, incarnation: u64, key: [u8; 32], seeds: Vec<SocketAddr>) -> Node {
    let view = ViewOptions { interval: Duration::from_millis(50), ..ViewOptions::default() };
    let report = report(name, incarnation, 0);
    let options = MembershipOptions { report, view, key, seeds, seed: incarnation };
    let node = Membership::bind(options, SystemClock).await.unwrap();
    actix_rt::spawn(node.clone().run());
    node
}

/// Waits for a condition; the limit of at least 20 s leaves room for a loaded machine.
async fn until<F: Fn() -> bool>(what: &str, condition: F) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("not reached: {what}");
}

fn live(node: &Node) -> usize {
    node.view().live(std::time::Instant::now()).len()
}

/// Guards against accepting messages with another key, changed messages, and answers to other requests.
#[test]
fn messages_are_authenticated() {
    let heartbeat = |name| Request::Heartbeat { report: report(name, 1, 1), addresses_hash: 0 };
    let request = wire::authenticate_request(&KEY, &heartbeat("a")).unwrap();
    assert_eq!(wire::verify_request(&KEY, &request).unwrap(), heartbeat("a"));
    assert!(wire::verify_request(&[4; 32], &request).is_err(), "another key");
    for at in 0..request.body.len() {
        let mut changed = request.clone();
        changed.body[at] ^= 1;
        assert!(wire::verify_request(&KEY, &changed).is_err(), "byte {at} changed");
    }
    let other = wire::authenticate_request(&KEY, &heartbeat("b")).unwrap();
    let answer = wire::authenticate_answer(&KEY, &request.tag, &Answer::Records(None)).unwrap();
    assert!(wire::verify_answer(&KEY, &request.tag, &answer).is_ok());
    assert!(wire::verify_answer(&KEY, &other.tag, &answer).is_err(), "answer to another request");
    assert!(wire::verify_request(&KEY, &answer).is_err(), "an answer sent as a request");
}

/// Guards against a panic when the decoders get arbitrary bytes, and against accepting them without a valid keyed hash.
#[test]
fn decoders_take_arbitrary_bytes() {
    fn holds(body: Vec<u8>, tag: u128) -> bool {
        let message = AuthenticatedMessage { tag: tag.to_le_bytes(), body: body.clone() };
        let _ = postcard::from_bytes::<Request>(&body);
        let _ = postcard::from_bytes::<Answer>(&body);
        let _ = postcard::from_bytes::<AuthenticatedMessage>(&body);
        wire::verify_request(&KEY, &message).is_err()
            && wire::verify_answer(&KEY, &message.tag, &message).is_err()
    }
    let rng = Gen::from_size_and_seed(200, 20_261_204);
    QuickCheck::new().rng(rng).tests(2000).quickcheck(holds as fn(Vec<u8>, u128) -> bool);
}

/// Guards against nodes that share one seed but do not find each other, and against admitting a node with another key.
#[test]
fn nodes_join_through_a_seed() {
    run(async {
        let first = start("n1", 1, KEY, vec![]).await;
        let seeds = vec![first.address()];
        let mut nodes = vec![first];
        for n in 2..=4 {
            nodes.push(start(&format!("n{n}"), n, KEY, seeds.clone()).await);
        }
        let stranger = start("x", 9, [9; 32], seeds).await;
        until("all live", || nodes.iter().all(|n| live(n) == 3)).await;
        assert_eq!(live(&stranger), 0);
        nodes[1].update(|report| report.applied = Offset(77));
        until("reports spread", || nodes[3].applied_offset() == Offset(77)).await;
    });
}

/// Guards against counting a leaving node, or a stopped one that has missed its heartbeats, as live, and against
/// ignoring a restarted node.
#[test]
fn nodes_leave_stop_and_restart() {
    run(async {
        let a = start("a", 1, KEY, vec![]).await;
        let seeds = vec![a.address()];
        let b = start("b", 2, KEY, seeds.clone()).await;
        let c = start("c", 3, KEY, seeds.clone()).await;
        until("all live", || [&a, &b, &c].iter().all(|n| live(n) == 2)).await;
        b.leave().await;
        assert_eq!((live(&a), live(&c)), (1, 1));
        c.stop();
        until("stopped node suspected", || live(&a) == 0).await;
        let again = start("c", 4, KEY, seeds).await;
        until("restarted node live", || live(&a) == 1 && live(&again) >= 1).await;
    });
}

struct Fixed {
    page: RelayPage,
    asked: Cell<u32>,
}

impl RecordSource for Fixed {
    fn records<'a>(
        &'a self,
        _: &'a StreamId,
        from: Offset,
        _: usize,
    ) -> LocalBoxFuture<'a, Option<RelayPage>> {
        self.asked.set(self.asked.get() + 1);
        let found = self.page.records.first().is_some_and(|r| r.0 == from);
        Box::pin(std::future::ready(found.then(|| self.page.clone())))
    }

    fn applied_offset(&self) -> Offset {
        Offset(0)
    }
}

/// Guards against a node that does not get records from a peer that has them, or gets some when no peer has them.
#[test]
fn records_are_relayed() {
    run(async {
        let page = RelayPage {
            before: [5; 32],
            records: (3..8).map(|o| (Offset(o), vec![o as u8; 40_000])).collect(),
        };
        let a = start("a", 1, KEY, vec![]).await;
        let b = start("b", 2, KEY, vec![a.address()]).await;
        let source = Rc::new(Fixed { page: page.clone(), asked: Cell::new(0) });
        b.serve_records(source.clone());
        b.update(|report| report.applied = Offset(8));
        until("b ahead", || a.applied_offset() == Offset(8)).await;
        let stream: StreamId = "region-north".parse().unwrap();
        assert_eq!(a.records(&stream, Offset(3), 1_000_000).await, Some(page));
        assert_eq!(a.records(&stream, Offset(4), 1_000_000).await, None);
        assert_eq!(a.records(&stream, Offset(8), 1_000_000).await, None, "nobody is ahead");
        assert_eq!(source.asked.get(), 2);
    });
}
