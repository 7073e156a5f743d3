//! How the fleet is divided into cells.
//!
//! A cell is a set of workers with the jobs that run on them. It has its own logs and one owner at a time, so several
//! nodes share the commands of a large fleet, and none has to read all of its jobs. All workers of a rack are in one
//! cell. The cell of a job follows from its id, so no record is needed to find it. The first node that finds no layout
//! in the store decides on one, which then holds for the lifetime of the store.

use std::collections::BTreeMap;

use cj_sched::{JobKey, sched::VmRow};
use cj_types::{Millicores, ServiceId, rendezvous};
use compact_str::CompactString;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Maximum number of VMs per core of the owner in a fleet with a single cell.
const SINGLE_CELL_VMS_PER_CORE: f64 = 800.0;

/// Number of VMs in a cell per core of the owner, in a fleet with several cells. It is lower than for a single cell
/// because weaker nodes than the strongest may have to own a cell, or one node several cells.
const CELL_VMS_PER_CORE: f64 = 560.0;

/// Bandwidth for the commands and listings of a busy VM, in Mbit/s.
const VM_BANDWIDTH_MBPS: f64 = 0.03;

/// Number of home cells of a strong node in a fleet with several cells.
const HOME_CELL_COUNT: usize = 2;

/// Number of a cell, from 0.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct CellId(pub u16);

impl CellId {
    /// Index of the cell in a list of all cells.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The capacity of a node as an owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCapacity {
    /// Processor time, in millicores.
    pub cores: Millicores,
    /// Bandwidth of the node's link, in Mbit/s.
    pub link_mbps: f64,
    /// Maximum number of cells that the store can hold.
    pub max_cells: u16,
}

/// How a fleet is divided into cells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    /// Number of cells.
    pub cells: u16,
    /// Processor time of the node that decided on the layout, in millicores. Nodes like it are expected to own the
    /// cells.
    pub cores: Millicores,
    /// Cells of the racks that were known when the layout was decided on.
    racks: BTreeMap<CompactString, CellId>,
}

impl Layout {
    /// A layout with one cell.
    pub fn single(cores: Millicores) -> Self {
        Layout { cells: 1, cores, racks: BTreeMap::new() }
    }

    /// Divides the VMs of a fleet. Each cell gets racks of each pool, and about the same number of VMs of each pool.
    pub fn plan(rows: &[VmRow], capacity: NodeCapacity) -> Self {
        let racks = racks_by_pool(rows);
        let fewest = racks.values().map(BTreeMap::len).min().unwrap_or(1);
        let cells = cell_count(rows.len(), capacity).min(fewest as u16).max(1);
        let mut layout = Layout { cells, ..Layout::single(capacity.cores) };
        if cells == 1 {
            return layout;
        }
        let mut totals = vec![0; usize::from(cells)];
        for racks in racks.into_values() {
            let mut racks: Vec<_> = racks.into_iter().collect();
            racks.sort_by_key(|(_, vms)| std::cmp::Reverse(*vms));
            let mut counts = vec![0; usize::from(cells)];
            for (rack, vms) in racks {
                let least_loaded = (0..counts.len()).min_by_key(|&n| (counts[n], totals[n]));
                let cell = least_loaded.unwrap_or_default();
                counts[cell] += vms;
                totals[cell] += vms;
                layout.racks.insert(rack, CellId(cell as u16));
            }
        }
        layout
    }

    /// True when the fleet has a single cell.
    pub fn is_single(&self) -> bool {
        self.cells == 1
    }

    /// True for a node with at least half the processor time of the one that decided on the layout.
    pub fn is_strong(&self, cores: Millicores) -> bool {
        cores.0 * 2 >= self.cores.0
    }

    /// All cells.
    pub fn ids(&self) -> impl Iterator<Item = CellId> + use<> {
        (0..self.cells).map(CellId)
    }

    /// The cell of a job.
    pub fn cell_of_job(&self, job: JobKey) -> CellId {
        self.hash_to_cell(&job.0.to_be_bytes())
    }

    /// The cell of a worker or VM with these labels, the last of which is its rack.
    pub fn cell_of(&self, labels: &[CompactString]) -> CellId {
        let rack = labels.last().map(CompactString::as_str).unwrap_or_default();
        self.racks.get(rack).copied().unwrap_or_else(|| self.hash_to_cell(rack.as_bytes()))
    }

    fn hash_to_cell(&self, key: &[u8]) -> CellId {
        CellId((rendezvous::weight(key, b"cell") % u64::from(self.cells.max(1))) as u16)
    }

    /// The home cells of a node: it follows them all the time, so that it can take them over at once. A weak node has
    /// none if there are several cells.
    pub fn home_cells(&self, node: &str, cores: Millicores) -> Vec<CellId> {
        if self.is_single() {
            return vec![CellId(0)];
        }
        if !self.is_strong(cores) {
            return Vec::new();
        }
        let mut cells: Vec<CellId> = self.ids().collect();
        let weight = |cell: &CellId| rendezvous::weight(&cell.0.to_be_bytes(), node.as_bytes());
        cells.sort_by_key(|cell| std::cmp::Reverse(weight(cell)));
        cells.truncate(HOME_CELL_COUNT);
        cells
    }
}

/// Number of VMs in each rack. Each rack is listed under the pool with the most VMs in it.
fn racks_by_pool(rows: &[VmRow]) -> BTreeMap<ServiceId, BTreeMap<CompactString, usize>> {
    let mut racks: BTreeMap<CompactString, BTreeMap<&ServiceId, usize>> = BTreeMap::new();
    for row in rows {
        let rack = row.labels.last().cloned().unwrap_or_default();
        *racks.entry(rack).or_default().entry(&row.pool).or_default() += 1;
    }
    let mut pools: BTreeMap<ServiceId, BTreeMap<CompactString, usize>> = BTreeMap::new();
    for (rack, counts) in racks {
        let total = counts.values().sum();
        let main = counts.into_iter().max_by_key(|(_, vms)| *vms);
        if let Some((pool, _)) = main {
            pools.entry(pool.clone()).or_default().insert(rack, total);
        }
    }
    pools
}

fn cell_count(vms: usize, capacity: NodeCapacity) -> u16 {
    let (vms, cores) = (vms as f64, f64::from(capacity.cores.0.max(1)) / 1_000.0);
    let is_single = vms <= SINGLE_CELL_VMS_PER_CORE * cores;
    let by_commands = if is_single { 1.0 } else { (vms / (CELL_VMS_PER_CORE * cores)).ceil() };
    let by_link = (vms * VM_BANDWIDTH_MBPS / capacity.link_mbps.max(VM_BANDWIDTH_MBPS)).ceil();
    by_commands.max(by_link).min(f64::from(capacity.max_cells)) as u16
}

/// Maximum number of VMs of a wave that a cell may have in maintenance at once, where `cap` limits all cells together. `done`
/// tells which cells have no VM left to maintain. Each of them passes its share on to the next cell, which is safe
/// because it never needs the share again.
pub fn wave_share(cap: u32, cell: CellId, done: &[bool]) -> u32 {
    let cells = done.len();
    // Unit `n` of the cap belongs to cell `n` modulo the number of cells.
    let units = |first: usize| cap as usize / cells + usize::from(first < cap as usize % cells);
    let holder = |first: &usize| {
        let mut ring = (0..cells).map(|step| (first + step) % cells);
        ring.find(|&at| at == cell.index() || !done[at]) == Some(cell.index())
    };
    (0..cells).filter(holder).map(units).sum::<usize>() as u32
}
