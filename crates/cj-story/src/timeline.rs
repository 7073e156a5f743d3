//! The lines that concern one job, task, worker or VM, and those that explain them.

use std::collections::HashSet;

use crate::line::Line;

/// Longest time from a line about an owner or a lost dependency to the lines that it explains, in ms.
const CONTEXT_MS: u64 = 2_000;

/// How a line belongs to a story.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// It names the id.
    Own,
    /// It is about something that the id depends on: its workers, its owners, the store.
    Context,
}

/// Lines of a story in order.
#[derive(Clone, Debug, Default)]
pub struct Timeline<'a> {
    /// The lines.
    pub lines: Vec<(Relation, &'a Line)>,
}

impl<'a> Timeline<'a> {
    /// Lines that name the id.
    pub fn own_lines(&self) -> impl Iterator<Item = &'a Line> {
        self.lines.iter().filter(|(relation, _)| *relation == Relation::Own).map(|(_, line)| *line)
    }

    /// Lines about what the id depends on.
    pub fn context_lines(&self) -> impl Iterator<Item = &'a Line> {
        self.lines
            .iter()
            .filter(|(relation, _)| *relation == Relation::Context)
            .map(|(_, line)| *line)
    }
}

/// The story of an id among lines in order of time.
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

/// True when the line is about the id, or about a task of the job with this id.
fn mentions(line: &Line, id: &str) -> bool {
    let task = |value: &str| value.strip_prefix(id).is_some_and(|rest| rest.starts_with('.'));
    let ids = ["job", "task", "step", "worker", "vm", "wave"];
    ids.into_iter().filter_map(|key| line.get(key)).any(|value| value == id || task(value))
}

fn is_owner_line(line: &Line) -> bool {
    let choices = ["own", "disown", "step_down", "suspend_orders", "no_claim"];
    line.get("choice").is_some_and(|choice| choices.contains(&choice))
        && line.get("worker").is_none()
}

fn is_link_line(line: &Line) -> bool {
    line.has("kind", "link") || line.has("kind", "process")
}

fn is_worker_line(line: &Line, workers: &HashSet<&str>) -> bool {
    let choices = ["end_life", "lapse", "gone", "unlist", "quarantine"];
    let choice = line.get("choice").is_some_and(|choice| choices.contains(&choice));
    choice && line.get("worker").is_some_and(|worker| workers.contains(worker))
}
