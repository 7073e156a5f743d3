//! The report of a demonstration: its checks, and its output as JSON and as text.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
    time::Duration,
};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use cj_standin::{Breach, Observed, PoolAvailability};

use crate::{
    faults::PlannedFault,
    ledger::{Counts, Ledger, WorkStatus, histogram},
    publisher::Publications,
};

/// Target for the 99th percentile of the time until a setting is in force on all nodes.
const SETTINGS_TARGET_MS: u64 = 3_000;

/// A workload with at least this many work items but without any answer fails the report.
const MIN_SENT_TO_CHECK: u64 = 10;

/// Maximum number of open jobs listed.
const MAX_LISTED_JOBS: usize = 20;

/// Width of the plots in characters.
const PLOT_WIDTH: usize = 60;

const BLOCKS: [char; 9] = [' ', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];

/// Result of a demonstration. The counts come from the callers' ledger and from the fakes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// True when all checked invariants and targets hold.
    pub ok: bool,
    /// Descriptions of the failed checks.
    pub problems: Vec<String>,
    /// Work recorded by a node, or completed.
    pub accepted: u64,
    /// Work completed with an answer.
    pub done: u64,
    /// Work refused as not run.
    pub refused: u64,
    /// Work that may have run.
    pub unknown: u64,
    /// Accepted must-not-drop work without a known state at the end.
    pub lost: u64,
    /// Non-idempotent work that ran more than once.
    pub doubled: u64,
    /// Work refused as not run that ran.
    pub false_refusals: u64,
    /// Answers that are not the complete answer to the caller's own request.
    pub wrong_answers: u64,
    /// Work still pending at the end.
    pub open: u64,
    /// Requests among the open work that had no answer at all.
    pub held: u64,
    /// Job ids of some of the open work, for `GET /explain`.
    pub open_jobs: Vec<String>,
    /// Planned actions that left a pool below its availability budget.
    pub budget_breaches: u64,
    /// The same, but so soon after a failure in the pool that no planner can have detected it.
    pub unnoticed_breaches: u64,
    /// Times that a VM was in two pools.
    pub vm_in_two_pools: u64,
    /// Requests and tasks aborted by a reboot.
    pub cut_off_in_flight: u64,
    /// New work that arrived at a VM that had been leaving for more than 2 s.
    pub late_to_leaving: u64,
    /// Times that a node reported a lower settings offset than before.
    pub settings_reverted: u64,
    /// 99th percentile of the time until a setting was in force on all nodes, without log outages.
    pub settings_p99_ms: u64,
    /// Number of publications in that percentile.
    pub settings_measured: u64,
    /// Number of publications that overlap with a log outage, during which no node can read a record.
    pub settings_log_down: u64,
    /// 99th percentile of the time for those publications.
    pub settings_log_down_p99_ms: u64,
    /// Publications rejected.
    pub settings_rejected: u64,
    /// Publications that no node accepted.
    pub settings_unanswered: u64,
    /// Publications not in force on all nodes before the driver's timeout.
    pub settings_late: u64,
    /// Changes of a VM's pool.
    pub moves: u64,
    /// VMs rebooted.
    pub reboots: u64,
    /// Faults injected by the fakes and by the driver.
    pub faults_injected: u64,
    /// Appends to the log.
    pub log_appends: u64,
    /// Arrivals skipped by the driver to bound its load.
    pub arrivals_skipped: u64,
    /// Nodes whose graceful shutdown did not end within the limit.
    pub nodes_not_stopped: u64,
    /// Duration of the demonstration in milliseconds, without the time after the arrivals.
    pub duration_ms: u64,
    /// Counts by workload.
    pub workloads: BTreeMap<CompactString, Counts>,
    /// Availability by pool.
    pub pools: BTreeMap<CompactString, PoolAvailability>,
    /// All planned actions that left a pool below its availability budget.
    pub breaches: Vec<Breach>,
    /// Planned faults.
    pub faults: Vec<PlannedFault>,
    /// Answers in each second.
    pub done_per_second: Vec<u32>,
    /// Refusals in each second, by the time of sending.
    pub refused_per_second: Vec<u32>,
}

/// Data from which a report is computed.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Work items and the answers that the callers received.
    pub ledger: Ledger,
    /// Observations of the fakes.
    pub observed: Observed,
    /// Results of all publications.
    pub publications: Publications,
    /// Injected faults.
    pub faults: Vec<PlannedFault>,
    /// Number of faults injected by the driver itself, such as killed nodes.
    pub driver_faults: u64,
    /// Arrivals skipped to bound the load.
    pub skipped: u64,
    /// Nodes whose graceful shutdown did not end within the limit.
    pub not_stopped: u64,
    /// Duration without the time after the arrivals.
    pub duration: Duration,
}

