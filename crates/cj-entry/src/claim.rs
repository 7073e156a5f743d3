//! Claims ownership of a cell that has no owner.

use std::time::{Duration, Instant};

use cj_sched::{Log, Record, codec, sched::OWNER_TIMEOUT};
use cj_types::Clock;
use compact_str::CompactString;
use log::info;
use rand::Rng;

use crate::{
    member::CellMember,
    node::EntryNode,
    owner_directory::CellRecord,
    platform::{Guard, Platform, StoreError, Topic},
};

/// The allowed silence of an owner grows by this multiple of the append latency, since heartbeats are late when the
/// store is slow.
const LATENCY_SILENCE_FACTOR: u32 = 3;

/// Upper limit of the allowed silence of an owner.
const MAX_SILENCE: Duration = Duration::from_millis(4_500);

/// Time between two checks of the owner of a followed cell.
const WATCH_INTERVAL: Duration = Duration::from_millis(60);

/// Minimum claim delay of a node with one core; it is inversely proportional to the node's cores. Strong nodes claim
/// first because the owner needs more processor time than other nodes and limits how many tasks the fleet can start.
const BASE_CLAIM_DELAY: Duration = Duration::from_millis(35);

/// Lower limit of the node's cores in the calculation of the claim delay.
const MIN_CORES: f64 = 0.1;

/// Additional claim delay of a node with less than half the processor time of the last owner. Nodes as strong as
/// that owner exist then, and may need several attempts while the store is slow.
const WEAK_NODE_DELAY: Duration = Duration::from_millis(2_000);

/// A claim that took longer than this shows that the store is slow, so the owner's heartbeats may merely be late.
const SLOW_CLAIM_LATENCY: Duration = Duration::from_millis(100);

/// Additional claim delay for each cell that the node already owns, so that the cells of a large fleet get different
/// owners.
const DELAY_PER_OWNED_CELL: Duration = Duration::from_millis(1_500);

/// How long a node that doesn't follow a cell leaves the claim to the nodes that do.
const CANDIDACY_DELAY: Duration = Duration::from_millis(1_500);

/// Additional random delay before a weak node announces its candidacy for a cell. There are many weak nodes, and each
/// candidate has to read the whole cell.
const CANDIDACY_SPREAD: Duration = Duration::from_millis(4_000);

/// Time between two checks of the owner directory for a cell that isn't followed.
const DIRECTORY_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Time limit of a temporary follow: for a candidate to read the cell and to confirm that it has no owner.
const TEMPORARY_FOLLOW_LIMIT: Duration = Duration::from_millis(5_000);

/// The claim delay is multiplied by a random factor up to this one, so that few nodes claim at once.
const MAX_DELAY_FACTOR: f64 = 1.8;

/// Time limit for a claim: for the first record of this node's claim to be written, and for the heartbeat of another
/// node's claim to be read.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A claimed ownership of a cell.
pub(crate) struct Ownership {
    pub(crate) epoch: u64,
    /// When the first record of the ownership was first sent.
    pub(crate) sent_at: Instant,
    /// Latest time at which that record was acknowledged.
    pub(crate) acknowledged_at: Instant,
    /// Offset of that record.
    pub(crate) offset: u64,
}

/// Waits until a cell that the node doesn't follow seems to have no owner, and announces the node's candidacy. Returns
/// false when the node stops.
pub(crate) async fn wait_for_candidacy<P, C>(member: &CellMember<P, C>) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let mut first_vacant = None;
    loop {
        if node.stopping.get() {
            return false;
        }
        tokio::time::sleep(DIRECTORY_POLL_INTERVAL).await;
        let now = node.clock.now();
        if !node.cells_topic.is_fresh(now) || !node.cells_topic.is_reachable() {
            first_vacant = None;
            continue;
        }
        if !seems_vacant(member) {
            first_vacant = None;
            continue;
        }
        let vacant_since = *first_vacant.get_or_insert(now);
        if now.saturating_duration_since(vacant_since) < CANDIDACY_DELAY {
            continue;
        }
        tokio::time::sleep(candidacy_delay(member)).await;
        if seems_vacant(member) && announce_candidacy(member).await {
            return true;
        }
        first_vacant = None;
    }
}

