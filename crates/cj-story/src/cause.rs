//! Names the causes of a refusal, a failure or a delay.

use crate::{
    line::Line,
    runs::{LONG_WAIT_MS, delays},
    story::Story,
};

/// Causes that the lines of a story show, each with the time of the line that shows it, in order of time.
pub fn causes(story: &Story<'_>) -> Vec<(u64, String)> {
    let mut found = Vec::new();
    for line in story.own() {
        found.extend(refusal(story, line).map(|cause| (line.at, cause)));
        found.extend(failure(line).map(|cause| (line.at, cause)));
        found.extend(loss(story, line).map(|cause| (line.at, cause)));
    }
    found.extend(first_wait(story));
    found.extend(delays(story));
    found.sort();
    found.dedup();
    found
}

/// Why a request was refused or not answered.
fn refusal(story: &Story<'_>, line: &Line) -> Option<String> {
    line.get("request")?;
    let node = line.node();
    let lost = || {
        let link =
            |other: &&Line| other.node() == node && other.is("kind", "link") && other.at <= line.at;
        let last = story.around().filter(link).last();
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
        ("refused", Some("overload")) => Some(overload(story, line)),
        ("refused", Some("store_unreachable")) => Some(unreachable(story, line) + &lost()),
        ("refused", reason) => Some(format!(
            "{node} could not store the request ({}){}",
            reason.unwrap_or("refused"),
            lost()
        )),
        ("unknown", _) => Some(format!("the store did not answer {node} in time{}", lost())),
        ("unavailable", _) => Some(format!("{node} was not up to date with the store{}", lost())),
        ("invalid", _) => Some(format!(
            "the job can't be read: {}",
            line.get("cause").unwrap_or("see the answer")
        )),
        _ => None,
    }
}

fn unreachable(story: &Story<'_>, line: &Line) -> String {
    let told = story.own().filter(|other| other.node() == line.node() && other.at <= line.at);
    let told = told.filter(|other| other.get("read_age_ms").is_some()).last();
    let get = |key| told.and_then(|other| other.get(key)).unwrap_or("?");
    let why = match (get("append_stalled"), get("reads_answered")) {
        ("true", _) => "its last append is not answered".to_owned(),
        _ if get("read_age_ms") == "never" => "it has not read it since its start".to_owned(),
        (_, "false") => "its reads fail".to_owned(),
        _ => format!("it has read nothing for {} ms", get("read_age_ms")),
    };
    format!("{} did not reach the store: {why}", line.node())
}

fn overload(story: &Story<'_>, line: &Line) -> String {
    let reason = |other: &&Line| other.node() == line.node() && other.is("reason", "overload");
    let told = story.own().filter(reason).find(|other| {
        other.get("wait_ms").is_some() && other.at <= line.at && other.at + 50 >= line.at
    });
    let retry = line.get("retry_ms").unwrap_or("?");
    let Some(told) = told else {
        return format!("refused under load; come back after {retry} ms");
    };
    format!(
        "refused under load: {} has {} ms of work waiting, the objective is {} ms (load {} ms old); come back after {retry} ms",
        told.get("service").unwrap_or("the pool"),
        told.get("wait_ms").unwrap_or("?"),
        told.get("objective_ms").unwrap_or("?"),
        told.get("load_age_ms").unwrap_or("?"),
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

/// Why a run was lost: what became of its worker.
fn loss(story: &Story<'_>, line: &Line) -> Option<String> {
    if !line.is("choice", "lose") {
        return None;
    }
    let (task, run) = (line.get("task")?, line.get("run")?);
    let started = |other: &&Line| other.is("task", task) && other.is("run", run);
    let worker = story.own().filter(started).find_map(|other| other.get("worker"))?;
    let fate = |other: &&Line| other.is("worker", worker) && other.at <= line.at + 5;
    let cause = story.around().filter(fate).last();
    let cause = cause.and_then(|other| other.get("cause").or(other.get("choice")));
    Some(format!("run {run} of {task} was lost with {worker}: {}", cause.unwrap_or("not listed")))
}

/// Size of the pool at a time.
fn pool(story: &Story<'_>, at: u64) -> String {
    let Some(line) = story.around().filter(|line| line.get("pool").is_some()).find(|l| l.at >= at)
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

/// Why the first start came late.
fn first_wait(story: &Story<'_>) -> Option<(u64, String)> {
    let accepted = story.own().find(|line| line.is("choice", "accepted"))?;
    let begins = |line: &&Line| line.is("choice", "start") || line.is("choice", "adopt");
    let start = story.own().find(begins)?;
    let wait = start.at.saturating_sub(accepted.at);
    if wait < LONG_WAIT_MS {
        return None;
    }
    let between = |line: &&Line| (accepted.at..=start.at).contains(&line.at);
    let owner = story.around().filter(between).find(|line| line.is("choice", "own"));
    let told = match owner {
        Some(line) => format!(
            "the first start waited {wait} ms: {} took over the fleet {} ms after the job was accepted",
            line.node(),
            line.at - accepted.at
        ),
        None => format!("the first start waited {wait} ms for room{}", pool(story, accepted.at)),
    };
    Some((start.at, told))
}
