//! State machine of VMs: registration, drains, reboots, moves and health, within the availability budgets of the pools.

use compact_str::{CompactString, format_compact};

use cj_record::{Purpose, VmFacts};
use cj_settings::PoolSettings;
use cj_types::{BootId, Generation, OpId, PoolId, UnixMillis, VmId};

use super::{EntryResult, EntrySource, reject};
use crate::{
    rules::{FAILURE_WINDOW, MAX_VM_FAILURES, OUT_OF_ROTATION_DIVISOR, REPEATED_FAILURES},
    state::{State, Vm, VmPhase},
};

impl State {
    /// Adds a VM, or updates the facts of a known one except its boot id and pool. The platform's list lags, and an
    /// outdated boot id would later be taken as evidence of a reboot. The pool changes only by a move.
    pub(super) fn register(&mut self, source: EntrySource<'_>, facts: VmFacts) -> EntryResult {
        if let Some(vm) = self.vms.get_mut(&facts.vm) {
            vm.address = facts.address;
            vm.rack = facts.rack;
            vm.centre = facts.centre;
            vm.kind = facts.kind;
            vm.capacity = facts.capacity;
            return source.accepted();
        }
        let vm = Vm {
            address: facts.address,
            pool: facts.pool,
            home: None,
            rack: facts.rack,
            centre: facts.centre,
            kind: facts.kind,
            capacity: facts.capacity,
            boot: facts.boot,
            generation: Generation(1),
            phase: VmPhase::Active,
            maintained: UnixMillis(0),
            moved: UnixMillis(0),
            previous: None,
            billed: UnixMillis(0),
            failures: Vec::new(),
        };
        self.index.add_vm(&facts.vm, &vm);
        self.record_decision(source, &facts.vm, format_compact!("registered in {}", vm.pool));
        self.vms.insert(facts.vm, vm);
        source.accepted()
    }

    pub(super) fn drain(
        &mut self,
        source: EntrySource<'_>,
        id: &VmId,
        generation: Generation,
        purpose: Purpose,
    ) -> EntryResult {
        let vm = self.vm_at_generation(id, generation)?;
        self.pool(&vm.pool)?;
        match (&purpose, &vm.phase) {
            (Purpose::Repair, VmPhase::Failed { .. }) => {}
            (Purpose::Repair, _) => return reject("only a failed VM is repaired"),
            (_, VmPhase::Active) => {
                self.check_purpose(vm, &purpose)?;
                self.check_budget(&vm.pool, 1)?;
                self.check_failure_domain(id, vm)?;
            }
            _ => return reject("the VM is not active"),
        }
        self.check_windows(source, &vm.pool, |wave| wave.drain_limit + wave.reboot_limit)?;
        let text = match &purpose {
            Purpose::Wave(wave) => format_compact!("drains for wave {wave}"),
            Purpose::Move(pool) => format_compact!("drains to move to {pool}"),
            Purpose::Repair => "drains for repair".into(),
        };
        let (op, since) = (OpId(source.offset.0), self.now);
        let planned = purpose != Purpose::Repair;
        self.set_vm(id, |vm| vm.phase = VmPhase::Draining { op, purpose, since });
        debug_assert!(!planned || self.budget_holds(id), "a planned drain broke the budget");
        self.record_decision(source, id, text);
        source.accepted()
    }

    fn check_purpose(&self, vm: &Vm, purpose: &Purpose) -> Result<(), CompactString> {
        match purpose {
            Purpose::Wave(id) => {
                let Some(wave) = self.fleet.waves.get(id) else {
                    return reject(format_compact!("wave `{id}` does not exist"));
                };
                if !wave.pools.contains(&vm.pool) {
                    return reject(format_compact!("wave `{id}` does not cover the pool"));
                }
                if self.now < wave.start {
                    return reject(format_compact!("wave `{id}` has not started"));
                }
                if vm.maintained >= wave.start {
                    return reject(format_compact!("wave `{id}` has done the VM already"));
                }
                Ok(())
            }
            Purpose::Move(to) => self.check_move(vm, to),
            Purpose::Repair => Ok(()),
        }
    }