/// True when the owner directory has neither a live owner of the cell nor another candidate.
fn seems_vacant<P, C>(member: &CellMember<P, C>) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let (now, owners) = (node.clock.now(), node.owners.borrow());
    let limit = max_silence(node.append_latency()) + DIRECTORY_POLL_INTERVAL;
    let silent = owners.heartbeat_age(member.id, now).is_none_or(|silence| silence > limit);
    silent && !owners.has_other_candidate(member.id, &node.settings.node, now)
}

fn candidacy_delay<P, C>(member: &CellMember<P, C>) -> Duration
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let cores = node.settings.capacity.cores;
    let strong = node.layout.borrow().as_ref().is_some_and(|layout| layout.is_strong(cores));
    let spread = if strong { CANDIDACY_DELAY / 2 } else { CANDIDACY_DELAY + CANDIDACY_SPREAD };
    node.random_up_to(spread) + DELAY_PER_OWNED_CELL * node.owned_cells.get()
}

/// Announces to the other nodes that this one is about to take over the cell. Returns false if that failed.
async fn announce_candidacy<P, C>(member: &CellMember<P, C>) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let candidacy = CellRecord::Candidacy(member.id, node.settings.node.clone());
    let announced = node.platform.append(Topic::Cells, &[candidacy.entry()], Guard::None).await;
    info!(target: "decision", "cell={} choice=visit announced={}", member.id, announced.is_ok());
    announced.is_ok()
}

/// Waits until a followed cell has no owner. For a cell that isn't a home cell, gives up after
/// [`TEMPORARY_FOLLOW_LIMIT`]. Returns the time at which the jobs were loaded, or `None` when the node stops or the
/// time limit has passed.
pub(crate) async fn wait_for_vacancy<P, C>(member: &CellMember<P, C>) -> Option<Instant>
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let started_at = node.clock.now();
    let mut loaded_at = None;
    loop {
        if !member.is_home
            && node.clock.now().saturating_duration_since(started_at) > TEMPORARY_FOLLOW_LIMIT
        {
            return None;
        }
        if node.stopping.get() {
            return None;
        }
        let now = node.clock.now();
        let known = member.job_log.is_loaded()
            && member.job_log.is_reachable()
            && node.config.borrow().is_some();
        if known {
            let loaded_at = *loaded_at.get_or_insert(now);
            if is_vacant(member, loaded_at) {
                let (owned, last_heartbeat) = (node.owned_cells.get(), member.last_heartbeat.get());
                tokio::time::sleep(claim_delay(member)).await;
                // Waits once more if this node has claimed another cell meanwhile, or if an owner's heartbeat was read:
                // this is another vacancy then, and other nodes may go first.
                let same = node.owned_cells.get() <= owned
                    && member.last_heartbeat.get() == last_heartbeat;
                if same && is_vacant(member, loaded_at) {
                    return Some(loaded_at);
                }
            }
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

/// A random delay that is inversely proportional to the node's processor time.
pub(crate) fn capacity_delay<P, C>(node: &EntryNode<P, C>) -> Duration
where
    P: Platform,
    C: Clock + 'static,
{
    let share = f64::from(node.settings.capacity.cores.0) / 1_000.0;
    let min_delay = BASE_CLAIM_DELAY.div_f64(share.max(MIN_CORES));
    min_delay.mul_f64(node.rng.borrow_mut().random_range(1.0..MAX_DELAY_FACTOR))
}

/// How long the node leaves the claim to other nodes.
fn claim_delay<P, C>(member: &CellMember<P, C>) -> Duration
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let usual = capacity_delay(node) + DELAY_PER_OWNED_CELL * node.owned_cells.get();
    let (cores, job_index) = (node.settings.capacity.cores, member.job_index.borrow());
    let weak = job_index.owner().is_some_and(|owner| cores.0 * 2 < owner.heartbeat.cores.0);
    if weak && member.is_home { usual + WEAK_NODE_DELAY } else { usual }
}

/// Time from the owner's last heartbeat to the end of what this node has read; `None` when the cell has no owner. While reads go
/// unanswered, it says nothing about the owner and doesn't grow. `loaded_at` is the time at which the jobs were loaded, which
/// counts if no heartbeat was read since.
fn owner_silence<P, C>(member: &CellMember<P, C>, loaded_at: Instant) -> Option<Duration>
where
    P: Platform,
    C: Clock + 'static,
{
    let (node, job_index) = (&member.node, member.job_index.borrow());
    let owner = job_index.owner()?;
    // A record of an earlier process of this node: its ownership ended with that process.
    if owner.heartbeat.released || owner.heartbeat.node == node.settings.node {
        return None;
    }
    let last_heartbeat = member.last_heartbeat.get().unwrap_or(loaded_at);
    let read_until = member.job_log.read_until().unwrap_or(last_heartbeat);
    Some(read_until.saturating_duration_since(last_heartbeat))
}

/// Silence after which an owner may be replaced, at the given append latency.
fn max_silence(latency: Duration) -> Duration {
    (OWNER_TIMEOUT + latency * LATENCY_SILENCE_FACTOR).min(MAX_SILENCE)
}

fn is_vacant<P, C>(member: &CellMember<P, C>, loaded_at: Instant) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let limit = max_silence(member.node.append_latency());
    owner_silence(member, loaded_at).is_none_or(|silence| silence > limit)
}

