//! Text of the answer to a placement query.

use std::fmt::Write;

use serde_json::Value;

/// Millicores times milliseconds in a core second.
const CORE_SECOND: f64 = 1e6;

/// Renders the answer of a node.
pub(super) fn render(answer: &Value) -> String {
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = write_answer(&mut out, answer);
    out
}

/// A value as text that is safe to print on a terminal.
fn plain(value: &Value) -> String {
    match value {
        Value::Null => "unknown".into(),
        // Control characters in the id of a worker would reach the terminal.
        Value::String(text) => text.replace(char::is_control, "?"),
        other => other.to_string(),
    }
}

fn ms(value: &Value) -> String {
    value.as_u64().map_or_else(|| "unknown".into(), |ms| format!("{ms} ms"))
}

fn cores(value: &Value) -> String {
    format!("{:.1}", value.as_f64().unwrap_or_default() / 1e3)
}

fn core_seconds(value: &Value) -> String {
    format!("{:.1} core s", value.as_f64().unwrap_or_default() / CORE_SECOND)
}

fn write_answer(out: &mut String, answer: &Value) -> std::fmt::Result {
    let account = answer["account"].as_str().unwrap_or("none");
    writeln!(
        out,
        "queue {}, account {account}, pool {}, objective {} by the caller's estimates",
        plain(&answer["queue"]),
        plain(&answer["service"]),
        ms(&answer["objective_ms"])
    )?;
    writeln!(
        out,
        "answered by {} with configuration {}, read {} ago",
        plain(&answer["node"]),
        plain(&answer["config"]),
        ms(&answer["config_age_ms"])
    )?;
    for cell in answer["cells"].as_array().into_iter().flatten() {
        write_cell(out, cell)?;
    }
    match answer["further_cells"].as_u64() {
        Some(more) if more > 0 => writeln!(out, "{more} further cells aren't listed"),
        _ => Ok(()),
    }
}

fn write_cell(out: &mut String, cell: &Value) -> std::fmt::Result {
    writeln!(out, "\ncell {}", plain(&cell["cell"]))?;
    let admission = &cell["admission"];
    if admission["accepted"].as_bool().unwrap_or_default() {
        writeln!(out, "  admission   accepted")?;
    } else {
        let (reason, after) = (plain(&admission["reason"]), ms(&admission["retry_after_ms"]));
        writeln!(out, "  admission   refused: {reason}; retry after {after}")?;
    }
    let load = &cell["load"];
    if load.is_object() {
        writeln!(
            out,
            "  load        {} cores, {} of work, {} at full use; read {} ago",
            cores(&load["capacity_m"]),
            core_seconds(&load["backlog"]),
            ms(&load["backlog_ms"]),
            ms(&load["age_ms"])
        )?;
    } else {
        writeln!(out, "  load        the owner has published none for this pool")?;
    }
    let owner = &cell["owner"];
    if owner.is_object() {
        let flag = |name: &str| owner[name].as_bool().unwrap_or_default();
        let this = if flag("this_node") { " (this node)" } else { "" };
        let gone = if flag("released") { ", has given up the cell" } else { "" };
        let address =
            owner["address"].as_str().map(|_| format!(" at {}", plain(&owner["address"])));
        writeln!(
            out,
            "  owner       {}{this}{}, epoch {}{gone}; heartbeat read {} ago",
            plain(&owner["node"]),
            address.unwrap_or_default(),
            plain(&owner["epoch"]),
            ms(&owner["heartbeat_age_ms"])
        )?;
    } else {
        writeln!(out, "  owner       unknown: no heartbeat was read")?;
    }
    let placement = &cell["placement"];
    if placement.is_object() {
        write_placement(out, placement)
    } else {
        writeln!(out, "  workers     not told: {}", plain(&cell["no_placement"]))
    }
}

