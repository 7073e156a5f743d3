//! Claims ownership of the fleet when it has no owner.

use std::time::{Duration, Instant};

use cj_sched::{Record, codec};
use cj_types::Clock;
use compact_str::CompactString;
use log::info;
use rand::Rng;

use crate::{
    node::EntryNode,
    platform::{Guard, JOBS, Platform, StoreError, Topic},
};

/// An owner that wasn't heard of for this long has lost its ownership to whoever claims it.
const OWNER_SILENCE: Duration = Duration::from_millis(1_300);

/// The silence that is allowed grows by this multiple of the time that the store takes for an append, since heartbeats are
/// late when the store is slow.
const SLOW_STORE_FACTOR: u32 = 3;

/// Longest silence that is allowed.
const MOST_SILENCE: Duration = Duration::from_millis(4_500);

/// Time between two looks at the owner.
const WATCH_GAP: Duration = Duration::from_millis(60);

/// A node with one core waits this long before it claims; one with less waits longer in proportion. The owner needs more
/// processor time than the other nodes, and its own share bounds what the fleet can start.
const CLAIM_DELAY: Duration = Duration::from_millis(35);

/// Least share of a core that the delay of a claim is worked out with.
const LEAST_CORES: f64 = 0.1;

/// A node with less than half the processor time of the last owner waits this much longer: nodes like that owner exist, and
/// may need several tries while the store is slow.
const WEAK_DELAY: Duration = Duration::from_millis(2_000);

/// A claim that took longer than this shows that the store is slow, so that heartbeats may be late.
const SLOW_CLAIM: Duration = Duration::from_millis(100);

/// The delay of a claim is random up to this multiple, so that few nodes claim at once.
const CLAIM_SPREAD: f64 = 1.8;

/// How long a claim of another node may take until its heartbeat is read.
const CLAIM_LIMIT: Duration = Duration::from_millis(1_200);

/// An ownership that was claimed.
pub(crate) struct Term {
    pub(crate) epoch: u64,
    /// When its first record was acknowledged at the latest.
    pub(crate) since: Instant,
    /// Offset of that record.
    pub(crate) offset: u64,
}

/// Waits until the fleet has no owner. Returns when the jobs were known, or `None` when the node stops.
pub(crate) async fn wait_for_vacancy<P, C>(node: &EntryNode<P, C>) -> Option<Instant>
where
    P: Platform,
    C: Clock + 'static,
{
    let mut loaded_at = None;
    loop {
        if node.stopping.get() {
            return None;
        }
        let now = node.clock.now();
        let known =
            node.jobs.is_loaded() && node.jobs.is_answered() && node.config.borrow().is_some();
        if known {
            let loaded_at = *loaded_at.get_or_insert(now);
            if is_vacant(node, loaded_at) {
                tokio::time::sleep(claim_delay(node)).await;
                if is_vacant(node, loaded_at) {
                    return Some(loaded_at);
                }
            }
        }
        tokio::time::sleep(WATCH_GAP).await;
    }
}

/// How long the node lets others claim first.
fn claim_delay<P, C>(node: &EntryNode<P, C>) -> Duration
where
    P: Platform,
    C: Clock + 'static,
{
    let own = node.settings.cores;
    let share = f64::from(own.0) / 1_000.0;
    let least = CLAIM_DELAY.div_f64(share.max(LEAST_CORES));
    let usual = least.mul_f64(node.rng.borrow_mut().random_range(1.0..CLAIM_SPREAD));
    let book = node.book.borrow();
    let weak = book.owner().is_some_and(|owner| own.0 * 2 < owner.beat.cores.0);
    if weak { usual + WEAK_DELAY } else { usual }
}

/// Time since the owner was heard of; `None` when the fleet has no owner. `loaded_at` is when the jobs were known.
fn silence<P, C>(node: &EntryNode<P, C>, loaded_at: Instant) -> Option<Duration>
where
    P: Platform,
    C: Clock + 'static,
{
    let book = node.book.borrow();
    let owner = book.owner()?;
    // This node's name on a record of an earlier process says that the owner ended with that process.
    if owner.beat.released || owner.beat.node == node.settings.node {
        return None;
    }
    let heard = node.heard.get().unwrap_or(loaded_at);
    Some(node.clock.now().saturating_duration_since(heard))
}

/// Silence after which an owner has lost its ownership, when the store takes `latency` for an append.
fn allowed_silence(latency: Duration) -> Duration {
    (OWNER_SILENCE + latency * SLOW_STORE_FACTOR).min(MOST_SILENCE)
}

fn is_vacant<P, C>(node: &EntryNode<P, C>, loaded_at: Instant) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let allowed = allowed_silence(node.outbox.latency());
    silence(node, loaded_at).is_none_or(|silence| silence > allowed)
}

/// Claims ownership. Returns `None` when another node was faster or the store didn't answer.
pub(crate) async fn claim<P, C>(node: &EntryNode<P, C>, loaded_at: Instant) -> Option<Term>
where
    P: Platform,
    C: Clock + 'static,
{
    let name = node.settings.node.to_string();
    let claim = [(CompactString::const_new("claim"), name.into_bytes())];
    let mut end = node.book.borrow().epoch();
    let epoch = loop {
        let sent = node.clock.now();
        match node.platform.append(Topic::Claims, &claim, Guard::End(end)).await {
            Ok(offset) => {
                let took = node.clock.now().saturating_duration_since(sent);
                if took > SLOW_CLAIM
                    && silence(node, loaded_at)
                        .is_some_and(|silence| silence < allowed_silence(took))
                {
                    info!(target: "decision", "choice=no_claim cause=\"slow store\" took_ms={}", took.as_millis());
                    return None;
                }
                break offset + 1;
            }
            Err(StoreError::Moved(actual)) => {
                if heard_of(node, actual).await {
                    return None;
                }
                end = actual;
            }
            Err(error) => {
                info!(target: "decision", "choice=no_claim end={end} cause=\"{error}\"");
                tokio::time::sleep(WATCH_GAP).await;
                return None;
            }
        }
    };
    let beat = Record::Owner(node.beat(epoch, false, Vec::new()));
    let records = [codec::entry(&beat)];
    let deadline = node.clock.now() + CLAIM_LIMIT;
    loop {
        let guard = Guard::Owner { epoch, sequence: 0 };
        match node.platform.append(JOBS, &records, guard).await {
            Ok(offset) => {
                info!(target: "decision", "choice=own epoch={epoch} offset={offset}");
                return Some(Term { epoch, since: node.clock.now(), offset });
            }
            Err(StoreError::Refused(_) | StoreError::Unanswered(_))
                if node.clock.now() < deadline =>
            {
                tokio::time::sleep(WATCH_GAP).await;
            }
            Err(error) => {
                info!(target: "decision", "choice=no_claim epoch={epoch} cause=\"{error}\"");
                return None;
            }
        }
    }
}

/// Waits a moment for the heartbeat of the owner that made the last claim.
async fn heard_of<P, C>(node: &EntryNode<P, C>, epoch: u64) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let heard = async {
        while node.book.borrow().epoch() < epoch {
            node.changed.notified().await;
        }
    };
    tokio::time::timeout(CLAIM_LIMIT, heard).await.is_ok()
}
