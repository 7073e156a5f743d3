//! What each account has running, and what it may start under its cap.
//!
//! A run counts from the decision to start it until it is surely over: also while it is being stopped, while it belongs to
//! no task any more, and while its unanswered start command may still be carried out. Runs of earlier owners count as soon
//! as they are listed. Until all workers are listed, the others may run tasks of earlier owners: as many of the account's open
//! tasks as they have room for, or anything as long as submissions that earlier owners may have acted on are unread.

use std::collections::HashMap;

use cj_types::{AccountId, Resources, rendezvous};
use log::info;
use slotmap::{SlotMap, new_key_type};

use crate::{
    account::{Account, AccountCap, Weight},
    config::FleetConfig,
    record::Submission,
    sched::{
        event::VmState,
        scheduler::Scheduler,
        work::{Job, TaskRef},
        worker::WorkerKey,
    },
};

new_key_type! {
    /// Slot of an account in the ledger.
    pub(super) struct AccountSlot;
}

/// Resources that a run uses for an account.
#[derive(Clone, Copy, Debug)]
pub(super) struct Charge {
    pub(super) account: AccountSlot,
    pub(super) demand: Resources,
}

/// What an account uses and what it may use.
#[derive(Clone, Debug)]
pub(super) struct AccountUsage {
    pub(super) id: AccountId,
    pub(super) weight: Weight,
    /// This cell's part of the cap.
    cap: AccountCap,
    /// A single task may exceed the cap in this cell.
    may_exceed: bool,
    /// Used by runs that are ordered and not surely over.
    pub(super) used: Resources,
    /// Number of these runs of which it isn't known whether they have started yet.
    unconfirmed: u32,
    /// Demand of the tasks that earlier owners may have running.
    unsettled: Resources,
}

impl AccountUsage {
    /// True if `count` tasks with this demand may be started together. While less than half of the cap is used, one task may
    /// exceed it, so that a task that is larger than the rest of the cap isn't held back for ever. It has to be the last one
    /// to start, so all others must have started by then. `unlisted` is what unlisted runs may use.
    pub(super) fn allows(&self, demand: Resources, count: u32, unlisted: Resources) -> bool {
        let used = self.used.plus(unlisted);
        let room = self.cap.room(used);
        let total = demand.times(count);
        let may_exceed = self.may_exceed && self.unconfirmed == 0 && self.cap.is_half_free(used);
        total.fits(room) || (may_exceed && total.minus(demand).fits(room))
    }
}

/// The accounts of all known jobs.
#[derive(Clone, Debug)]
pub(super) struct Ledger {
    accounts: SlotMap<AccountSlot, AccountUsage>,
    slots: HashMap<AccountId, AccountSlot>,
    /// This cell.
    pub(super) cell: u16,
    /// Number of cells that share each cap in equal parts.
    cells: u16,
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger { accounts: SlotMap::with_key(), slots: HashMap::new(), cell: 0, cells: 1 }
    }
}

impl Ledger {
    /// The slot of an account, which is added if it isn't known.
    pub(super) fn slot(&mut self, id: &AccountId, config: &FleetConfig) -> AccountSlot {
        if let Some(&slot) = self.slots.get(id) {
            return slot;
        }
        let mut usage = AccountUsage {
            id: id.clone(),
            weight: Weight::DEFAULT,
            cap: AccountCap::UNLIMITED,
            may_exceed: false,
            used: Resources::default(),
            unconfirmed: 0,
            unsettled: Resources::default(),
        };
        if let Some(account) = config.account(id) {
            self.apply(&mut usage, account);
        }
        info!(
            target: "decision",
            "account={id} choice=add config={} weight={} cap=\"{}\" cells={}",
            config.version, usage.weight, usage.cap, self.cells
        );
        let slot = self.accounts.insert(usage);
        self.slots.insert(id.clone(), slot);
        slot
    }