    pub(super) fn drained(&mut self, source: EntrySource<'_>, id: &VmId, op: OpId) -> EntryResult {
        let VmPhase::Draining { purpose, since, .. } = &self.vm_in_operation(source, id, op)?.phase
        else {
            return reject("the VM is not draining");
        };
        let (purpose, since) = (purpose.clone(), *since);
        self.check_idle(id)?;
        self.set_vm(id, |vm| vm.phase = VmPhase::Drained { op, purpose, since });
        self.record_decision(source, id, "drained".into());
        source.accepted()
    }

    pub(super) fn reboot(&mut self, source: EntrySource<'_>, id: &VmId, op: OpId) -> EntryResult {
        let vm = self.vm_in_operation(source, id, op)?;
        let VmPhase::Drained { purpose, .. } = &vm.phase else {
            return reject("the VM is not drained");
        };
        match purpose {
            Purpose::Move(_) => return reject("the VM drains for a move"),
            Purpose::Repair => {}
            Purpose::Wave(_) => self.check_budget(&vm.pool, 0)?,
        }
        self.check_windows(source, &vm.pool, |wave| wave.reboot_limit)?;
        let (purpose, since) = (purpose.clone(), self.now);
        self.set_vm(id, |vm| vm.phase = VmPhase::Rebooting { op, purpose, since });
        self.record_decision(source, id, "may reboot".into());
        source.accepted()
    }

    pub(super) fn rebooted(
        &mut self,
        source: EntrySource<'_>,
        id: &VmId,
        op: OpId,
        boot: BootId,
    ) -> EntryResult {
        let vm = self.vm_in_operation(source, id, op)?;
        if !matches!(vm.phase, VmPhase::Rebooting { .. }) {
            return reject("the VM is not rebooting");
        }
        if vm.boot == boot {
            return reject("the boot id has not changed");
        }
        let now = self.now;
        self.set_vm(id, |vm| {
            vm.boot = boot;
            vm.maintained = now;
            vm.phase = VmPhase::Active;
        });
        self.record_decision(source, id, "rebooted, active".into());
        source.accepted()
    }

    pub(super) fn move_vm(
        &mut self,
        source: EntrySource<'_>,
        id: &VmId,
        generation: Generation,
        from: &PoolId,
        to: PoolId,
    ) -> EntryResult {
        let vm = self.vm_at_generation(id, generation)?;
        if vm.pool != *from {
            return reject(format_compact!("the VM is in pool `{}`", vm.pool));
        }
        let source_pool = self.pool(from)?;
        match &vm.phase {
            VmPhase::Drained { purpose: Purpose::Move(target), .. } if *target == to => {
                self.check_budget(from, 0)?;
            }
            VmPhase::Active if source_pool.spare => self.check_budget(from, 1)?,
            _ => return reject("the VM is neither drained for this move nor idle in a spare pool"),
        }
        self.check_move(vm, &to)?;
        self.check_idle(id)?;
        self.account_move(id, from, &to);
        let now = self.now;
        let is_loan = is_spare(self, from) && !is_spare(self, &to);
        self.set_vm(id, |vm| {
            if vm.home.as_ref() == Some(&to) {
                vm.home = None;
            } else if is_loan && vm.home.is_none() {
                vm.home = Some(from.clone());
            }
            vm.previous = Some(from.clone());
            vm.pool = to.clone();
            vm.moved = now;
            vm.billed = now;
            vm.phase = VmPhase::Active;
        });
        debug_assert!(self.check_budget(from, 0).is_ok(), "a move broke the budget");
        debug_assert!(self.index.pools[&to].members.contains(id), "a VM is in exactly one pool");
        self.record_decision(source, id, format_compact!("moved from {from} to {to}"));
        source.accepted()
    }

    /// Checks that the target pool exists and may borrow the VM, and that the move does not revert the last one within
    /// the hysteresis time.
    fn check_move(&self, vm: &Vm, to: &PoolId) -> Result<(), CompactString> {
        let target_pool = self.pool(to)?;
        let source_pool = self.pool(&vm.pool)?;
        if *to == vm.pool {
            return reject("the VM is in this pool already");
        }
        if source_pool.spare && !target_pool.spare && target_pool.borrows.as_ref() != Some(&vm.pool)
        {
            return reject(format_compact!("pool `{to}` does not borrow from `{}`", vm.pool));
        }
        let hysteresis = source_pool.hysteresis.max(target_pool.hysteresis);
        if vm.previous.as_ref() == Some(to) && self.now < vm.moved + hysteresis {
            return reject("the last move would be undone within its hysteresis");
        }
        Ok(())
    }

