//! The layout of the cells: how VMs and jobs are divided, and how cells share the cap of a wave.

use std::collections::{BTreeMap, BTreeSet};

use cj_entry::{
    layout::{CellId, Layout, NodeCapacity, wave_share},
    owner_directory::CellRecord,
};
use cj_sched::{
    JobKey,
    sched::{VmRow, VmState},
};
use cj_types::{Millicores, Resources, ServiceId, VmId};
use compact_str::format_compact;

const STRONG: NodeCapacity =
    NodeCapacity { cores: Millicores(500), link_mbps: 200.0, max_cells: 24 };

/// VMs of five pools, twelve in a rack.
fn fleet(vms_per_pool: usize) -> Vec<VmRow> {
    let row = |pool: usize, n: usize| VmRow {
        vm: VmId::try_from(format!("vm-{pool}-{n}").as_str()).unwrap(),
        pool: ServiceId::try_from(format!("pool-{pool}").as_str()).unwrap(),
        state: VmState::Up,
        labels: vec!["kind".into(), format_compact!("r{pool}-{}", n / 12)],
        capacity: Resources::default(),
        worker: None,
    };
    (0..5).flat_map(|pool| (0..vms_per_pool).map(move |n| row(pool, n))).collect()
}

/// Guards against dividing a small fleet, whose owners would then read each other's records needlessly.
#[test]
fn a_small_fleet_has_one_cell() {
    let layout = Layout::plan(&fleet(70), STRONG);
    assert!(layout.is_single());
    assert_eq!(layout.home_cells("n1", Millicores(120)), [CellId(0)], "all nodes follow it");
}

/// Guards against one owner for more VMs than it can send commands to, and against a cell that lacks VMs of a pool.
#[test]
fn cells_of_a_large_fleet_have_similar_shares_of_each_pool() {
    let rows = fleet(220);
    let layout = Layout::plan(&rows, STRONG);
    assert!(layout.cells > 1);
    let mut shares: BTreeMap<(&ServiceId, CellId), usize> = BTreeMap::new();
    let mut racks: BTreeMap<&str, BTreeSet<CellId>> = BTreeMap::new();
    for row in &rows {
        let cell = layout.cell_of(&row.labels);
        *shares.entry((&row.pool, cell)).or_default() += 1;
        racks.entry(&row.labels[1]).or_default().insert(cell);
    }
    assert!(racks.values().all(|cells| cells.len() == 1), "a rack is in one cell");
    assert_eq!(shares.len(), 5 * usize::from(layout.cells));
    let most = 220_usize.div_ceil(usize::from(layout.cells)) + 12;
    assert!(shares.values().all(|vms| *vms <= most), "{shares:?}");
}

/// Guards against a cell with more commands than its owner has processor time or bandwidth for.
#[test]
fn weak_nodes_and_narrow_links_make_smaller_cells() {
    let weak = Layout::plan(&fleet(70), NodeCapacity { cores: Millicores(120), ..STRONG });
    assert!(weak.cells > 1, "a weak owner can't send the commands for 350 VMs");
    let wide = Layout::plan(&fleet(220), STRONG);
    let narrow = Layout::plan(&fleet(220), NodeCapacity { link_mbps: 2.0, ..STRONG });
    assert!(narrow.cells > wide.cells);
    let bounded =
        Layout::plan(&fleet(220), NodeCapacity { link_mbps: 0.1, max_cells: 12, ..STRONG });
    assert!(bounded.cells <= 12, "the store has a partition for each cell");
}

/// Guards against nodes that disagree on the cell of a job: the job would run once in each.
#[test]
fn a_layout_record_determines_the_cell_of_each_job() {
    let layout = Layout::plan(&fleet(220), STRONG);
    let (key, value) = CellRecord::Layout(layout.clone()).entry();
    let Ok(CellRecord::Layout(read)) = CellRecord::decode(&key, &value) else { panic!("{key}") };
    assert_eq!(read, layout);
    let mut counts = vec![0_usize; usize::from(layout.cells)];
    for job in 0..6_000 {
        counts[read.cell_of_job(JobKey(job)).index()] += 1;
    }
    let mean = 6_000 / counts.len();
    assert!(counts.iter().all(|count| count.abs_diff(mean) < mean / 5), "{counts:?}");
}

/// Guards against weak nodes reading whole cells, and against cells that no strong node is ready to take over.
#[test]
fn strong_nodes_have_few_home_cells() {
    let layout = Layout::plan(&fleet(220), STRONG);
    assert!(layout.home_cells("weak", Millicores(120)).is_empty());
    let home_cells: BTreeSet<CellId> =
        (0..18).flat_map(|n| layout.home_cells(&format!("front-{n}"), Millicores(500))).collect();
    assert_eq!(home_cells.len(), usize::from(layout.cells));
}

/// Cells complete their parts of a wave in various orders. Guards against the cells together exceeding the cap, and
/// against a cell waiting for a share forever.
#[test]
fn shares_of_a_wave_never_exceed_its_cap() {
    for cap in [1, 2, 5, 6, 17] {
        for order in [[0, 1, 2, 3, 4, 5], [5, 3, 1, 0, 2, 4], [2, 3, 4, 5, 0, 1]] {
            let mut done = vec![false; 6];
            for next in order {
                // A cell may not know yet that others have completed the wave, but it always knows its own state.
                let mut sum = 0;
                for cell in (0..6).map(CellId).filter(|cell| !done[cell.index()]) {
                    sum += wave_share(cap, cell, &done);
                    let behind = wave_share(cap, cell, &[false; 6]);
                    assert!(behind <= wave_share(cap, cell, &done));
                }
                assert_eq!(sum, cap, "{order:?}");
                done[next] = true;
            }
        }
    }
}