    /// Sets what the configuration says of an account.
    fn apply(&self, usage: &mut AccountUsage, account: &Account) {
        usage.weight = account.weight;
        usage.cap = account.cap.divided_by(u32::from(self.cells));
        // A task may exceed the cap of an account in one cell only, so that all cells together exceed it by one task at
        // most.
        let home =
            rendezvous::weight(account.id.as_str().as_bytes(), b"cap") % u64::from(self.cells);
        usage.may_exceed = home == u64::from(self.cell);
    }

    /// Applies a configuration. An account that was removed keeps its cap for the jobs that it has.
    pub(super) fn configure(&mut self, config: &FleetConfig) {
        let mut accounts = std::mem::take(&mut self.accounts);
        for usage in accounts.values_mut() {
            let Some(account) = config.account(&usage.id) else { continue };
            let before = usage.cap;
            self.apply(usage, account);
            if usage.cap != before {
                info!(
                    target: "decision",
                    "account={} choice=set_cap config={} cap=\"{}\" used=\"{}\"",
                    usage.id, config.version, usage.cap, usage.used
                );
            }
        }
        self.accounts = accounts;
    }

    /// True while no known job belongs to an account.
    pub(super) fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// What an account uses.
    pub(super) fn usage(&self, slot: AccountSlot) -> &AccountUsage {
        &self.accounts[slot]
    }

    /// Counts a run as running.
    pub(super) fn charge(&mut self, charge: Charge) {
        let usage = &mut self.accounts[charge.account];
        usage.used = usage.used.plus(charge.demand);
    }

    /// Counts a run that may start later.
    pub(super) fn add_unconfirmed(&mut self, account: AccountSlot) {
        self.accounts[account].unconfirmed += 1;
    }

    /// Records that a run has started or can't start any more.
    pub(super) fn confirm(&mut self, account: AccountSlot) {
        let unconfirmed = &mut self.accounts[account].unconfirmed;
        *unconfirmed = unconfirmed.saturating_sub(1);
    }

    /// Stops counting a run, which is surely over.
    pub(super) fn refund(&mut self, charge: Charge) {
        let usage = &mut self.accounts[charge.account];
        usage.used = usage.used.minus(charge.demand);
    }
}

/// Room of each account under its cap, while the demand of waiting tasks is summed up.
#[derive(Debug, Default)]
pub(super) struct CapRoom {
    left: HashMap<AccountSlot, Resources>,
}

impl CapRoom {
    /// Takes the demand of a waiting task out of the room of its account. Returns false if the cap holds the task back.
    pub(super) fn take(
        &mut self,
        ledger: &Ledger,
        account: Option<AccountSlot>,
        demand: Resources,
    ) -> bool {
        let Some(slot) = account else { return true };
        let usage = ledger.usage(slot);
        let left = self.left.entry(slot).or_insert_with(|| usage.cap.room(usage.used));
        let fits = demand.fits(*left);
        if fits {
            *left = left.minus(demand);
        }
        fits
    }
}

impl Scheduler {
    /// Sets which of how many cells this is; they share the caps.
    pub fn set_cell(&mut self, cell: u16, cells: u16) {
        self.ledger.cell = cell;
        self.ledger.cells = cells.max(1);
        let config = self.config.clone();
        self.ledger.configure(&config);
    }

    /// Slot of the account that a job belongs to.
    pub(super) fn account_of(&mut self, submission: &Submission) -> Option<AccountSlot> {
        let id = submission.account.as_ref()?;
        Some(self.ledger.slot(id, &self.config))
    }

    /// What a run of a task is charged to; `None` if its job belongs to no account.
    pub(super) fn charge_of(&self, at: TaskRef) -> Option<Charge> {
        let job = &self.jobs[at.job];
        Some(Charge { account: job.account?, demand: job.step_spec(at.step).demand })
    }

