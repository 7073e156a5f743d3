//! Agreement on the layout of the cells: the first append to the empty cells topic decides.

use std::time::Duration;

use cj_types::Clock;
use log::{info, warn};

use crate::{
    claim::capacity_delay,
    follow::{Update, load},
    layout::Layout,
    node::EntryNode,
    owner_directory::CellRecord,
    platform::{Guard, Platform, Topic},
};

/// Delay after a failed read or append.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Waits until the layout is known, and proposes one if the store has none.
pub(crate) async fn agree_on_layout<P, C>(node: &EntryNode<P, C>)
where
    P: Platform,
    C: Clock + 'static,
{
    let mut waited = false;
    loop {
        let apply = &mut |update: Update<'_>| {
            if let Update::Record { record, .. } = update {
                node.apply_cell_record(record);
            }
        };
        let end = load(&node.platform, Topic::Cells, apply).await;
        if node.layout.borrow().is_some() {
            return;
        }
        match end {
            Ok(_) if !waited => {
                // Nodes with more processor time go first, since the layout depends on the capacity of the owners.
                waited = true;
                tokio::time::sleep(capacity_delay(node)).await;
            }
            Ok(end) => propose(node, end).await,
            Err(error) => {
                warn!(target: "link", "topic=cells choice=read_again cause=\"{error}\"");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Appends a layout if the topic still ends at `end`.
async fn propose<P, C>(node: &EntryNode<P, C>, end: u64)
where
    P: Platform,
    C: Clock + 'static,
{
    let rows = match node.platform.list_vms().await {
        Ok(rows) => rows,
        Err(error) => {
            warn!(target: "link", "choice=no_layout cause=\"{error}\"");
            return tokio::time::sleep(RETRY_DELAY).await;
        }
    };
    let layout = Layout::plan(&rows, node.settings.capacity);
    info!(target: "decision", "choice=propose_layout vms={} cells={}", rows.len(), layout.cells);
    let record = [CellRecord::Layout(layout).entry()];
    // Whatever the result of this append, the next read returns the layout that holds.
    if let Err(error) = node.platform.append(Topic::Cells, &record, Guard::End(end)).await {
        info!(target: "decision", "choice=other_layout cause=\"{error}\"");
    }
}
