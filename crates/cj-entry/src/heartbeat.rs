//! Publishes the heartbeats of a cell's owner for the nodes that don't follow the cell.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use cj_types::Clock;
use compact_str::CompactString;
use log::warn;

use crate::{
    layout::CellId,
    member::CellMember,
    owner_directory::{CellHeartbeat, CellRecord},
    platform::{Guard, Platform, Topic},
};

/// Time between two heartbeats in the cells topic.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a new owner of the first cell doesn't report waves, since it first has to find out which of them its own
/// cell has completed.
const WAVE_REPORT_DELAY: Duration = Duration::from_millis(1_500);

/// Time limit for appending a heartbeat. A late one isn't retried, since the next one is more recent.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Publishes heartbeats until the task is dropped. The owner of the first cell also reports waves for all cells.
pub(crate) async fn publish_heartbeats<P, C>(member: Rc<CellMember<P, C>>, epoch: u64)
where
    P: Platform,
    C: Clock + 'static,
{
    let mut reported = BTreeSet::new();
    let started_at = member.node.clock.now();
    loop {
        publish_heartbeat(&member, epoch, false).await;
        let age = member.node.clock.now().saturating_duration_since(started_at);
        if member.id == CellId(0) && age > WAVE_REPORT_DELAY {
            report_waves(&member, &mut reported).await;
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Publishes one heartbeat, and the load of the cell if there is a new one.
pub(crate) async fn publish_heartbeat<P, C>(member: &CellMember<P, C>, epoch: u64, released: bool)
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let heartbeat = CellRecord::Heartbeat(member.id, cell_heartbeat(member, epoch, released));
    let load = member.take_load_report().map(|report| CellRecord::Load(member.id, report).entry());
    let records: Vec<_> = std::iter::once(heartbeat.entry()).chain(load).collect();
    let appended = node.platform.append(Topic::Cells, &records, Guard::None);
    match tokio::time::timeout(HEARTBEAT_TIMEOUT, appended).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => {
            warn!(target: "link", "cell={} choice=beat_later cause=\"{error}\"", member.id);
        }
        Err(_) => warn!(target: "link", "cell={} choice=beat_later cause=\"given up\"", member.id),
    }
}

fn cell_heartbeat<P, C>(member: &CellMember<P, C>, epoch: u64, released: bool) -> CellHeartbeat
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let job_index = member.job_index.borrow();
    let load = job_index.owner().map(|owner| owner.heartbeat.load.clone()).unwrap_or_default();
    let config = node.config.borrow();
    let queues = config.iter().flat_map(|config| &config.queues);
    let waiting: Vec<(CompactString, u32)> = queues
        .map(|queue| (queue.name.clone(), job_index.queued_jobs(&queue.name) as u32))
        .filter(|(_, count)| *count > 0)
        .collect();
    CellHeartbeat {
        owner: node.owner_heartbeat(epoch, released, load),
        address: node.settings.peer_address.clone(),
        waiting,
        completed_waves: member.completed_waves.borrow().iter().copied().collect(),
    }
}

/// Reports each wave as running once, and as completed once all cells have completed it.
async fn report_waves<P, C>(member: &CellMember<P, C>, reported: &mut BTreeSet<(u64, bool)>)
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let Some(layout) = node.layout.borrow().clone() else { return };
    let waves: Vec<u64> = node.waves.borrow().keys().copied().collect();
    for wave in waves {
        let completed = member.cells_completed(wave, layout.cells).into_iter().all(|done| done);
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