fn p99(times: &[Duration]) -> u64 {
    let mut all = histogram();
    times.iter().for_each(|time| all.saturating_record(time.as_millis() as u64));
    all.value_at_quantile(0.99)
}

impl Report {
    /// Computes the report and its checks.
    pub fn new(evidence: Evidence) -> Report {
        let Evidence { ledger, observed, publications, faults, .. } = evidence;
        let (workloads, total) = ledger.compare(&observed);
        let budget_breaches = observed.budget_breaches();
        let (done_per_second, refused_per_second) = per_second(&ledger, evidence.duration);
        let mut report = Report {
            accepted: total.accepted,
            done: total.done,
            refused: total.refused,
            unknown: total.unknown,
            lost: total.lost,
            doubled: total.doubled,
            false_refusals: total.false_refusals,
            wrong_answers: total.wrong_answers,
            open: total.open,
            held: ledger.open_jobs().filter(|(_, held)| *held).count() as u64,
            open_jobs: ledger
                .open_jobs()
                .take(MAX_LISTED_JOBS)
                .map(|(job, _)| job.to_string())
                .collect(),
            budget_breaches,
            unnoticed_breaches: observed.breaches.len() as u64 - budget_breaches,
            vm_in_two_pools: observed.vm_in_two_pools,
            cut_off_in_flight: observed.cut_off_in_flight,
            late_to_leaving: observed.late_to_leaving,
            settings_reverted: publications.reverted,
            settings_p99_ms: p99(&publications.times),
            settings_measured: publications.times.len() as u64,
            settings_log_down: publications.times_log_down.len() as u64,
            settings_log_down_p99_ms: p99(&publications.times_log_down),
            settings_rejected: publications.rejected,
            settings_unanswered: publications.unanswered,
            settings_late: publications.late,
            moves: observed.moves,
            reboots: observed.reboots,
            faults_injected: observed.fault_count() + evidence.driver_faults,
            log_appends: observed.log_appends,
            arrivals_skipped: evidence.skipped,
            nodes_not_stopped: evidence.not_stopped,
            duration_ms: evidence.duration.as_millis() as u64,
            workloads,
            pools: observed.pools.into_iter().map(|(id, p)| (id.as_str().into(), p)).collect(),
            breaches: observed.breaches,
            faults,
            done_per_second,
            refused_per_second,
            ..Report::default()
        };
        report.problems = report.find_problems();
        report.ok = report.problems.is_empty();
        report
    }

    fn find_problems(&self) -> Vec<String> {
        let expected_zero = [
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("false_refusals", self.false_refusals),
            ("wrong_answers", self.wrong_answers),
            ("open", self.open),
            ("budget_breaches", self.budget_breaches),
            ("vm_in_two_pools", self.vm_in_two_pools),
            ("cut_off_in_flight", self.cut_off_in_flight),
            ("late_to_leaving", self.late_to_leaving),
            ("settings_reverted", self.settings_reverted),
            ("settings_late", self.settings_late),
            ("nodes_not_stopped", self.nodes_not_stopped),
        ];
        let violated = expected_zero.iter().filter(|(_, count)| *count > 0);
        let mut problems: Vec<String> =
            violated.map(|(name, count)| format!("{name} is {count}, not 0")).collect();
        if self.settings_p99_ms >= SETTINGS_TARGET_MS {
            let time = self.settings_p99_ms;
            problems.push(format!("settings_p99_ms is {time}, not under {SETTINGS_TARGET_MS}"));
        }
        // Without answers the other checks compare nothing.
        let unserved =
            self.workloads.iter().filter(|(_, c)| c.sent >= MIN_SENT_TO_CHECK && c.done == 0);
        problems.extend(unserved.map(|(name, c)| format!("no answer to {} {name}", c.sent)));
        if self.done == 0 {
            problems.push("no answer at all".into());
        }
        problems
    }
}

