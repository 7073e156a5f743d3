//! Claims ownership of a cell when it has no owner.

use std::time::{Duration, Instant};

use cj_sched::{Log, Record, codec, sched::OWNER_TIMEOUT};
use cj_types::Clock;
use compact_str::CompactString;
use log::info;
use rand::Rng;

use crate::{
    member::CellMember,
    node::EntryNode,
    platform::{Guard, Platform, StoreError, Topic},
    roster::CellRecord,
};

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

/// A node waits this much longer for each cell that it owns already, so that the cells of a large fleet get different owners.
const OWNED_DELAY: Duration = Duration::from_millis(1_500);

/// A node that doesn't follow a cell lets the ones that do go first for this time.
const VISITOR_DELAY: Duration = Duration::from_millis(1_500);

/// Spread of the claims of nodes with little processor time for cells that they don't follow: there are many of them, and
/// each has to read the cell.
const VISITOR_SPREAD: Duration = Duration::from_millis(4_000);

/// Time between two looks at the owner of a cell that isn't followed.
const ROSTER_GAP: Duration = Duration::from_millis(300);

/// Time for a node to read a cell that it doesn't follow, and to find it without an owner.
const VISIT_LIMIT: Duration = Duration::from_millis(5_000);

/// The delay of a claim is random up to this multiple, so that few nodes claim at once.
const CLAIM_SPREAD: f64 = 1.8;

/// How long a claim of another node may take until its heartbeat is read.
const CLAIM_LIMIT: Duration = Duration::from_millis(1_200);

/// An ownership that was claimed.
pub(crate) struct Term {
    pub(crate) epoch: u64,
    /// When its first record was first sent.
    pub(crate) sent: Instant,
    /// When its first record was acknowledged at the latest.
    pub(crate) since: Instant,
    /// Offset of that record.
    pub(crate) offset: u64,
}

/// Waits until a cell that the node doesn't follow seems to have no owner, and tells other nodes of the visit. Returns false
/// when the node stops.
pub(crate) async fn wait_for_visit<P, C>(member: &CellMember<P, C>) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let mut seen = None;
    loop {
        if node.stopping.get() {
            return false;
        }
        tokio::time::sleep(ROSTER_GAP).await;
        let now = node.clock.now();
        if !node.cells.is_fresh(now) || !node.cells.is_answered() {
            seen = None;
            continue;
        }
        if !seems_vacant(member) {
            seen = None;
            continue;
        }
        let since = *seen.get_or_insert(now);
        if now.saturating_duration_since(since) < VISITOR_DELAY {
            continue;
        }
        tokio::time::sleep(visit_delay(member)).await;
        if seems_vacant(member) && announce(member).await {
            return true;
        }
        seen = None;
    }
}

/// True when the roster names no owner of the cell and no node that is about to take over.
fn seems_vacant<P, C>(member: &CellMember<P, C>) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let (now, roster) = (node.clock.now(), node.roster.borrow());
    let allowed = allowed_silence(node.append_latency()) + ROSTER_GAP;
    let silent = roster.silence(member.id, now).is_none_or(|silence| silence > allowed);
    silent && !roster.is_bid_for(member.id, &node.settings.node, now)
}

fn visit_delay<P, C>(member: &CellMember<P, C>) -> Duration
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let cores = node.settings.size.cores;
    let strong = node.layout.borrow().as_ref().is_some_and(|layout| layout.is_strong(cores));
    let spread = if strong { VISITOR_DELAY / 2 } else { VISITOR_DELAY + VISITOR_SPREAD };
    node.random_up_to(spread) + OWNED_DELAY * node.owned.get()
}

/// Tells the other nodes that this one is about to take over the cell.
async fn announce<P, C>(member: &CellMember<P, C>) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let bid = CellRecord::Bid(member.id, node.settings.node.clone());
    let announced = node.platform.append(Topic::Cells, &[bid.entry()], Guard::None).await;
    info!(target: "decision", "cell={} choice=visit announced={}", member.id, announced.is_ok());
    announced.is_ok()
}

/// Waits until a cell that is followed has no owner, at most for a moment when it isn't one of the node's homes. Returns when
/// the jobs were known, or `None` when the node stops or the time is over.
pub(crate) async fn wait_for_vacancy<P, C>(member: &CellMember<P, C>) -> Option<Instant>
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let begun = node.clock.now();
    let mut loaded_at = None;
    loop {
        if !member.is_home && node.clock.now().saturating_duration_since(begun) > VISIT_LIMIT {
            return None;
        }
        if node.stopping.get() {
            return None;
        }
        let now = node.clock.now();
        let known =
            member.jobs.is_loaded() && member.jobs.is_answered() && node.config.borrow().is_some();
        if known {
            let loaded_at = *loaded_at.get_or_insert(now);
            if is_vacant(member, loaded_at) {
                let (owned, heard) = (node.owned.get(), member.heard.get());
                tokio::time::sleep(claim_delay(member)).await;
                // A node that has claimed another cell meanwhile waits once more, and so does one that has heard of an owner:
                // this vacancy is another one, for which other nodes may go first.
                let same = node.owned.get() <= owned && member.heard.get() == heard;
                if same && is_vacant(member, loaded_at) {
                    return Some(loaded_at);
                }
            }
        }
        tokio::time::sleep(WATCH_GAP).await;
    }
}

