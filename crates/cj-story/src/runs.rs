//! The completed runs of a job's tasks: how long they waited and how long they ran.

use std::collections::BTreeMap;

use crate::{line::Line, timeline::Timeline};

/// Shortest wait for a start that counts as a delay to explain.
pub(crate) const LONG_WAIT_MS: u64 = 800;

/// A run is slow if it took at least this multiple of the median of its step.
const SLOW_RATIO: u64 = 2;

/// A completed run of a task; times in Unix ms.
struct Run<'a> {
    task: &'a str,
    step: u64,
    worker: &'a str,
    started: u64,
    ended: u64,
}

/// Step of a task id, `JOB.OCCURRENCE.STEP.INDEX`.
fn step_of(task: &str) -> Option<u64> {
    task.split('.').nth(2)?.parse().ok()
}

fn runs<'a>(timeline: &Timeline<'a>) -> Vec<Run<'a>> {
    let mut starts: BTreeMap<(&str, &str), &'a Line> = BTreeMap::new();
    let mut found = Vec::new();
    for line in timeline.own_lines() {
        let (Some(task), Some(run)) = (line.get("task"), line.get("run")) else { continue };
        if line.has("choice", "start") {
            starts.entry((task, run)).or_insert(line);
        }
        let done = line.has("end", "Done").then(|| starts.get(&(task, run))).flatten();
        if let (Some(start), Some(step)) = (done, step_of(task)) {
            let worker = line.get("worker").unwrap_or("?");
            found.push(Run { task, step, worker, started: start.at, ended: line.at });
        }
    }
    found
}

/// Delays among the runs of a job: the longest wait, the slowest run and the longest chain, each with its time in Unix ms.
pub(crate) fn delays(timeline: &Timeline<'_>) -> Vec<(u64, String)> {
    let runs = runs(timeline);
    let accepted =
        timeline.own_lines().find(|line| line.has("choice", "accepted")).map(|line| line.at);
    let mut found = Vec::new();
    found.extend(longest_wait(&runs, accepted));
    found.extend(slowest(&runs));
    found.extend(longest_chain(&runs));
    found
}

/// The task that waited longest between the end of the earlier steps and its start, if that is at least [`LONG_WAIT_MS`].
fn longest_wait(runs: &[Run<'_>], accepted: Option<u64>) -> Option<(u64, String)> {
    let wait = |run: &Run<'_>| {
        let earlier = runs.iter().filter(|other| other.step < run.step).map(|other| other.ended);
        let ready = earlier.filter(|ended| *ended <= run.started).max().max(accepted)?;
        Some((run.started.saturating_sub(ready), run.started, run.task.to_owned()))
    };
    let (waited, at, task) = runs.iter().filter_map(wait).max()?;
    let cause = || (at, format!("{task} waited {waited} ms for room after its step could begin"));
    (waited >= LONG_WAIT_MS).then(cause)
}

/// The longest of the runs that are slow compared with the median of their step.
fn slowest(runs: &[Run<'_>]) -> Option<(u64, String)> {
    let duration = |run: &Run<'_>| run.ended - run.started;
    let median = |step: u64| {
        let mut all: Vec<u64> = runs.iter().filter(|run| run.step == step).map(duration).collect();
        all.sort_unstable();
        all.get(all.len() / 2).copied().unwrap_or_default().max(1)
    };
    let slow = runs.iter().filter(|run| duration(run) >= SLOW_RATIO * median(run.step));
    let run = slow.max_by_key(|run| duration(run))?;
    let (took, median_ms) = (duration(run), median(run.step));
    Some((
        run.ended,
        format!(
            "{} ran {took} ms on {}, half of its step at most {median_ms} ms",
            run.task, run.worker
        ),
    ))
}

/// Sum of the longest run of each step: how long the job takes if its steps follow one another without waits.
fn longest_chain(runs: &[Run<'_>]) -> Option<(u64, String)> {
    let mut longest: BTreeMap<u64, u64> = BTreeMap::new();
    for run in runs {
        let longest_run = longest.entry(run.step).or_default();
        *longest_run = (*longest_run).max(run.ended - run.started);
    }
    let end = runs.iter().map(|run| run.ended).max()?;
    let (sum, steps) = (longest.values().sum::<u64>(), longest.len());
    Some((end, format!("the longest runs of its {steps} steps take {sum} ms one after the other")))
}
