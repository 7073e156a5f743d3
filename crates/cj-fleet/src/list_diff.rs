//! Comparison of the platform's VM list with the recorded state.

use std::{cmp::Ordering, collections::BTreeSet};

use cj_fold::{State, Vm};
use cj_record::VmFacts;
use cj_types::VmId;

/// Differences between the platform's list and the state. Both are sorted and merged in one pass, since looking up
/// 3,000 VMs one by one took half of the planning time.
#[derive(Debug, Default)]
pub(crate) struct ListDiff<'a> {
    /// VMs of the state that are not listed. Empty if the list is empty, since an empty list carries no information.
    missing: BTreeSet<&'a VmId>,
    /// Listed VMs that are not in the state.
    pub(crate) unregistered: Vec<&'a VmFacts>,
    /// VMs whose listed facts differ from the recorded ones.
    pub(crate) changed: Vec<(&'a VmFacts, &'a Vm)>,
    restarted: BTreeSet<&'a VmId>,
}

impl<'a> ListDiff<'a> {
    pub(crate) fn new(state: &'a State, listed: &'a [VmFacts]) -> Self {
        let mut list_diff = ListDiff::default();
        if listed.is_empty() {
            return list_diff;
        }
        let mut facts: Vec<&VmFacts> = listed.iter().collect();
        facts.sort_by_key(|f| &f.vm);
        facts.dedup_by_key(|f| &f.vm);
        let mut facts = facts.into_iter().peekable();
        for (id, vm) in &state.vms {
            while let Some(new) = facts.next_if(|f| f.vm < *id) {
                list_diff.unregistered.push(new);
            }
            match facts.peek().map(|f| f.vm.cmp(id)) {
                Some(Ordering::Equal) => list_diff.compare(id, vm, facts.next()),
                _ => _ = list_diff.missing.insert(id),
            }
        }
        list_diff.unregistered.extend(facts);
        list_diff
    }

    fn compare(&mut self, id: &'a VmId, vm: &'a Vm, facts: Option<&'a VmFacts>) {
        let Some(facts) = facts else { return };
        let same = vm.address == facts.address
            && vm.rack == facts.rack
            && vm.centre == facts.centre
            && vm.kind == facts.kind
            && vm.capacity == facts.capacity;
        if !same {
            self.changed.push((facts, vm));
        }
        if facts.boot != vm.boot {
            self.restarted.insert(id);
        }
    }

    /// Whether the list is not empty and lacks this VM.
    pub(crate) fn is_missing(&self, id: &VmId) -> bool {
        self.missing.contains(id)
    }

    /// Whether the listed boot id differs from the recorded one.
    pub(crate) fn restarted(&self, id: &VmId) -> bool {
        self.restarted.contains(id)
    }
}