fn per_second(ledger: &Ledger, duration: Duration) -> (Vec<u32>, Vec<u32>) {
    let seconds = duration.as_secs() as usize + 1;
    let (mut done, mut refused) = (vec![0; seconds], vec![0; seconds]);
    for (_, entry) in ledger.entries() {
        let (counts, at) = match (entry.status, entry.latency) {
            (WorkStatus::Done, Some(latency)) => (&mut done, entry.sent_at + latency),
            (WorkStatus::Refused, _) => (&mut refused, entry.sent_at),
            _ => continue,
        };
        if let Some(count) = counts.get_mut(at.as_secs() as usize) {
            *count += 1;
        }
    }
    (done, refused)
}

/// Plots values as a line of block characters, scaled to the largest value.
fn plot(values: &[u32]) -> String {
    let largest = values.iter().copied().max().unwrap_or_default().max(1);
    let columns = values.len().min(PLOT_WIDTH);
    let column = |index: usize| {
        let range = index * values.len() / columns..(index + 1) * values.len() / columns;
        let value = values[range].iter().copied().max().unwrap_or_default();
        BLOCKS[(value as usize * (BLOCKS.len() - 1)).div_ceil(largest as usize)]
    };
    (0..columns).map(column).collect()
}

/// A line that marks the duration of a fault, in the columns of the plots over time.
fn fault_span(fault: &PlannedFault, duration: Duration, columns: usize) -> String {
    let place = |time: Duration| {
        let share = time.as_secs_f64() / duration.as_secs_f64().max(0.001);
        ((share * columns as f64) as usize).min(columns.saturating_sub(1))
    };
    let (from, to) = (place(fault.at), place(fault.at + fault.length));
    format!("{}{}", " ".repeat(from), "=".repeat(to - from + 1))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header =
            ["sent", "accepted", "done", "in time", "refused", "unknown", "lost", "doubled"];
        write!(f, "{:<16}", "workload")?;
        header.iter().try_for_each(|name| write!(f, "{name:>9}"))?;
        writeln!(f, "{:>9}{:>9}", "p50 ms", "p99 ms")?;
        for (name, c) in &self.workloads {
            write!(f, "{name:<16}")?;
            let values = [
                c.sent,
                c.accepted,
                c.done,
                c.in_deadline,
                c.refused,
                c.unknown,
                c.lost,
                c.doubled,
            ];
            values.iter().try_for_each(|value| write!(f, "{value:>9}"))?;
            writeln!(f, "{:>9}{:>9}", c.p50_ms, c.p99_ms)?;
        }
        writeln!(f, "\nlowest number of available VMs per pool (| marks the availability budget)")?;
        for (name, pool) in &self.pools {
            let size = pool.available.iter().map(|(_, count)| *count).max().unwrap_or_default();
            let mut bar = String::new();
            for place in 0..size {
                let mark = if place == pool.min_available { "|" } else { "" };
                write!(bar, "{mark}{}", if place < pool.lowest { '█' } else { '·' })?;
            }
            let mark = if pool.min_available >= size { "|" } else { "" };
            writeln!(f, "{name:<16} {bar}{mark} {} of {size}", pool.lowest)?;
        }
        self.fmt_times(f)?;
        writeln!(
            f,
            "\nsettings: {} in force on all nodes, p99 {} ms; {} during log outages, p99 {} ms; {} unanswered, {} rejected",
            self.settings_measured,
            self.settings_p99_ms,
            self.settings_log_down,
            self.settings_log_down_p99_ms,
            self.settings_unanswered,
            self.settings_rejected,
        )?;
        writeln!(
            f,
            "{} moves, {} reboots, {} faults injected, {} log appends in {} s",
            self.moves,
            self.reboots,
            self.faults_injected,
            self.log_appends,
            self.duration_ms / 1000,
        )?;
        match self.ok {
            true => writeln!(f, "ok: every check holds"),
            false => writeln!(f, "FAILED: {}", self.problems.join("; ")),
        }
    }
}

impl Report {
    fn fmt_times(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let duration = Duration::from_millis(self.duration_ms);
        let columns = self.done_per_second.len().min(PLOT_WIDTH);
        let most = self.done_per_second.iter().max().unwrap_or(&0);
        writeln!(f, "\nover time")?;
        writeln!(f, "{:<16} {} up to {most}/s", "answers", plot(&self.done_per_second))?;
        let most = self.refused_per_second.iter().max().unwrap_or(&0);
        writeln!(f, "{:<16} {} up to {most}/s", "refusals", plot(&self.refused_per_second))?;
        for fault in &self.faults {
            writeln!(f, "{:<16} {}", fault.kind.to_string(), fault_span(fault, duration, columns))?;
        }
        Ok(())
    }
}
