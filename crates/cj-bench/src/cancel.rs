//! Time to cancel a wave of queued requests.

use std::time::{Duration, Instant};

use rand::{SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use cj_route::{Admission, Request, Router, Ticket};
use cj_types::Result;

use crate::{Options, fake};

const QUEUED: usize = 100_000;

fn fill(seed: u64) -> (Router, Vec<Ticket>, Instant) {
    let classes = [("urgent", fake::class(0, 100, Duration::from_secs(3600)))];
    let view = fake::view((1, 12, 8), &classes, 1);
    let mut router = Router::new(Pcg64Mcg::seed_from_u64(seed));
    let now = Instant::now();
    router.update(view, now);
    let mut tickets = Vec::with_capacity(QUEUED);
    let mut number = 0_usize;
    while tickets.len() < QUEUED {
        number += 1;
        let request = Request {
            id: compact_str::format_compact!("{number}"),
            service: "s-0".parse().expect("valid name"),
            class: "urgent".parse().expect("valid name"),
            team: ["a", "b", "c"][number % 3].parse().expect("valid name"),
            deadline: now + Duration::from_secs(3600),
            idempotent: true,
            centre: "dc-0".parse().expect("valid name"),
            avoid: None,
        };
        if let Admission::Queued { ticket } = router.offer(request, now) {
            tickets.push(ticket);
        }
    }
    (router, tickets, now)
}

/// Cancels 100,000 queued requests in order of arrival and in random order.
///
/// # Errors
///
/// None at present.
pub fn run(options: &Options) -> Result<Value> {
    let mut report = json!({ "queued": QUEUED });
    for order in ["in_order_ms", "random_ms"] {
        let (mut router, mut tickets, now) = fill(options.seed);
        if order == "random_ms" {
            tickets.shuffle(&mut Pcg64Mcg::seed_from_u64(options.seed));
        }
        let began = Instant::now();
        for ticket in tickets {
            router.cancel(ticket, now);
        }
        report[order] = json!(began.elapsed().as_secs_f64() * 1e3);
        assert_eq!(router.waiting_tickets(), 0, "every queued request is cancelled");
        router.check_invariants();
    }
    Ok(report)
}
