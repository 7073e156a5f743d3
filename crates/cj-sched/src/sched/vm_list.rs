//! The list of VMs: when it is needed, and what follows from a new one.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use cj_types::VmId;

use crate::sched::{
    event::{VmRow, VmState},
    evidence::IncarnationEvidence,
    scheduler::Scheduler,
    worker::Worker,
};

/// A worker that became known this long before the VM list was requested is on the list, if its VM runs.
const VM_LIST_LAG: Duration = Duration::from_millis(500);

impl Scheduler {
    /// True while the VM list has to be kept up to date: a wave or a move is in progress, the effect of a command that
    /// ends an incarnation has to be confirmed, or a worker isn't reconciled yet or is unresponsive with tasks on it.
    pub fn needs_vm_list(&self) -> bool {
        let unresolved = |worker: &Worker| {
            !worker.is_reconciled() || (worker.missed_listings > 0 && !worker.runs.is_empty())
        };
        let awaits_list = !self.waves.is_empty() || self.has_moves() || !self.shutdowns.is_empty();
        awaits_list || !self.vms_known || self.workers.values().any(unresolved)
    }

    /// Replaces the VM list by one that was requested at `sent`. One that was requested before the current list, or before this
    /// owner began to act, lacks what has changed since. An empty one is no evidence: a platform without a list of VMs has workers
    /// all the same.
    pub(super) fn update_vms(&mut self, sent: Instant, rows: Vec<VmRow>) {
        if rows.is_empty() || sent < self.vms_requested {
            return;
        }
        let rows = rows.into_iter().map(|row| (row.vm.clone(), row)).collect();
        let previous = std::mem::replace(&mut self.vms, rows);
        self.listed_before = self.vms_known.then(|| previous.into_keys().collect());
        self.vms_known = true;
        self.vms_requested = sent;
        self.confirm_shutdowns(sent);
        self.end_replaced_incarnations(sent);
        self.place_due = true;
    }

    /// True if neither of the last two lists has the VM. A list is read in pages, so one of them may lack a VM by mistake.
    pub(super) fn is_gone(&self, vm: &VmId) -> bool {
        let listed_before = self.listed_before.as_ref();
        !self.vms.contains_key(vm) && listed_before.is_some_and(|vms| !vms.contains(vm))
    }

    /// Ends the incarnations of unresponsive workers that no running VM names any more, whatever their leases say.
    fn end_replaced_incarnations(&mut self, sent: Instant) {
        let up = self.vms.values().filter(|row| row.state == VmState::Up);
        let hosts: HashMap<_, _> =
            up.filter_map(|row| Some((row.worker.as_ref()?, &row.vm))).collect();
        let mut gone = Vec::new();
        for (key, worker) in &mut self.workers {
            if let Some(vm) = hosts.get(&worker.id) {
                worker.vm = Some((*vm).clone());
                worker.unnamed_lists = 0;
                continue;
            }
            if worker.known_since + VM_LIST_LAG > sent {
                continue;
            }
            worker.unnamed_lists = worker.unnamed_lists.saturating_add(1);
            // A list is read in pages, so that a VM may be missing in it by mistake.
            let taken_off = worker.vm.as_ref().is_some_and(|vm| self.vms.contains_key(vm));
            let unresponsive = worker.missed_listings > 0 || !worker.is_reconciled();
            if unresponsive && (taken_off || worker.unnamed_lists > 1) {
                gone.push(key);
            }
        }
        for key in gone {
            self.end_incarnation(key, None, IncarnationEvidence::NotInVmList(sent));
            if self.workers[key].runs.is_empty() {
                self.forget_worker(key);
            }
        }
    }
}
