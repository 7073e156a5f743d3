//! The lines that concern one job, task, worker or VM, and those that explain them.

use std::collections::HashSet;

use crate::line::Line;

/// Longest time from a line about an owner or a lost dependency to the lines that it explains, in ms.
const REACH_MS: u64 = 2_000;

/// How a line belongs to a story.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// It names the id.
    Own,
    /// It is about something that the id depends on: its workers, its owners, the store.
    Around,
}

/// Lines of a story in order.
#[derive(Clone, Debug, Default)]
pub struct Story<'a> {
    /// The lines.
    pub lines: Vec<(Part, &'a Line)>,
}

impl<'a> Story<'a> {
    /// Lines that name the id.
    pub fn own(&self) -> impl Iterator<Item = &'a Line> {
        self.lines.iter().filter(|(part, _)| *part == Part::Own).map(|(_, line)| *line)
    }

    /// Lines about what the id depends on.
    pub fn around(&self) -> impl Iterator<Item = &'a Line> {
        self.lines.iter().filter(|(part, _)| *part == Part::Around).map(|(_, line)| *line)
    }
}

/// The story of an id among lines in order of time.
pub fn story<'a>(lines: &'a [Line], id: &str) -> Story<'a> {
    let own: Vec<&Line> = lines.iter().filter(|line| names(line, id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Story::default() };
    let (from, to) = (first.at.saturating_sub(REACH_MS), last.at + REACH_MS);
    let workers: HashSet<&str> = own.iter().filter_map(|line| line.get("worker")).collect();
    let added = |line: &&Line| {
        line.is("choice", "add") && line.get("worker").is_some_and(|id| workers.contains(id))
    };
    let pools: HashSet<&str> =
        lines.iter().filter(added).filter_map(|line| line.get("service")).collect();
    let nodes: HashSet<&str> = own.iter().map(|line| line.node()).collect();
    let cells: HashSet<&str> = own.iter().filter_map(|line| line.get("cell")).collect();
    let starts = own.iter().filter(|line| line.is("choice", "start"));
    let owners: HashSet<&str> = starts.map(|line| line.node()).collect();
    let within = lines.iter().filter(|line| (from..=to).contains(&line.at));
    let lines = within.filter_map(|line| {
        if names(line, id) {
            return Some((Part::Own, line));
        }
        let other_cell = line.get("cell").is_some_and(|cell| !cells.contains(cell));
        let other_owner = !owners.is_empty() && !owners.contains(line.node());
        let around = (is_about_owner(line) && (cells.is_empty() || !other_cell))
            || (is_about_link(line) && nodes.contains(line.node()))
            || is_about_worker(line, &workers)
            || (line.get("pool").is_some_and(|pool| pools.contains(pool)) && !other_owner);
        around.then_some((Part::Around, line))
    });
    Story { lines: lines.collect() }
}

/// True when the line is about the id, or about a task of the job with this id.
fn names(line: &Line, id: &str) -> bool {
    let task = |value: &str| value.strip_prefix(id).is_some_and(|rest| rest.starts_with('.'));
    let ids = ["job", "task", "step", "worker", "vm", "wave"];
    ids.into_iter().filter_map(|key| line.get(key)).any(|value| value == id || task(value))
}

fn is_about_owner(line: &Line) -> bool {
    let choices = ["own", "disown", "step_down", "suspend_orders", "no_claim"];
    line.get("choice").is_some_and(|choice| choices.contains(&choice))
        && line.get("worker").is_none()
}

fn is_about_link(line: &Line) -> bool {
    line.is("kind", "link") || line.is("kind", "process")
}

fn is_about_worker(line: &Line, workers: &HashSet<&str>) -> bool {
    let choices = ["end_life", "lapse", "gone", "unlist", "quarantine"];
    let choice = line.get("choice").is_some_and(|choice| choices.contains(&choice));
    choice && line.get("worker").is_some_and(|worker| workers.contains(worker))
}