fn write_placement(out: &mut String, placement: &Value) -> std::fmt::Result {
    let (pool, ahead, ages) = (&placement["pool"], &placement["ahead"], &placement["ages"]);
    writeln!(
        out,
        "  pool        {} workers, {} take tasks: {} cores, {} free, {} for long-running tasks",
        plain(&pool["workers"]),
        plain(&pool["accepting"]),
        cores(&pool["capacity_m"]),
        cores(&pool["free_m"]),
        cores(&pool["long_running_m"])
    )?;
    let arrival = pool["next_arrival_ms"].as_u64();
    writeln!(
        out,
        "  VMs         {} up, {} on their way ({} cores{}), {} spare",
        plain(&pool["vms"]),
        plain(&pool["arriving"]),
        cores(&pool["arriving_m"]),
        arrival.map_or_else(String::new, |ms| format!(", the first in {ms} ms")),
        plain(&pool["spare"])
    )?;
    writeln!(
        out,
        "  ahead       {} run, {} of {} jobs wait before this one; {} wait behind it",
        core_seconds(&ahead["running"]),
        core_seconds(&ahead["waiting"]),
        plain(&ahead["jobs"]),
        core_seconds(&ahead["behind"])
    )?;
    if placement["cap_room"].is_object() {
        let cap_room = &placement["cap_room"];
        let (cpu, memory) = (cores(&cap_room["cores"]), plain(&cap_room["memory"]));
        writeln!(out, "  account     may start {cpu} cores, {memory} MiB more in this cell")?;
    }
    for step in placement["steps"].as_array().into_iter().flatten() {
        write_step(out, step)?;
    }
    let (unnamed, later) = (&placement["unnamed_steps"], &placement["later_steps"]);
    if unnamed.as_u64() > Some(0) || later.as_u64() > Some(0) {
        writeln!(out, "  more steps  {later} after others, {unnamed} that could start too")?;
    }
    let expected = &placement["expected"];
    if expected.is_object() {
        let in_time = expected["in_time"].as_bool().unwrap_or_default();
        writeln!(
            out,
            "  expected    starts in {}, runs {}, ends in {}: {} (objective {} by expected run times)",
            ms(&expected["wait_ms"]),
            ms(&expected["run_ms"]),
            ms(&expected["end_ms"]),
            if in_time { "in time" } else { "late" },
            ms(&expected["objective_ms"])
        )?;
    } else {
        let reason = match placement["no_times"].as_str() {
            Some("long_running") => "the job runs until it is cancelled",
            Some("too_large") => "no worker or VM could ever hold a task of some step",
            _ => "the pool has no workers, and none can come",
        };
        writeln!(out, "  expected    no end: {reason}")?;
    }
    writeln!(
        out,
        "  rests on    VM list {} old, heartbeat {}, placement pass {}, listings {} to {}",
        ms(&ages["vm_list_ms"]),
        ms(&ages["heartbeat_ms"]),
        ms(&ages["placement_pass_ms"]),
        ms(&ages["newest_listing_ms"]),
        ms(&ages["oldest_listing_ms"])
    )
}

fn write_step(out: &mut String, step: &Value) -> std::fmt::Result {
    let hold = step["hold"].as_str().map_or_else(String::new, |hold| format!(", held: {hold}"));
    writeln!(
        out,
        "  step {:<6} {} of {} tasks start now{hold}; {} each; {} workers and {} VMs could hold one",
        plain(&step["step"]),
        plain(&step["starting"]),
        plain(&step["tasks"]),
        ms(&step["expected_run_ms"]),
        plain(&step["able_workers"]),
        plain(&step["able_vms"])
    )?;
    let named: Vec<String> = step["workers"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|share| format!("{} x{}", plain(&share["worker"]), plain(&share["tasks"])))
        .collect();
    let chosen = step["chosen_workers"].as_u64().unwrap_or_default() as usize;
    let unnamed = chosen.saturating_sub(named.len());
    if !named.is_empty() {
        let more = if unnamed > 0 { format!(" and {unnamed} more") } else { String::new() };
        writeln!(out, "    on        {}{more}", named.join(", "))?;
    }
    let others: Vec<String> = step["others"]
        .as_object()
        .into_iter()
        .flatten()
        .map(|(obstacle, count)| format!("{count} {}", obstacle.replace('_', " ")))
        .collect();
    if !others.is_empty() {
        writeln!(out, "    not on    {}", others.join(", "))?;
    }
    Ok(())
}
