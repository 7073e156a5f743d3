//! The work of a placement pass, and which waiting steps get a turn in it.
//!
//! Work is counted and limited for each service by itself, in two parts. The first goes to the occurrences in the order of
//! their ranks. The second goes to those that got no turn in the first, the one whose last turn is longest ago first. So
//! each waiting occurrence gets a turn within as many passes as occurrences of its service wait, whatever they ask for, and
//! usually within a few. A turn has its own limit, and the next one of the same occurrence begins where it ended.

use std::collections::HashMap;

use cj_types::{Resources, ServiceId};
use compact_str::CompactString;

use crate::{
    job::StepSpec,
    sched::{shape::ShapeId, share::PoolShares, work::Occurrence},
};

/// Work of a service in each part of a pass, in steps that were looked at.
const PART_WORK: u32 = 256;

/// Work of one turn. The second part of a pass has room for at least one turn.
const TURN_WORK: u32 = 128;

/// Work of a search over the workers that finds none, in steps that were looked at.
const SEARCH_WORK: u32 = 8;

/// Position in the steps of an occurrence, which are gone through by shape: the next step is this one or a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepPosition {
    shape: ShapeId,
    step: u32,
}

/// When an occurrence had its last turn, and where it ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastTurn {
    /// Number of the pass; that of the first one that knew the occurrence if it has had no turn yet.
    pub(super) pass: Option<u64>,
    /// Where the next turn begins.
    resume: StepPosition,
}

/// The turn of an occurrence in a pass. It goes once over the steps that are ready, from where the last turn ended.
pub(super) struct Turn {
    start: StepPosition,
    next: StepPosition,
    /// It has gone past the last step, and continues with the first one.
    wrapped: bool,
    work: u32,
}

impl Turn {
    pub(super) fn begin(occurrence: &Occurrence) -> Self {
        let start = occurrence.last_turn.resume;
        Turn { start, next: start, wrapped: false, work: 0 }
    }

    /// The next step; `None` after the last one.
    pub(super) fn next_step(&mut self, occurrence: &Occurrence) -> Option<u32> {
        let found = self.find_next(occurrence);
        if found.is_some() || self.wrapped {
            return found;
        }
        self.wrapped = true;
        self.next = StepPosition::default();
        self.find_next(occurrence)
    }

    fn find_next(&self, occurrence: &Occurrence) -> Option<u32> {
        let mut shapes = occurrence.startable.range(self.next.shape..);
        let (shape, step) = shapes.find_map(|(shape, steps)| {
            let from = if *shape == self.next.shape { self.next.step } else { 0 };
            steps.range(from..).next().map(|step| (*shape, *step))
        })?;
        let is_new = !self.wrapped || StepPosition { shape, step } < self.start;
        is_new.then_some(step)
    }

    /// Goes on behind a step.
    pub(super) fn advance(&mut self, shape: ShapeId, step: u32) {
        self.next = StepPosition { shape, step: step + 1 };
    }

    /// Goes on behind the other steps of the shape.
    pub(super) fn skip_shape(&mut self, shape: ShapeId) {
        self.next = StepPosition { shape, step: u32::MAX };
    }

    /// True if the turn has used up its work.
    pub(super) fn is_over(&self) -> bool {
        self.work >= TURN_WORK
    }

    /// Where the next turn begins: behind the last step, or with the first one if this turn has seen all.
    pub(super) fn last_turn(&self, seen_all: bool, pass: Option<u64>) -> LastTurn {
        let resume = if seen_all { StepPosition::default() } else { self.next };
        LastTurn { pass, resume }
    }
}

/// What a step of a service asked for when no worker had room for it in this pass.
struct NoRoom {
    requires: Option<CompactString>,
    long_running: bool,
    demand: Resources,
    /// Room was sought by preemption for a task that asks for this.
    preempted: bool,
}

impl NoRoom {
    /// True if a step can't find room either, since it asks for at least as much. Workers can be reserved for long-running
    /// tasks, so others have fewer to choose from.
    fn covers(&self, spec: &StepSpec) -> bool {
        let same_label = self.requires.is_none() || self.requires == spec.requires;
        let has_fewer = self.long_running || !spec.long_running;
        same_label && has_fewer && self.demand.fits(spec.allocation())
    }
}

/// What a pass did for one service.
#[derive(Default)]
struct ServiceWork {
    /// Work of the present part.
    work: u32,
    no_room: Vec<NoRoom>,
}

/// A placement pass.
pub(super) struct Pass {
    pub(super) number: u64,
    /// Use of the pools by accounts, where these share them.
    pub(super) pools: HashMap<ServiceId, PoolShares>,
    /// Work of the earlier groups of candidates, by pool, in seconds of the whole pool.
    pub(super) work_ahead: HashMap<ServiceId, f32>,
    services: HashMap<ServiceId, ServiceWork>,
}

impl Pass {
    pub(super) fn new(number: u64, pools: HashMap<ServiceId, PoolShares>) -> Self {
        Pass { number, pools, work_ahead: HashMap::new(), services: HashMap::new() }
    }

    /// Begins the second part, which has work of its own.
    pub(super) fn begin_second_part(&mut self) {
        self.services.values_mut().for_each(|service| service.work = 0);
    }

    /// True if a service has used up its work in this part.
    pub(super) fn is_used_up(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(|service| service.work >= PART_WORK)
    }

    /// Counts a look at a step, and a search for a worker if it was fruitless.
    pub(super) fn count(&mut self, service: &ServiceId, turn: &mut Turn, fruitless: bool) {
        let work = if fruitless { SEARCH_WORK } else { 1 };
        turn.work += work;
        self.service_mut(service).work += work;
    }

    /// True if no worker of the service has room for the step, as an earlier search shows. Nothing is freed in a pass.
    pub(super) fn lacks_room(&self, service: &ServiceId, spec: &StepSpec) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.no_room.iter().any(|full| full.covers(spec)))
    }

    /// Records that no worker of the service has room for the step.
    pub(super) fn record_no_room(&mut self, service: &ServiceId, spec: &StepSpec) {
        let (long_running, demand) = (spec.long_running, spec.allocation());
        let requires = spec.requires.clone();
        let full = NoRoom { requires, long_running, demand, preempted: false };
        self.service_mut(service).no_room.push(full);
    }

    /// True if no room was sought by preemption yet for a step that asks for no more. Records that it is sought now.
    pub(super) fn begin_preemption(&mut self, service: &ServiceId, spec: &StepSpec) -> bool {
        let no_room = self.service_mut(service).no_room.iter_mut();
        let mut covering: Vec<_> = no_room.filter(|full| full.covers(spec)).collect();
        if covering.iter().any(|full| full.preempted) {
            return false;
        }
        covering.iter_mut().for_each(|full| full.preempted = true);
        true
    }

    fn service_mut(&mut self, service: &ServiceId) -> &mut ServiceWork {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceWork::default());
        }
        self.services.get_mut(service).expect("inserted above")
    }
}
