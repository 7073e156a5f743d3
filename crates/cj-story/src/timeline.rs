//! Timeline of one job, task, step, worker, VM or wave: the log lines that name it, and the lines that explain them.

use std::collections::HashSet;

use crate::line::Line;

/// Lines up to this time before the first line that names the id, or after the last one, count as context.
const CONTEXT_MS: u64 = 2_000;

/// How a line relates to the id of a timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// The line names the id.
    Own,
    /// The line is about something that the id depends on: its workers and their pools, the owner, or the store.
    Context,
}

/// The log lines that concern an id, sorted by time.
#[derive(Clone, Debug, Default)]
pub struct Timeline<'a> {
    /// Each line with its relation to the id.
    pub lines: Vec<(Relation, &'a Line)>,
}

impl<'a> Timeline<'a> {
    /// Lines that name the id.
    pub fn own_lines(&self) -> impl Iterator<Item = &'a Line> {
        self.lines.iter().filter(|(relation, _)| *relation == Relation::Own).map(|(_, line)| *line)
    }

    /// Lines about what the id depends on, without those that name the id.
    pub fn context_lines(&self) -> impl Iterator<Item = &'a Line> {
        self.lines
            .iter()
            .filter(|(relation, _)| *relation == Relation::Context)
            .map(|(_, line)| *line)
    }
}

/// Selects the lines that concern an id from `lines`, which are sorted by time. Empty if no line names the id.
pub fn timeline<'a>(lines: &'a [Line], id: &str) -> Timeline<'a> {
    let own: Vec<&Line> = lines.iter().filter(|line| mentions(line, id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Timeline::default() };
    let (from, to) = (first.at.saturating_sub(CONTEXT_MS), last.at + CONTEXT_MS);
    let workers: HashSet<&str> = own.iter().filter_map(|line| line.get("worker")).collect();
    let adds_worker = |line: &&Line| {
        line.has("choice", "add") && line.get("worker").is_some_and(|id| workers.contains(id))
    };
    let pools: HashSet<&str> =
        lines.iter().filter(adds_worker).filter_map(|line| line.get("service")).collect();
    let nodes: HashSet<&str> = own.iter().map(|line| line.node()).collect();
    let cells: HashSet<&str> = own.iter().filter_map(|line| line.get("cell")).collect();
    let starts = own.iter().filter(|line| line.has("choice", "start"));
    let owners: HashSet<&str> = starts.map(|line| line.node()).collect();
    let within = lines.iter().filter(|line| (from..=to).contains(&line.at));
    let lines = within.filter_map(|line| {
        if mentions(line, id) {
            return Some((Relation::Own, line));
        }
        let other_cell = line.get("cell").is_some_and(|cell| !cells.contains(cell));
        let other_owner = !owners.is_empty() && !owners.contains(line.node());
        let is_context = (is_owner_line(line) && (cells.is_empty() || !other_cell))
            || (is_link_line(line) && nodes.contains(line.node()))
            || is_worker_line(line, &workers)
            || (line.get("pool").is_some_and(|pool| pools.contains(pool)) && !other_owner);
        is_context.then_some((Relation::Context, line))
    });
    Timeline { lines: lines.collect() }
}

/// Whether the line names the id, or a task of the job with this id.
fn mentions(line: &Line, id: &str) -> bool {
    let task = |value: &str| value.strip_prefix(id).is_some_and(|rest| rest.starts_with('.'));
    let ids = ["job", "task", "step", "worker", "vm", "wave"];
    ids.into_iter().filter_map(|key| line.get(key)).any(|value| value == id || task(value))
}

/// Whether the line is a decision about the ownership of a cell.
fn is_owner_line(line: &Line) -> bool {
    let choices = [
        "own",
        "disown",
        "step_down",
        "suspend_orders",
        "no_claim",
        "may_be_replaced",
        "sole_owner",
        "lease_expired",
    ];
    line.get("choice").is_some_and(|choice| choices.contains(&choice))
        && line.get("worker").is_none()
}

/// Whether the line is about a connection of the node or its process.
fn is_link_line(line: &Line) -> bool {
    line.has("kind", "link") || line.has("kind", "process")
}

/// Whether the line is about the end or the health of one of these workers.
fn is_worker_line(line: &Line, workers: &HashSet<&str>) -> bool {
    let choices = ["end_life", "lapse", "gone", "unlist", "quarantine"];
    let choice = line.get("choice").is_some_and(|choice| choices.contains(&choice));
    choice && line.get("worker").is_some_and(|worker| workers.contains(worker))
}