    /// Most that runs of earlier owners can use of which this owner doesn't know the account: on workers that it hasn't
    /// listed, as long as their leases may last, and on those that listed runs of jobs that it hasn't read.
    pub(super) fn unlisted_capacity(&self) -> Resources {
        let leases_over = self.is_lease_over(self.lease_horizon);
        if !leases_over && !self.vms_known {
            return AccountCap::UNLIMITED.limits();
        }
        let unlisted = self
            .workers
            .values()
            .filter(|worker| worker.unread_submission || !(worker.is_reconciled() || leases_over));
        let unregistered = self.vms.values().filter(|row| {
            let worker = row.worker.as_ref().filter(|_| row.state == VmState::Up && !leases_over);
            worker.is_some_and(|id| !self.worker_keys.contains_key(id))
        });
        let capacities = unlisted.map(|worker| worker.capacity);
        let capacities = capacities.chain(unregistered.map(|row| row.capacity));
        capacities.fold(Resources::default(), Resources::plus)
    }

    /// Sets that all submissions and cancellations that earlier owners may have acted on have been read.
    pub fn set_submissions_read(&mut self) {
        self.submissions_read = true;
    }

    /// Most that runs which this owner hasn't listed can use for an account.
    fn unlisted_usage(&self, account: AccountSlot) -> Resources {
        if !self.submissions_read {
            return self.unlisted;
        }
        self.unlisted.at_most(self.ledger.usage(account).unsettled)
    }

    /// What an account may start in this cell; `None` if it has no cap.
    pub(super) fn cap_room(&self, id: &AccountId) -> Option<Resources> {
        let Some(&slot) = self.ledger.slots.get(id) else {
            let cap = self.config.account(id)?.cap;
            let part = cap.divided_by(u32::from(self.ledger.cells));
            return (!cap.is_unlimited()).then(|| part.limits());
        };
        let usage = self.ledger.usage(slot);
        let used = usage.used.plus(self.unlisted_usage(slot));
        (!usage.cap.is_unlimited()).then(|| usage.cap.room(used))
    }

    /// Counts the open tasks of a job as possibly running, since an earlier owner may have started them.
    pub(super) fn add_unsettled(&mut self, job: &Job) {
        let Some(account) = job.account else { return };
        let unsettled = &mut self.ledger.accounts[account].unsettled;
        for occurrence in &job.occurrences {
            for (number, step) in occurrence.steps.iter().enumerate() {
                let open = step.open_tasks() as u32;
                let demand = job.step_spec(number as u32).demand.times(open);
                *unsettled = unsettled.plus(demand);
            }
        }
    }

    /// True if the cap of the job's account allows `count` idle tasks of a step to start together. Logs the first time that
    /// the job is held back.
    pub(super) fn cap_allows(&mut self, at: TaskRef, count: u32) -> bool {
        let Some(Charge { account, demand }) = self.charge_of(at) else { return true };
        let usage = self.ledger.usage(account);
        let unlisted = self.unlisted_usage(account);
        if usage.allows(demand, count, unlisted) {
            return true;
        }
        let job = &self.jobs[at.job];
        if !job.held {
            info!(
                target: "decision",
                "job={} account={} choice=hold reason=account_cap config={} cap=\"{}\" used=\"{}\" unlisted=\"{}\" epoch={}",
                job.key, usage.id, self.config.version, usage.cap, usage.used, unlisted, self.epoch
            );
            self.jobs[at.job].held = true;
        }
        false
    }

    /// Records that a placed run has started.
    pub(super) fn confirm_start(&mut self, at: TaskRef) {
        let account = self.jobs[at.job].account;
        let Some(placement) = self.task_mut(at).placement_mut() else { return };
        let known = std::mem::replace(&mut placement.confirmed, true);
        if let (false, Some(account)) = (known, account) {
            self.ledger.confirm(account);
        }
    }

    /// Counts a run that belongs to no task any more until it is listed as ended.
    pub(super) fn charge_orphan(&mut self, key: WorkerKey, charge: Option<Charge>) {
        let Some(charge) = charge else { return };
        self.ledger.charge(charge);
        self.workers[key].orphans.push(charge);
    }

    /// Stops counting the runs on a worker that belong to no task, because they have ended or are counted anew.
    pub(super) fn refund_orphans(&mut self, key: WorkerKey) {
        for charge in std::mem::take(&mut self.workers[key].orphans) {
            self.ledger.refund(charge);
        }
    }
}