    pub(super) fn undrain(&mut self, source: EntrySource<'_>, id: &VmId, op: OpId) -> EntryResult {
        let phase = match &self.vm_in_operation(source, id, op)?.phase {
            // The failed VM has not been reported as healthy yet.
            VmPhase::Draining { purpose: Purpose::Repair, since, .. }
            | VmPhase::Drained { purpose: Purpose::Repair, since, .. } => {
                VmPhase::Failed { since: *since }
            }
            VmPhase::Draining { .. } | VmPhase::Drained { .. } => VmPhase::Active,
            _ => return reject("the VM is neither draining nor drained"),
        };
        self.set_vm(id, |vm| vm.phase = phase);
        self.record_decision(source, id, "drain given up".into());
        source.accepted()
    }

    pub(super) fn health(
        &mut self,
        source: EntrySource<'_>,
        id: &VmId,
        generation: Generation,
        healthy: bool,
        boot: Option<BootId>,
    ) -> EntryResult {
        let vm = self.vm_at_generation(id, generation)?;
        let restarted = boot.is_some_and(|boot| boot != vm.boot);
        match (&vm.phase, healthy) {
            (VmPhase::OutOfRotation { .. }, _) => reject("the VM is out of rotation"),
            (VmPhase::Failed { .. }, false) => reject("the VM is known to have failed"),
            (VmPhase::Rebooting { since, .. }, false)
                if self.now < *since + self.reboot_limit(&vm.pool) =>
            {
                reject("the VM is rebooting as planned")
            }
            (_, false) => {
                let since = self.now;
                self.set_vm(id, |vm| {
                    vm.phase = VmPhase::Failed { since };
                    record_failure(vm, since);
                });
                self.record_decision(source, id, "failed".into());
                source.accepted()
            }
            (VmPhase::Failed { .. }, true) => {
                let now = self.now;
                self.set_vm(id, |vm| {
                    vm.phase = VmPhase::Active;
                    if restarted {
                        vm.maintained = now;
                    }
                    vm.boot = boot.unwrap_or(vm.boot);
                });
                self.record_decision(source, id, "healthy again".into());
                source.accepted()
            }
            (VmPhase::Active, true) if restarted => {
                let now = self.now;
                self.set_vm(id, |vm| {
                    vm.boot = boot.unwrap_or(vm.boot);
                    vm.maintained = now;
                    record_failure(vm, now);
                });
                self.record_decision(source, id, "restarted without a plan".into());
                source.accepted()
            }
            (_, true) => reject("the VM has not failed"),
        }
    }

    pub(super) fn take_out(
        &mut self,
        source: EntrySource<'_>,
        id: &VmId,
        generation: Generation,
    ) -> EntryResult {
        let vm = self.vm_at_generation(id, generation)?;
        match &vm.phase {
            VmPhase::Failed { .. } => {}
            VmPhase::Active => {
                self.check_budget(&vm.pool, 1)?;
                self.check_idle(id)?;
            }
            _ => return reject("the VM is neither failed nor active"),
        }
        let recent = vm.failures.iter().filter(|at| **at + FAILURE_WINDOW > self.now).count();
        if recent < REPEATED_FAILURES {
            return reject(format_compact!("the VM failed {recent} times, not repeatedly"));
        }
        let (mut size, mut out_of_rotation) = (0, 0);
        for (_, member) in self.members(&vm.pool) {
            size += 1;
            out_of_rotation += usize::from(matches!(member.phase, VmPhase::OutOfRotation { .. }));
        }
        if out_of_rotation >= (size / OUT_OF_ROTATION_DIVISOR).max(1) {
            return reject(format_compact!(
                "{out_of_rotation} of {size} VMs are out of rotation already"
            ));
        }
        let since = self.now;
        self.set_vm(id, |vm| vm.phase = VmPhase::OutOfRotation { since });
        self.record_decision(source, id, "taken out of rotation".into());
        source.accepted()
    }

