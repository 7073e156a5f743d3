//! Fault switches that can be set at run time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use cj_types::VmId;

use crate::http::lock;

/// One setting of a fault switch. `POST /v1/faults` takes it as JSON, such as `{"fault": "log-down", "on": true}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum Fault {
    /// The log closes every connection without an answer and without effect.
    LogDown {
        /// Whether the fault is on.
        on: bool,
    },
    /// Every answer of the log is delayed.
    LogSlow {
        /// Delay in milliseconds; 0 ends the fault.
        delay_ms: u64,
    },
    /// A share of appends takes effect, but the connection is closed without an answer.
    LostAnswers {
        /// Share in percent; 0 ends the fault.
        percent: u32,
    },
    /// The log drops all but the newest records of each stream, once.
    LogForgets {
        /// Number of records kept per stream.
        keep: usize,
    },
    /// The VM list shows the state of a longer time ago.
    ListStale {
        /// Lag in milliseconds; 0 returns to the lag of the options.
        lag_ms: u64,
    },
    /// A worker fails every task before it has any effect.
    BadWorker {
        /// The worker.
        vm: VmId,
        /// Whether the fault is on.
        on: bool,
    },
    /// A VM stops at once: connections are reset, requests and tasks are cut.
    Kill {
        /// The VM.
        vm: VmId,
    },
    /// A killed VM starts again with another boot id.
    Restart {
        /// The VM.
        vm: VmId,
    },
    /// Reboots take effect, but the connection is closed without an answer.
    LostReboots {
        /// Whether the fault is on.
        on: bool,
    },
}

impl Fault {
    /// Name as on the wire.
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

    /// True when it introduces a fault, false when it ends one.
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

/// Current position of the switches.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    /// Log outage.
    pub log_down: bool,
    /// Delay of the log's answers.
    pub log_delay: Duration,
    /// Share of appends whose answer is lost, in percent.
    pub lost_percent: u32,
    /// Lag of the VM list when it's larger than in the options.
    pub list_lag: Option<Duration>,
    /// Workers that fail every task.
    pub bad_workers: BTreeSet<VmId>,
    /// Answers to reboots are lost.
    pub lost_reboots: bool,
    /// Number of faults injected, by name.
    pub injected: BTreeMap<&'static str, u64>,
}

/// Shared fault switches.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<ActiveFaults>>);

impl Faults {
    /// Current position of the switches.
    pub fn active(&self) -> ActiveFaults {
        lock(&self.0).clone()
    }

    /// Sets a switch and counts the injection. Kill, restart and retention cuts are carried out by the platform.
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
