//! Steps of a job that ask the same of workers.
//!
//! When a task of one of them finds no worker, no task of the others does in the same placement pass, so a pass examines
//! shapes and not all steps that wait.

use std::collections::HashMap;

use cj_types::Resources;
use compact_str::CompactString;

use crate::job::{JobSpec, StepSpec};

/// Number of a shape within its job; shapes are numbered in the order of their first steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ShapeId(u32);

/// What decides on which workers the tasks of a step can run.
#[derive(PartialEq, Eq, Hash)]
struct Shape<'a> {
    demand: Resources,
    requires: Option<&'a CompactString>,
    affinity: Option<&'a CompactString>,
    flags: [bool; 2],
    /// Number of the step, if where its own tasks run matters as well.
    step: Option<usize>,
}

impl<'a> Shape<'a> {
    fn of(number: usize, spec: &'a StepSpec) -> Self {
        Shape {
            demand: spec.allocation(),
            requires: spec.requires.as_ref(),
            affinity: spec.affinity.as_ref(),
            flags: [spec.long_running, spec.best_effort],
            step: (spec.gang || spec.spread.is_some()).then_some(number),
        }
    }
}

/// The shapes of the steps of a job, and which steps depend on which.
#[derive(Clone, Debug)]
pub(super) struct Shapes {
    /// By step.
    shapes: Vec<ShapeId>,
    /// By step, those that depend on it, as often as they name it.
    dependents: Vec<Vec<u32>>,
}

impl Shapes {
    pub(super) fn new(spec: &JobSpec) -> Self {
        let mut known = HashMap::new();
        let mut dependents = vec![Vec::new(); spec.steps.len()];
        let mut shapes = Vec::with_capacity(spec.steps.len());
        for (number, step) in spec.steps.iter().enumerate() {
            let next = ShapeId(known.len() as u32);
            shapes.push(*known.entry(Shape::of(number, step)).or_insert(next));
            for &earlier in &step.after {
                if let Some(dependents) = dependents.get_mut(earlier as usize) {
                    dependents.push(number as u32);
                }
            }
        }
        Shapes { shapes, dependents }
    }

    pub(super) fn of(&self, step: u32) -> ShapeId {
        self.shapes[step as usize]
    }

    pub(super) fn dependents(&self, step: u32) -> &[u32] {
        &self.dependents[step as usize]
    }
}