    pub(super) fn put_back(
        &mut self,
        source: EntrySource<'_>,
        id: &VmId,
        generation: Generation,
    ) -> EntryResult {
        let vm = self.vm_at_generation(id, generation)?;
        if !matches!(vm.phase, VmPhase::OutOfRotation { .. }) {
            return reject("the VM is not out of rotation");
        }
        self.set_vm(id, |vm| {
            vm.phase = VmPhase::Active;
            vm.failures.clear();
        });
        self.record_decision(source, id, "put back into rotation".into());
        source.accepted()
    }

    /// Removes a failed VM, or one out of rotation, from the state.
    pub(super) fn remove(
        &mut self,
        source: EntrySource<'_>,
        id: &VmId,
        generation: Generation,
    ) -> EntryResult {
        let vm = self.vm_at_generation(id, generation)?;
        if !matches!(vm.phase, VmPhase::Failed { .. } | VmPhase::OutOfRotation { .. }) {
            return reject("the VM is in service");
        }
        self.check_idle(id)?;
        if vm.home.is_some() {
            self.bill(id);
        }
        if let Some(vm) = self.vms.remove(id) {
            self.index.remove_vm(id, &vm);
        }
        self.record_decision(source, id, "removed".into());
        source.accepted()
    }

    /// Checks that the pool keeps its availability budget if `removed` more VMs leave service.
    fn check_budget(&self, id: &PoolId, removed: u32) -> Result<(), CompactString> {
        let min = self.pool(id)?.min_available;
        let active = self.active_count(id);
        if active < min.saturating_add(removed) {
            return reject(format_compact!("pool `{id}` has {active} active, needs {min}"));
        }
        Ok(())
    }

    fn budget_holds(&self, id: &VmId) -> bool {
        self.vms.get(id).is_some_and(|vm| self.check_budget(&vm.pool, 0).is_ok())
    }

    fn check_idle(&self, id: &VmId) -> Result<(), CompactString> {
        match self.claim_count(id) {
            0 => Ok(()),
            claims => reject(format_compact!("{claims} jobs are claimed on the VM")),
        }
    }

    fn pool(&self, id: &PoolId) -> Result<&PoolSettings, CompactString> {
        let pool = self.fleet.pools.get(id);
        pool.ok_or_else(|| format_compact!("pool `{id}` has no settings in force"))
    }

    fn vm(&self, id: &VmId) -> Result<&Vm, CompactString> {
        self.vms.get(id).ok_or_else(|| "the VM does not exist".into())
    }

    fn vm_at_generation(&self, id: &VmId, generation: Generation) -> Result<&Vm, CompactString> {
        let vm = self.vm(id)?;
        if vm.generation != generation {
            return reject(format_compact!("the VM is at generation {}", vm.generation));
        }
        Ok(vm)
    }

    fn vm_in_operation(
        &self,
        source: EntrySource<'_>,
        id: &VmId,
        op: OpId,
    ) -> Result<&Vm, CompactString> {
        let vm = self.vm(id)?;
        if vm.phase.op() != Some(op) {
            return reject("the VM is not in this operation");
        }
        // The id of an operation is the offset of its batch. Without this check one batch could start two operations of
        // a VM with the same id.
        if op.0 == source.offset.0 {
            return reject("the drain has not been read back yet");
        }
        Ok(vm)
    }

    /// Changes a VM, increases its generation and updates the indexes.
    fn set_vm<F>(&mut self, id: &VmId, change: F)
    where
        F: FnOnce(&mut Vm),
    {
        let Some(vm) = self.vms.get_mut(id) else {
            return;
        };
        self.index.remove_vm(id, vm);
        change(vm);
        vm.generation = vm.generation.next();
        self.index.add_vm(id, vm);
    }
}

fn is_spare(state: &State, pool: &PoolId) -> bool {
    state.fleet.pools.get(pool).is_some_and(|p| p.spare)
}

fn record_failure(vm: &mut Vm, at: UnixMillis) {
    vm.failures.retain(|failed| *failed + FAILURE_WINDOW > at);
    if vm.failures.len() == MAX_VM_FAILURES {
        vm.failures.remove(0);
    }
    vm.failures.push(at);
}
