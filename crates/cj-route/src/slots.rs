//! Shares of upstream slots per entry node, which every node computes independently from the same view.

use crate::options::Selection;

/// Slots of one upstream that this node may use. `rank` is the upstream's position among the `count` upstreams of the
/// pool in order of their ids, `index` that of this node among the `nodes`. The shares of all nodes add up to `slots`,
/// except for [`Selection::TwoChoices`].
pub(crate) fn slot_share(
    selection: Selection,
    slots: u64,
    (rank, count): (u64, u64),
    (index, nodes): (u64, u64),
) -> u64 {
    match selection {
        Selection::TwoChoices => slots,
        // Slot j of the pool, counted over all upstreams, belongs to node j mod nodes.
        Selection::Apportioned | Selection::Borrowing => {
            let owned_below = |end: u64| (end + nodes - 1 - index) / nodes;
            owned_below((rank + 1) * slots) - owned_below(rank * slots)
        }
        // A contiguous range of the pool's slots belongs to each node.
        Selection::Subset => {
            let total = slots * count;
            let (from, to) = (total * index / nodes, total * (index + 1) / nodes);
            let (low, high) = (rank * slots, (rank + 1) * slots);
            to.min(high).saturating_sub(from.max(low))
        }
    }
}
