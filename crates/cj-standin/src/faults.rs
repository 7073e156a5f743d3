//! Fault injection at run time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use cj_types::VmId;

use crate::http::lock;

/// Starts, changes or ends a fault. `POST /v1/faults` accepts it as JSON, such as `{"fault": "log-down", "on": true}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum Fault {
    /// The log closes every connection without processing the request or answering it.
    LogDown {
        /// Whether the fault is on.
        on: bool,
    },
    /// The log delays the handling of every request.
    LogSlow {
        /// Delay in milliseconds; 0 ends the fault.
        delay_ms: u64,
    },
    /// The log carries out a share of the appends but closes the connection without an answer.
    LostAnswers {
        /// Share in percent; 0 ends the fault.
        percent: u32,
    },
    /// The log truncates each stream once, to its newest records.
    LogForgets {
        /// Number of records kept per stream.
        keep: usize,
    },
    /// The VM list lags behind more than usual.
    ListStale {
        /// Lag in milliseconds; 0 restores the configured lag.
        lag_ms: u64,
    },
    /// A worker fails every task before it runs.
    BadWorker {
        /// The worker.
        vm: VmId,
        /// Whether the fault is on.
        on: bool,
    },
    /// A VM crashes: its connections are reset, and its requests and tasks are aborted.
    Kill {
        /// The VM.
        vm: VmId,
    },
    /// A killed VM boots again with a new boot id.
    Restart {
        /// The VM.
        vm: VmId,
    },
    /// VM control carries out reboots but closes the connection without an answer.
    LostReboots {
        /// Whether the fault is on.
        on: bool,
    },
}

impl Fault {
    /// Name in JSON.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::LogDown { .. } => "log-down",
            Fault::LogSlow { .. } => "log-slow",
            Fault::LostAnswers { .. } => "lost-answers",
            Fault::LogForgets { .. } => "log-forgets",
            Fault::ListStale { .. } => "list-stale",
            Fault::BadWorker { .. } => "bad-worker",
            Fault::Kill { .. } => "kill",
            Fault::Restart { .. } => "restart",
            Fault::LostReboots { .. } => "lost-reboots",
        }
    }

    /// True when this starts a fault, false when it ends one.
    pub fn is_injection(&self) -> bool {
        match self {
            Fault::LogDown { on } | Fault::BadWorker { on, .. } | Fault::LostReboots { on } => *on,
            Fault::LogSlow { delay_ms } => *delay_ms > 0,
            Fault::LostAnswers { percent } => *percent > 0,
            Fault::ListStale { lag_ms } => *lag_ms > 0,
            Fault::LogForgets { .. } | Fault::Kill { .. } => true,
            Fault::Restart { .. } => false,
        }
    }
}

/// Active faults.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    /// The log is down.
    pub log_down: bool,
    /// Delay before the log handles a request.
    pub log_delay: Duration,
    /// Percentage of appends whose answer is lost.
    pub lost_percent: u32,
    /// Lag of the VM list that replaces the configured one.
    pub list_lag: Option<Duration>,
    /// Workers that fail every task.
    pub bad_workers: BTreeSet<VmId>,
    /// Answers to reboot operations are lost.
    pub lost_reboots: bool,
    /// Number of faults injected, by fault name.
    pub injected: BTreeMap<&'static str, u64>,
}

/// The active faults, shared by the fakes of a platform.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<ActiveFaults>>);

impl Faults {
    /// Snapshot of the active faults.
    pub fn active(&self) -> ActiveFaults {
        lock(&self.0).clone()
    }

    /// Applies a fault and counts it when it's an injection. Kills, restarts and truncations only get counted here; the
    /// platform carries them out.
    pub(crate) fn set(&self, fault: &Fault) {
        let mut active = lock(&self.0);
        if fault.is_injection() {
            *active.injected.entry(fault.name()).or_default() += 1;
        }
        match fault {
            Fault::LogDown { on } => active.log_down = *on,
            Fault::LogSlow { delay_ms } => active.log_delay = Duration::from_millis(*delay_ms),
            Fault::LostAnswers { percent } => active.lost_percent = *percent,
            Fault::ListStale { lag_ms } => {
                active.list_lag = (*lag_ms > 0).then(|| Duration::from_millis(*lag_ms));
            }
            Fault::BadWorker { vm, on: true } => {
                active.bad_workers.insert(vm.clone());
            }
            Fault::BadWorker { vm, on: false } => {
                active.bad_workers.remove(vm);
            }
            Fault::LostReboots { on } => active.lost_reboots = *on,
            Fault::LogForgets { .. } | Fault::Kill { .. } | Fault::Restart { .. } => {}
        }
    }

    pub(crate) fn read<T>(&self, get: impl FnOnce(&ActiveFaults) -> T) -> T {
        get(&lock(&self.0))
    }
}