/// A delay that is the shorter the more processor time the node has.
pub(crate) fn strength_delay<P, C>(node: &EntryNode<P, C>) -> Duration
where
    P: Platform,
    C: Clock + 'static,
{
    let share = f64::from(node.settings.size.cores.0) / 1_000.0;
    let least = CLAIM_DELAY.div_f64(share.max(LEAST_CORES));
    least.mul_f64(node.rng.borrow_mut().random_range(1.0..CLAIM_SPREAD))
}

/// How long the node lets others claim first.
fn claim_delay<P, C>(member: &CellMember<P, C>) -> Duration
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let usual = strength_delay(node) + OWNED_DELAY * node.owned.get();
    let (own, book) = (node.settings.size.cores, member.book.borrow());
    let weak = book.owner().is_some_and(|owner| own.0 * 2 < owner.heartbeat.cores.0);
    if weak && member.is_home { usual + WEAK_DELAY } else { usual }
}

/// Time since the owner was heard of; `None` when the cell has no owner. `loaded_at` is when the jobs were known.
fn silence<P, C>(member: &CellMember<P, C>, loaded_at: Instant) -> Option<Duration>
where
    P: Platform,
    C: Clock + 'static,
{
    let (node, book) = (&member.node, member.book.borrow());
    let owner = book.owner()?;
    // This node's name on a record of an earlier process says that the owner ended with that process.
    if owner.heartbeat.released || owner.heartbeat.node == node.settings.node {
        return None;
    }
    let heard = member.heard.get().unwrap_or(loaded_at);
    Some(node.clock.now().saturating_duration_since(heard))
}

/// Silence after which an owner has lost its ownership, when the store takes `latency` for an append.
fn allowed_silence(latency: Duration) -> Duration {
    (OWNER_TIMEOUT + latency * SLOW_STORE_FACTOR).min(MOST_SILENCE)
}

fn is_vacant<P, C>(member: &CellMember<P, C>, loaded_at: Instant) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let allowed = allowed_silence(member.node.append_latency());
    silence(member, loaded_at).is_none_or(|silence| silence > allowed)
}

/// Claims ownership. Returns `None` when another node was faster or the store didn't answer.
pub(crate) async fn claim<P, C>(member: &CellMember<P, C>, loaded_at: Instant) -> Option<Term>
where
    P: Platform,
    C: Clock + 'static,
{
    let (node, cell) = (&member.node, member.id);
    let name = node.settings.node.to_string();
    let claim = [(CompactString::const_new("claim"), name.into_bytes())];
    let mut end = member.book.borrow().epoch();
    let epoch = loop {
        let sent = node.clock.now();
        match node.platform.append(Topic::Claims(cell), &claim, Guard::End(end)).await {
            Ok(offset) => {
                let took = node.clock.now().saturating_duration_since(sent);
                if took > SLOW_CLAIM
                    && silence(member, loaded_at)
                        .is_some_and(|silence| silence < allowed_silence(took))
                {
                    info!(target: "decision", "cell={cell} choice=no_claim cause=\"slow store\" took_ms={}", took.as_millis());
                    return None;
                }
                break offset + 1;
            }
            Err(StoreError::Moved(actual)) => {
                if heard_of(member, actual).await {
                    return None;
                }
                end = actual;
            }
            Err(error) => {
                info!(target: "decision", "cell={cell} choice=no_claim end={end} cause=\"{error}\"");
                tokio::time::sleep(WATCH_GAP).await;
                return None;
            }
        }
    };
    let beat = Record::Owner(node.beat(epoch, false, Vec::new()));
    let records = [codec::entry(&beat)];
    let topic = Topic::Jobs(cell, Log::Jobs);
    let sent = node.clock.now();
    let deadline = sent + CLAIM_LIMIT;
    loop {
        let guard = Guard::Owner { epoch, sequence: 0 };
        match node.platform.append(topic, &records, guard).await {
            Ok(offset) => {
                info!(target: "decision", "cell={cell} choice=own epoch={epoch} offset={offset}");
                return Some(Term { epoch, sent, since: node.clock.now(), offset });
            }
            Err(StoreError::Refused(_) | StoreError::Unanswered(_))
                if node.clock.now() < deadline =>
            {
                tokio::time::sleep(WATCH_GAP).await;
            }
            Err(error) => {
                info!(target: "decision", "cell={cell} choice=no_claim epoch={epoch} cause=\"{error}\"");
                return None;
            }
        }
    }
}

/// Waits a moment for the heartbeat of the owner that made the last claim.
async fn heard_of<P, C>(member: &CellMember<P, C>, epoch: u64) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let heard = async {
        while member.book.borrow().epoch() < epoch {
            member.changed.notified().await;
        }
    };
    tokio::time::timeout(CLAIM_LIMIT, heard).await.is_ok()
}
