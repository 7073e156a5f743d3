//! Named faults and their schedule.

use std::{fmt, rc::Rc, str::FromStr, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use cj_standin::{Fault, Platform, VmKind, VmState};
use cj_types::{Error, Result, VmId};

use crate::{callers::Callers, nodes::Nodes, workload::Urgency};

/// Delay of the log's answers while it's slow.
const LOG_DELAY_MS: u64 = 400;

/// Share of appends without an answer while answers are lost.
const LOST_ANSWER_PERCENT: u32 = 30;

/// Lag of the VM list while it's stale.
const STALE_LAG_MS: u64 = 20_000;

/// A flood's arrival rate as a multiple of the pool's capacity.
const FLOOD_FACTOR: f64 = 10.0;

/// Pending jobs cancelled in one wave.
const CANCEL_COUNT: usize = 500;

/// Longest time that one fault lasts.
const MAX_FAULT_DURATION: Duration = Duration::from_secs(6);

/// Longest time that a flood lasts. Accepted work has to be done after it, which takes the factor times as long.
const MAX_FLOOD_DURATION: Duration = Duration::from_secs(2);

/// A fault by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The log doesn't answer.
    LogDown,
    /// The log answers late.
    LogSlow,
    /// Appends and reboots take effect without an answer.
    LostAnswers,
    /// An entry node ends at once and is started again.
    NodeKilled,
    /// An entry node is halted for some time.
    NodePaused,
    /// A minion and a worker fail and come back.
    UpstreamKilled,
    /// A worker fails every task.
    BadWorker,
    /// The VM list shows an old state.
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

    /// Reads a list of names separated by commas, `all` or `none`. Fails on an unknown name.
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

/// One planned fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Time from the start of the demonstration.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What fails.
    pub kind: FaultKind,
}

/// Plans every kind once in turn over the first two thirds of `total`, and once more at a random time in the rest, where
/// faults overlap.
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

/// Carries out planned faults.
pub(crate) struct Injector {
    pub(crate) platform: Arc<Platform>,
    pub(crate) nodes: Rc<Nodes>,
    pub(crate) callers: Rc<Callers>,
    pub(crate) seed: u64,
}

impl Injector {
    /// Runs one fault from its start to its end.
    pub(crate) async fn inject(&self, fault: PlannedFault) {
        log::info!("{} for {:?}", fault.kind, fault.length);
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
                let asked = self.callers.cancel_pending(CANCEL_COUNT, seed).await;
                log::info!("asked to cancel {asked} jobs");
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

    /// One live VM of each kind.
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
        // One node stays up, so that an outage of all nodes isn't mistaken for lost work.
        if self.nodes.running().len() < 2 {
            return;
        }
        let Some(node) = self.nodes.pick(rng, None) else { return };
        self.nodes.kill(node.index);
        tokio::time::sleep(length).await;
        if let Err(error) = self.nodes.restart(node.index).await {
            log::error!("node {} did not come back: {error}", node.index);
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
