//! Derives the causes of refusals, failures and delays from a timeline.

use crate::{
    line::Line,
    runs::{LONG_WAIT_MS, delays},
    timeline::Timeline,
};

/// Causes that the lines of a timeline show, each with the time of its line in Unix ms, sorted by time and without duplicates.
pub fn causes(timeline: &Timeline<'_>) -> Vec<(u64, String)> {
    let mut found = Vec::new();
    for line in timeline.own_lines() {
        found.extend(refusal(timeline, line).map(|cause| (line.at, cause)));
        found.extend(failure(line).map(|cause| (line.at, cause)));
        found.extend(loss(timeline, line).map(|cause| (line.at, cause)));
    }
    found.extend(first_wait(timeline));
    found.extend(delays(timeline));
    found.sort();
    found.dedup();
    found
}

/// Why a request was refused or not answered, with the node's last link event before it where that may be the reason.
fn refusal(timeline: &Timeline<'_>, line: &Line) -> Option<String> {
    line.get("request")?;
    let node = line.node();
    let last_link = || {
        let is_link = |other: &&Line| {
            other.node() == node && other.has("kind", "link") && other.at <= line.at
        };
        let last = timeline.context_lines().filter(is_link).last();
        last.map_or_else(String::new, |other| {
            let ago = line.at - other.at;
            let (choice, cause) = (other.get("choice"), other.get("cause"));
            format!(
                ": {} {ago} ms before, {}",
                choice.unwrap_or("link"),
                cause.unwrap_or("no cause given")
            )
        })
    };
    match (line.get("choice")?, line.get("reason")) {
        ("refused", Some("overload")) => Some(overload(timeline, line)),
        ("refused", Some("store_unreachable")) => {
            Some(store_unreachable(timeline, line) + &last_link())
        }
        ("refused", reason) => Some(format!(
            "{node} could not store the request ({}){}",
            reason.unwrap_or("refused"),
            last_link()
        )),
        ("unknown", _) => Some(format!("the store did not answer {node} in time{}", last_link())),
        ("unavailable", _) => {
            Some(format!("{node} was not up to date with the store{}", last_link()))
        }
        ("invalid", _) => Some(format!(
            "the job can't be read: {}",
            line.get("cause").unwrap_or("see the answer")
        )),
        _ => None,
    }
}

/// Which part of the node's access to the store failed, from its last line with the state of its reads.
fn store_unreachable(timeline: &Timeline<'_>, line: &Line) -> String {
    let node_lines =
        timeline.own_lines().filter(|other| other.node() == line.node() && other.at <= line.at);
    let store_state = node_lines.filter(|other| other.get("read_age_ms").is_some()).last();
    let get = |key| store_state.and_then(|other| other.get(key)).unwrap_or("?");
    let reason = match (get("append_stalled"), get("reads_answered")) {
        ("true", _) => "its last append is not answered".to_owned(),
        _ if get("read_age_ms") == "never" => "it has not read it since its start".to_owned(),
        (_, "false") => "its reads fail".to_owned(),
        _ => format!("it has read nothing for {} ms", get("read_age_ms")),
    };
    format!("{} did not reach the store: {reason}", line.node())
}

/// The load behind a refusal, from the line that the same node logged up to 50 ms earlier.
fn overload(timeline: &Timeline<'_>, line: &Line) -> String {
    let is_overload =
        |other: &&Line| other.node() == line.node() && other.has("reason", "overload");
    let load = timeline.own_lines().filter(is_overload).find(|other| {
        other.get("wait_ms").is_some() && other.at <= line.at && other.at + 50 >= line.at
    });
    let retry = line.get("retry_ms").unwrap_or("?");
    let Some(load) = load else {
        return format!("refused under load; come back after {retry} ms");
    };
    format!(
        "refused under load: {} has {} ms of work waiting, the objective is {} ms (load {} ms old); come back after {retry} ms",
        load.get("service").unwrap_or("the pool"),
        load.get("wait_ms").unwrap_or("?"),
        load.get("objective_ms").unwrap_or("?"),
        load.get("load_age_ms").unwrap_or("?"),
    )
}

/// Why a job or a run failed.
fn failure(line: &Line) -> Option<String> {
    let worker = line.get("worker").unwrap_or("?");
    let run = || Some(format!("run {} of {}", line.get("run")?, line.get("task")?));
    match (line.get("choice"), line.get("end")) {
        (Some("failed"), _) => Some(format!(
            "the job failed after {} failed runs of one task",
            line.get("attempts").unwrap_or("all")
        )),
        (Some("restart"), _) => {
            Some(format!("{} hung on {worker}", line.get("task").unwrap_or("?")))
        }
        (Some("preempt"), _) => Some(format!("finite tasks on {worker} gave way")),
        (_, Some("Failed")) => run().map(|run| format!("{run} failed on {worker}")),
        (_, Some("Lapsed")) => run().map(|run| format!("the lease of {run} on {worker} lapsed")),
        _ => None,
    }
}

/// Why a run was lost, from the last line about its worker. That line may come up to 5 ms after the loss.
fn loss(timeline: &Timeline<'_>, line: &Line) -> Option<String> {
    if !line.has("choice", "lose") {
        return None;
    }
    let (task, run) = (line.get("task")?, line.get("run")?);
    let is_run = |other: &&Line| other.has("task", task) && other.has("run", run);
    let worker = timeline.own_lines().filter(is_run).find_map(|other| other.get("worker"))?;
    let is_about_worker = |other: &&Line| other.has("worker", worker) && other.at <= line.at + 5;
    let cause = timeline.context_lines().filter(is_about_worker).last();
    let cause = cause.and_then(|other| other.get("cause").or(other.get("choice")));
    let cause = cause.or(line.get("cause")).unwrap_or("not listed");
    let owner = line.get("heartbeat_age_ms").map_or_else(String::new, |age| {
        format!("; the last acknowledged heartbeat of its owner was {age} ms old")
    });
    Some(format!("run {run} of {task} was lost with {worker}: {cause}{owner}"))
}

/// Size of the pool from its first line at or after this time; empty if there is none.
fn pool_size(timeline: &Timeline<'_>, at: u64) -> String {
    let Some(line) =
        timeline.context_lines().filter(|line| line.get("pool").is_some()).find(|l| l.at >= at)
    else {
        return String::new();
    };
    let get = |key| line.get(key).unwrap_or("?");
    format!(
        ": pool {} has {} VMs, needs {}, and {} are parked",
        get("pool"),
        get("vms"),
        get("target"),
        get("parked")
    )
}

/// Why the first start took at least [`LONG_WAIT_MS`]: a takeover in the meantime, or no room.
fn first_wait(timeline: &Timeline<'_>) -> Option<(u64, String)> {
    let accepted = timeline.own_lines().find(|line| line.has("choice", "accepted"))?;
    let is_start = |line: &&Line| line.has("choice", "start") || line.has("choice", "adopt");
    let start = timeline.own_lines().find(is_start)?;
    let wait = start.at.saturating_sub(accepted.at);
    if wait < LONG_WAIT_MS {
        return None;
    }
    let before_start = |line: &&Line| (accepted.at..=start.at).contains(&line.at);
    let owner =
        timeline.context_lines().filter(before_start).find(|line| line.has("choice", "own"));
    let text = match owner {
        Some(line) => format!(
            "the first start waited {wait} ms: {} took over the fleet {} ms after the job was accepted",
            line.node(),
            line.at - accepted.at
        ),
        None => {
            format!("the first start waited {wait} ms for room{}", pool_size(timeline, accepted.at))
        }
    };
    Some((start.at, text))
}
