//! Relief for overloaded workers: which tasks to throttle, checkpoint or stop.

use compact_str::format_compact;

use cj_types::{Resources, VmId};

use crate::types::{Relief, ReliefStep, TaskUsage, UsageReport};

/// Usage in percent of the capacity above which a worker gets relief, and the usage that relief aims at. A process that
/// exceeds its worker's memory is killed, whereas cores are shared.
const MAX_MEMORY_PERCENT: u64 = 95;
const MAX_CORES_PERCENT: u64 = 100;
const TARGET_PERCENT: u64 = 85;

/// Relief for one worker: the least urgent tasks that together use the excess get their next step. Reports arrive with
/// a delay, so each report leads to one step per task.
pub(crate) fn relieve(report: &UsageReport, capacity: Resources) -> Vec<Relief> {
    let percent = |part: u32, whole: u32| u64::from(part) * 100 / u64::from(whole.max(1));
    let memory = percent(report.used.memory.0, capacity.memory.0);
    let cores = percent(report.used.cores.0, capacity.cores.0);
    if memory <= MAX_MEMORY_PERCENT && cores <= MAX_CORES_PERCENT {
        return Vec::new();
    }
    let keep = |whole: u32| (u64::from(whole) * TARGET_PERCENT / 100) as u32;
    let mut excess_memory = report.used.memory.0.saturating_sub(keep(capacity.memory.0));
    let mut excess_cores = report.used.cores.0.saturating_sub(keep(capacity.cores.0));
    let mut tasks: Vec<&TaskUsage> = report.tasks.iter().collect();
    tasks.sort_by(|a, b| {
        let size = |t: &TaskUsage| (t.used.memory, t.used.cores);
        b.urgency.cmp(&a.urgency).then(size(b).cmp(&size(a))).then(a.job.cmp(&b.job))
    });
    let mut steps = Vec::new();
    for task in tasks {
        if excess_memory == 0 && excess_cores == 0 {
            break;
        }
        let Some(step) = next_step(task) else { continue };
        excess_memory = excess_memory.saturating_sub(task.used.memory.0);
        excess_cores = excess_cores.saturating_sub(task.used.cores.0);
        let reason = format_compact!("memory {memory}%, cores {cores}%");
        steps.push(log_step(&report.vm, task, step, reason));
    }
    steps
}

/// Throttle, then checkpoint, then stop. A task that must not run twice is never stopped.
fn next_step(task: &TaskUsage) -> Option<ReliefStep> {
    match task.last_relief {
        None => Some(ReliefStep::Throttle),
        Some(ReliefStep::Throttle) => Some(ReliefStep::Checkpoint),
        Some(ReliefStep::Checkpoint) => task.idempotent.then_some(ReliefStep::Stop),
        Some(ReliefStep::Stop) => None,
    }
}

fn log_step(
    vm: &VmId,
    task: &TaskUsage,
    step: ReliefStep,
    reason: compact_str::CompactString,
) -> Relief {
    log::info!(target: "decision", "worker={vm} job={} choice={step:?} reason=\"{reason}\"", task.job);
    Relief { vm: vm.clone(), job: task.job.clone(), step, reason }
}
