//! Background tasks that update the router's view, the heartbeat report and the gauges from the replicated state.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use cj_log::LogService;
use cj_member::Report;
use cj_types::Clock;

use crate::{
    context::{NodeContext, sleep},
    metrics::PhaseLabel,
    operator::{job_phase, vm_phase},
    work::pool_view,
};

/// Pause between two checks whether the router's view has to be rebuilt; far below the 2 s within which an upstream
/// that leaves must stop getting new work.
const VIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two updates of the report that is sent in heartbeats.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Rebuilds the router's view whenever the replicated state or the live nodes have changed.
pub async fn refresh_view<L, C>(node: Rc<NodeContext<L, C>>)
where
    L: LogService,
    C: Clock + 'static,
{
    let mut last = None;
    loop {
        let (index, nodes) = live_node_index(&node);
        let key = (node.replica.state().next, index, nodes);
        if last != Some(key) {
            let view = pool_view(&node.replica.state(), index, nodes);
            node.dispatcher.update_view(view);
            node.routed_offset.set(key.0);
            last = Some(key);
        }
        sleep(VIEW_INTERVAL).await;
    }
}

/// Index of this node among the live nodes in order of id, and the number of live nodes, this one included.
fn live_node_index<L, C>(node: &NodeContext<L, C>) -> (u32, u32)
where
    L: LogService,
    C: Clock + 'static,
{
    let view = node.peers.view();
    let live = view.live(node.now());
    let index = live.iter().filter(|p| p.report.node.node < *node.id()).count();
    (index as u32, live.len() as u32 + 1)
}

/// Updates the report that this node sends in its heartbeats, and compares state hashes with those of the peers, until
/// the node stops.
pub async fn refresh_report<L, C>(node: Rc<NodeContext<L, C>>)
where
    L: LogService,
    C: Clock + 'static,
{
    loop {
        let in_flight = node.dispatcher.in_flight_during_operations(&node.replica.state());
        let lag = node.replica.lag();
        let deciding = lag.reachable && node.replica.fault().is_none();
        let (applied, settings, hash) = {
            let state = node.replica.state();
            (state.next, state.settings_next, state.hash)
        };
        node.peers.update(|report: &mut Report| {
            report.applied = applied;
            report.settings = settings;
            report.hash_at = applied;
            report.hash = hash;
            report.in_flight = in_flight;
            report.deciding = deciding;
        });
        let hashes: Vec<_> = {
            let view = node.peers.view();
            let live = view.live(node.now());
            live.iter().map(|p| (p.report.hash_at, p.report.hash)).collect()
        };
        node.replica.compare_hashes(hashes);
        sleep(REPORT_INTERVAL).await;
    }
}

/// Updates the gauges until the node stops.
pub async fn refresh_metrics<L, C>(node: Rc<NodeContext<L, C>>)
where
    L: LogService,
    C: Clock + 'static,
{
    loop {
        sleep(GAUGE_INTERVAL).await;
        let lag = node.replica.lag();
        let metrics = &node.metrics;
        metrics.log_reachable.set(i64::from(lag.reachable));
        metrics.applied_offset.set(lag.applied.0 as i64);
        metrics.live_nodes.set(i64::from(live_node_index(&node).1));
        let state = node.replica.state();
        metrics.settings_offset.set(state.settings_next.0 as i64);
        let mut jobs = BTreeMap::<&'static str, i64>::new();
        for job in state.jobs.values() {
            *jobs.entry(job_phase(&job.phase)).or_default() += 1;
        }
        let mut vms = BTreeMap::<&'static str, i64>::new();
        for vm in state.vms.values() {
            *vms.entry(vm_phase(&vm.phase)).or_default() += 1;
        }
        metrics.jobs.clear();
        metrics.vms.clear();
        for (phase, count) in jobs {
            metrics.jobs.get_or_create(&PhaseLabel { phase }).set(count);
        }
        for (phase, count) in vms {
            metrics.vms.get_or_create(&PhaseLabel { phase }).set(count);
        }
    }
}
