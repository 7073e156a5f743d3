//! Faults of a demonstration: their names, schedule and injection.

use std::{fmt, rc::Rc, str::FromStr, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use cj_standin::{Fault, Platform, VmKind, VmState};
use cj_types::{Error, Result, VmId};

use crate::{callers::Callers, nodes::Nodes, workload::Urgency};

/// Delay of the log's answers during `log-slow`, in milliseconds.
const LOG_DELAY_MS: u64 = 400;

/// Percentage of appends without an answer during `lost-answers`.
const LOST_ANSWER_PERCENT: u32 = 30;

/// Lag of the VM list during `stale-list`, in milliseconds.
const STALE_LAG_MS: u64 = 20_000;

/// Arrival rate of a flood as a multiple of the pool's capacity.
const FLOOD_FACTOR: f64 = 10.0;

/// Maximum number of pending jobs cancelled by `cancel-wave`.
const CANCEL_COUNT: usize = 500;

/// Maximum duration of one fault.
const MAX_FAULT_DURATION: Duration = Duration::from_secs(6);

/// Maximum duration of a flood. Work accepted during it must still complete, which takes up to [`FLOOD_FACTOR`] times as
/// long.
const MAX_FLOOD_DURATION: Duration = Duration::from_secs(2);

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The log doesn't answer.
    LogDown,
    /// The log answers with a delay.
    LogSlow,
    /// Appends and reboots are carried out without an answer.
    LostAnswers,
    /// An entry node is terminated and started again later.
    NodeKilled,
    /// An entry node is suspended for some time.
    NodePaused,
    /// A minion and a worker fail and are started again later.
    UpstreamKilled,
    /// A worker fails every task.
    BadWorker,
    /// The VM list shows an outdated state.
    StaleList,
    /// Many pending jobs are cancelled at once.
    CancelWave,
    /// The least urgent work arrives at many times the capacity.
    FloodLeast,
    /// The most urgent work arrives at many times the capacity.
    FloodMost,
}

impl FaultKind {
    /// All kinds with their names.
    pub const ALL: [(FaultKind, &'static str); 11] = [
        (FaultKind::LogDown, "log-down"),
        (FaultKind::LogSlow, "log-slow"),
        (FaultKind::LostAnswers, "lost-answers"),
        (FaultKind::NodeKilled, "node-killed"),
        (FaultKind::NodePaused, "node-paused"),
        (FaultKind::UpstreamKilled, "upstream-killed"),
        (FaultKind::BadWorker, "bad-worker"),
        (FaultKind::StaleList, "stale-list"),
        (FaultKind::CancelWave, "cancel-wave"),
        (FaultKind::FloodLeast, "flood-least"),
        (FaultKind::FloodMost, "flood-most"),
    ];

    /// Parses a list of names separated by commas, `all` or `none`.
    ///
    /// # Errors
    ///
    /// A name is unknown.
    pub fn parse_list(text: &str) -> Result<Vec<FaultKind>> {
        match text.trim() {
            "none" | "" => Ok(Vec::new()),
            "all" => Ok(FaultKind::ALL.iter().map(|(kind, _)| *kind).collect()),
            list => list.split(',').map(|name| name.trim().parse()).collect(),
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = FaultKind::ALL.iter().find(|(kind, _)| kind == self).map(|(_, name)| *name);
        f.write_str(name.unwrap_or_default())
    }
}

impl FromStr for FaultKind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let found = FaultKind::ALL.iter().find(|(_, name)| *name == text);
        found.map(|(kind, _)| *kind).ok_or_else(|| {
            let names: Vec<&str> = FaultKind::ALL.iter().map(|(_, name)| *name).collect();
            let help = format!("use `all`, `none` or names of {}", names.join(", "));
            Error::invalid("fault name", text, help)
        })
    }
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Start, as time since the start of the demonstration.
    pub at: Duration,
    /// Duration.
    pub length: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Schedules every kind twice: once in the first two thirds of `total`, one after the other, and once at a random time in
/// the last third, where faults overlap.
pub fn schedule(kinds: &[FaultKind], total: Duration, seed: u64) -> Vec<PlannedFault> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let sequential = total.mul_f64(2.0 / 3.0);
    let slot = sequential / kinds.len().max(1) as u32;
    let length = slot.mul_f64(0.7).min(MAX_FAULT_DURATION);
    let overlapping = total - sequential;
    let mut planned = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        planned.push(PlannedFault { at: slot * index as u32, length, kind: *kind });
        let latest = overlapping.saturating_sub(length).as_secs_f64();
        let at = sequential + Duration::from_secs_f64(rng.random::<f64>() * latest);
        planned.push(PlannedFault { at, length, kind: *kind });
    }
    planned.sort_by_key(|fault| fault.at);
    planned
}