/// Claims ownership. Returns `None` when another node was faster, the last owner may still be alive, or the store
/// didn't answer.
pub(crate) async fn claim_ownership<P, C>(
    member: &CellMember<P, C>,
    loaded_at: Instant,
) -> Option<Ownership>
where
    P: Platform,
    C: Clock + 'static,
{
    let (node, cell) = (&member.node, member.id);
    let name = node.settings.node.to_string();
    let claim = [(CompactString::const_new("claim"), name.into_bytes())];
    let mut end = member.job_index.borrow().epoch();
    let epoch = loop {
        let sent = node.clock.now();
        match node.platform.append(Topic::Claims(cell), &claim, Guard::End(end)).await {
            Ok(offset) => {
                let latency = node.clock.now().saturating_duration_since(sent);
                if latency > SLOW_CLAIM_LATENCY
                    && owner_silence(member, loaded_at)
                        .is_some_and(|silence| silence < max_silence(latency))
                {
                    info!(target: "decision", "cell={cell} choice=no_claim cause=\"slow store\" took_ms={}", latency.as_millis());
                    return None;
                }
                break offset + 1;
            }
            Err(StoreError::Moved(actual)) => {
                if wait_for_epoch(member, actual).await {
                    return None;
                }
                end = actual;
            }
            Err(error) => {
                info!(target: "decision", "cell={cell} choice=no_claim end={end} cause=\"{error}\"");
                tokio::time::sleep(WATCH_INTERVAL).await;
                return None;
            }
        }
    };
    let heartbeat = Record::Owner(node.owner_heartbeat(epoch, false, Vec::new()));
    let records = [codec::entry(&heartbeat)];
    let topic = Topic::Jobs(cell, Log::Jobs);
    let sent = node.clock.now();
    let deadline = sent + CLAIM_TIMEOUT;
    loop {
        let guard = Guard::Owner { epoch, sequence: 0 };
        match node.platform.append(topic, &records, guard).await {
            Ok(offset) => {
                info!(target: "decision", "cell={cell} choice=own epoch={epoch} offset={offset}");
                return Some(Ownership {
                    epoch,
                    sent_at: sent,
                    acknowledged_at: node.clock.now(),
                    offset,
                });
            }
            Err(StoreError::Refused(_) | StoreError::Unanswered(_))
                if node.clock.now() < deadline =>
            {
                tokio::time::sleep(WATCH_INTERVAL).await;
            }
            Err(error) => {
                info!(target: "decision", "cell={cell} choice=no_claim epoch={epoch} cause=\"{error}\"");
                return None;
            }
        }
    }
}

/// Waits until the first heartbeat of the owner with this epoch, or of a later one, is read. Returns false after
/// [`CLAIM_TIMEOUT`].
async fn wait_for_epoch<P, C>(member: &CellMember<P, C>, epoch: u64) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let epoch_read = async {
        while member.job_index.borrow().epoch() < epoch {
            member.changed.notified().await;
        }
    };
    tokio::time::timeout(CLAIM_TIMEOUT, epoch_read).await.is_ok()
}
