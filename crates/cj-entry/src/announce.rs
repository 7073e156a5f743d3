//! What the owner of a cell publishes for the nodes that don't follow it.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use cj_types::Clock;
use compact_str::CompactString;
use log::warn;

use crate::{
    layout::CellId,
    member::CellMember,
    platform::{Guard, Platform, Topic},
    roster::{CellBeat, CellRecord},
};

/// Time between two heartbeats for the nodes that don't follow the cell.
const BEAT_GAP: Duration = Duration::from_millis(500);

/// A new owner of the first cell speaks of waves only after this time: it has to find out first which ones its own cell is
/// done with.
const WAVE_DELAY: Duration = Duration::from_millis(1_500);

/// Longest time for the answer to such a heartbeat; a later one says more.
const BEAT_LIMIT: Duration = Duration::from_millis(1_000);

/// Publishes heartbeats until the task is dropped. The first cell also speaks for all of them on waves.
pub(crate) async fn publish_beats<P, C>(member: Rc<CellMember<P, C>>, epoch: u64)
where
    P: Platform,
    C: Clock + 'static,
{
    let mut reported = BTreeSet::new();
    let begun = member.node.clock.now();
    loop {
        publish(&member, epoch, false).await;
        let age = member.node.clock.now().saturating_duration_since(begun);
        if member.id == CellId(0) && age > WAVE_DELAY {
            report_waves(&member, &mut reported).await;
        }
        tokio::time::sleep(BEAT_GAP).await;
    }
}

/// Publishes one heartbeat.
pub(crate) async fn publish<P, C>(member: &CellMember<P, C>, epoch: u64, released: bool)
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let record = CellRecord::Beat(member.id, beat(member, epoch, released)).entry();
    let appended = node.platform.append(Topic::Cells, std::slice::from_ref(&record), Guard::None);
    match tokio::time::timeout(BEAT_LIMIT, appended).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => {
            warn!(target: "link", "cell={} choice=beat_later cause=\"{error}\"", member.id);
        }
        Err(_) => warn!(target: "link", "cell={} choice=beat_later cause=\"given up\"", member.id),
    }
}

fn beat<P, C>(member: &CellMember<P, C>, epoch: u64, released: bool) -> CellBeat
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let book = member.book.borrow();
    let load = book.owner().map(|owner| owner.heartbeat.load.clone()).unwrap_or_default();
    let config = node.config.borrow();
    let queues = config.iter().flat_map(|config| &config.queues);
    let waiting: Vec<(CompactString, u32)> = queues
        .map(|queue| (queue.name.clone(), book.queued_jobs(&queue.name) as u32))
        .filter(|(_, count)| *count > 0)
        .collect();
    CellBeat {
        owner: node.beat(epoch, released, load),
        address: node.settings.peer.clone(),
        waiting,
        waves: member.waves.borrow().iter().copied().collect(),
    }
}

/// Reports each wave as running once, and as completed once all cells are done with it.
async fn report_waves<P, C>(member: &CellMember<P, C>, reported: &mut BTreeSet<(u64, bool)>)
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let Some(layout) = node.layout.borrow().clone() else { return };
    let waves: Vec<u64> = node.waves.borrow().keys().copied().collect();
    for wave in waves {
        let completed = member.cells_done(wave, layout.cells).into_iter().all(|done| done);
        if reported.contains(&(wave, completed)) {
            continue;
        }
        match node.platform.report_wave(wave, completed).await {
            Ok(()) => {
                reported.insert((wave, completed));
            }
            Err(error) => {
                warn!(target: "link", "wave={wave} choice=report_again cause=\"{error}\"");
            }
        }
    }
}