/// Injects scheduled faults.
pub(crate) struct Injector {
    pub(crate) platform: Arc<Platform>,
    pub(crate) nodes: Rc<Nodes>,
    pub(crate) callers: Rc<Callers>,
    pub(crate) seed: u64,
}

impl Injector {
    /// Starts one fault and ends it after its duration.
    pub(crate) async fn inject(&self, fault: PlannedFault) {
        log::info!("injecting {} for {:?}", fault.kind, fault.length);
        let seed = self.seed ^ fault.at.as_nanos() as u64;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        match fault.kind {
            FaultKind::LogDown => {
                let faults = |on| [Fault::LogDown { on }];
                self.apply_for(&faults(true), &faults(false), fault.length).await;
            }
            FaultKind::LogSlow => {
                let faults = |delay_ms| [Fault::LogSlow { delay_ms }];
                self.apply_for(&faults(LOG_DELAY_MS), &faults(0), fault.length).await;
            }
            FaultKind::LostAnswers => {
                let faults =
                    |percent, on| [Fault::LostAnswers { percent }, Fault::LostReboots { on }];
                self.apply_for(&faults(LOST_ANSWER_PERCENT, true), &faults(0, false), fault.length)
                    .await;
            }
            FaultKind::StaleList => {
                let faults = |lag_ms| [Fault::ListStale { lag_ms }];
                self.apply_for(&faults(STALE_LAG_MS), &faults(0), fault.length).await;
            }
            FaultKind::BadWorker => {
                let vms = self.pick_live_vms(&mut rng, &[VmKind::Worker]);
                let faults = |on| vms.iter().map(move |vm| Fault::BadWorker { vm: vm.clone(), on });
                let (on, off): (Vec<_>, Vec<_>) = (faults(true).collect(), faults(false).collect());
                self.apply_for(&on, &off, fault.length).await;
            }
            FaultKind::UpstreamKilled => {
                let vms = self.pick_live_vms(&mut rng, &[VmKind::Minion, VmKind::Worker]);
                let kill: Vec<_> = vms.iter().cloned().map(|vm| Fault::Kill { vm }).collect();
                let restart: Vec<_> = vms.iter().cloned().map(|vm| Fault::Restart { vm }).collect();
                self.apply_for(&kill, &restart, fault.length).await;
            }
            FaultKind::NodeKilled => self.kill_node(&mut rng, fault.length).await,
            FaultKind::NodePaused => {
                if let Some(node) = self.nodes.pick(&mut rng, None) {
                    self.nodes.pause(node.index, fault.length);
                    tokio::time::sleep(fault.length).await;
                }
            }
            FaultKind::CancelWave => {
                let requested = self.callers.cancel_pending(CANCEL_COUNT, seed).await;
                log::info!("requested the cancellation of {requested} jobs");
            }
            FaultKind::FloodLeast => self.flood(Urgency::Least, fault.length).await,
            FaultKind::FloodMost => self.flood(Urgency::Most, fault.length).await,
        }
    }

    async fn apply_for(&self, on: &[Fault], off: &[Fault], length: Duration) {
        on.iter().for_each(|fault| self.platform.inject(fault));
        tokio::time::sleep(length).await;
        off.iter().for_each(|fault| self.platform.inject(fault));
    }

    /// Picks one random live VM of each kind.
    fn pick_live_vms(&self, rng: &mut Pcg64Mcg, kinds: &[VmKind]) -> Vec<VmId> {
        let vms = self.platform.vms();
        let chosen = kinds.iter().filter_map(|kind| {
            let live: Vec<&VmId> = vms
                .iter()
                .filter(|row| row.kind == *kind && row.state == VmState::Live)
                .map(|row| &row.vm)
                .collect();
            live.choose(rng).map(|vm| (*vm).clone())
        });
        chosen.collect()
    }

    async fn kill_node(&self, rng: &mut Pcg64Mcg, length: Duration) {
        // Keeps one node running, since work during an outage of all nodes would be counted as lost.
        if self.nodes.running().len() < 2 {
            return;
        }
        let Some(node) = self.nodes.pick(rng, None) else { return };
        self.nodes.kill(node.index);
        tokio::time::sleep(length).await;
        if let Err(error) = self.nodes.restart(node.index).await {
            log::error!("node {} could not be restarted: {error}", node.index);
        }
    }

    async fn flood(&self, urgency: Urgency, length: Duration) {
        let set = |factor: f64| {
            let ledger = self.callers.ledger.borrow();
            let mut flood = self.callers.flood_factors.borrow_mut();
            let chosen = ledger.workloads().iter().zip(flood.iter_mut());
            chosen.filter(|(w, _)| w.urgency == urgency).for_each(|(_, f)| *f = factor);
        };
        set(FLOOD_FACTOR);
        tokio::time::sleep(length.min(MAX_FLOOD_DURATION)).await;
        set(1.0);
    }
}
