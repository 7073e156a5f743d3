//! Moves of VMs to other pools: their commands, the answers, and what the list of VMs tells of them.

use std::time::{Duration, Instant};

use cj_types::{ServiceId, VmId};
use log::info;

use crate::sched::{
    event::{Action, VmAnswer, VmState},
    evidence::Incarnation,
    scheduler::Scheduler,
    watch::CommandGuard,
};

/// Time after which an unanswered command to move a VM is repeated.
const COMMAND_RETRY_INTERVAL: Duration = Duration::from_millis(900);

/// A VM counts as arrived this long after its move time at the latest.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(1_500);

/// A VM that moved to the spare pool counts as parked this long after its move time: answers are under way for a while.
const PARK_MARGIN: Duration = Duration::from_millis(100);

/// A VM move that was requested.
#[derive(Clone, Debug)]
pub(super) struct VmMove {
    from: ServiceId,
    pub(super) to: ServiceId,
    sent: Instant,
    /// Keeps the newest command wanted.
    guard: CommandGuard,
    /// Incarnation that the move ends.
    incarnation: Option<Incarnation>,
    /// When it took effect.
    done_at: Option<Instant>,
}

impl Scheduler {
    /// Removes moves that took effect long enough ago, and repeats the commands for unanswered ones.
    pub(super) fn update_moves(&mut self) {
        let now = self.now.mono;
        let longest = self.limits.move_time + ARRIVAL_MARGIN;
        let (vms, requested) = (&self.vms, self.vms_requested);
        self.pools.moves.retain(|vm, moving| {
            let up = vms.get(vm).is_none_or(|row| {
                row.state == VmState::Up && row.pool == moving.to && row.worker.is_some()
            });
            let waited = moving.done_at.map(|done| now.saturating_duration_since(done));
            // A list of VMs from before the answer may show the VM where it was.
            let listed = moving.done_at.is_some_and(|done| requested > done);
            let arrived = |waited| waited > longest || (up && waited > self.limits.move_time);
            !(listed && waited.is_some_and(arrived))
        });
        let is_due = |moving: &VmMove| {
            moving.done_at.is_none() && now > moving.sent + COMMAND_RETRY_INTERVAL
        };
        let moves = self.pools.moves.iter().filter(|(_, moving)| is_due(moving));
        let due: Vec<_> = moves.map(|(vm, moving)| (vm.clone(), moving.clone())).collect();
        for (vm, moving) in due {
            self.repeat_move(vm, moving);
        }
    }

    /// Repeats the command for an unanswered move if nothing runs on the VM. Its worker may have started anew and got tasks since
    /// the move was decided; the move is dropped then.
    fn repeat_move(&mut self, vm: VmId, moving: VmMove) {
        let Some(row) = self.vms.get(&vm) else { return };
        let worker = row.worker.as_ref().filter(|_| row.pool == moving.from);
        let is_empty = match worker.map(|id| self.worker_keys.get(id).copied()) {
            None => true,
            Some(None) => self.is_lease_over(self.lease_horizon),
            Some(Some(key)) if !self.workers[key].runs.is_empty() => {
                info!(target: "decision", "vm={vm} worker={} choice=stay cause=\"tasks run there\"", self.workers[key].id);
                return self.abort_move(&vm);
            }
            Some(Some(key)) => {
                self.workers[key].vm_draining = true;
                self.is_confirmed_empty(key, moving.sent) && self.workers[key].has_durable_ends()
            }
        };
        if !is_empty {
            return;
        }
        let repeated = VmMove { sent: self.now.mono, guard: CommandGuard::default(), ..moving };
        let watch = repeated.guard.watch();
        self.actions.push(Action::MoveVm(vm.clone(), repeated.to.clone(), watch));
        self.pools.moves.insert(vm, repeated);
    }

    /// True if a VM that this owner moved to the spare pool has been off for its move time. The list of VMs may show it as moving for
    /// seconds; the platform refuses to move it again if it still is.
    pub(super) fn counts_as_parked(&self, moving: &VmMove) -> bool {
        let done_at = moving.done_at.filter(|_| self.policies.handover);
        done_at.is_some_and(|done| self.now.mono > done + self.limits.move_time + PARK_MARGIN)
    }

    /// Requests the move of a VM to another pool; its worker gets no new tasks.
    pub(super) fn move_vm(&mut self, vm: VmId, to: &ServiceId) {
        let now = self.now.mono;
        let Some(row) = self.vms.get(&vm) else { return };
        let from = row.pool.clone();
        let incarnation = self.incarnation_on(&vm);
        if let Some(&key) = row.worker.as_ref().and_then(|id| self.worker_keys.get(id)) {
            self.workers[key].vm_draining = true;
        }
        info!(target: "decision", "vm={vm} choice=move from={from} to={to} epoch={}", self.epoch);
        let guard = CommandGuard::default();
        let watch = guard.watch();
        self.pools.moves.insert(
            vm.clone(),
            VmMove { from, to: to.clone(), sent: now, guard, incarnation, done_at: None },
        );
        self.actions.push(Action::MoveVm(vm, to.clone(), watch));
    }

    /// Handles the answer to a command that moves a VM to `pool`. Only the first definite answer to a move that is still wanted counts:
    /// a repeated command is refused while the VM moves, and an answer may come after the VM got another destination.
    pub(super) fn moved(&mut self, vm: &VmId, pool: &ServiceId, answer: VmAnswer) {
        let now = self.now.mono;
        info!(target: "decision", "vm={vm} choice=move to={pool} answer={answer:?}");
        if answer == VmAnswer::Fenced {
            return self.step_down_now();
        }
        let open = |moving: &&mut VmMove| moving.to == *pool && moving.done_at.is_none();
        let Some(moving) = self.pools.moves.get_mut(vm).filter(open) else { return };
        match answer {
            VmAnswer::Done => {
                moving.done_at = Some(now);
                let incarnation = moving.incarnation.clone();
                if let Some(row) = self.vms.get_mut(vm) {
                    row.pool = moving.to.clone();
                    row.state = VmState::Moving;
                    row.worker = None;
                }
                self.expect_shutdown(vm, incarnation);
            }
            VmAnswer::NotUp | VmAnswer::NotInWave | VmAnswer::Invalid => self.abort_move(vm),
            VmAnswer::Fenced | VmAnswer::RetryLater | VmAnswer::Unanswered => {}
        }
    }

    /// Drops a move that the platform refused; the worker may get tasks again.
    fn abort_move(&mut self, vm: &VmId) {
        let Some(moving) = self.pools.moves.remove(vm) else { return };
        let worker = self.vms.get(vm).filter(|row| row.pool == moving.from);
        let worker = worker.and_then(|row| row.worker.as_ref());
        if let Some(&key) = worker.and_then(|id| self.worker_keys.get(id)) {
            self.workers[key].vm_draining = false;
        }
    }

    /// Drops a move that had no effect.
    pub(super) fn drop_move(&mut self, vm: &VmId) {
        self.pools.moves.remove(vm);
    }

    /// The VMs that are moving, each with its new pool and the time since which it is off: that of the command until that is answered.
    pub(super) fn moving_vms(&self) -> impl Iterator<Item = (&VmId, &ServiceId, Instant)> {
        let off_since = |moving: &VmMove| moving.done_at.unwrap_or(moving.sent);
        self.pools.moves.iter().map(move |(vm, moving)| (vm, &moving.to, off_since(moving)))
    }

    /// True while any VM is moving.
    pub(super) fn has_moves(&self) -> bool {
        !self.pools.moves.is_empty()
    }

    /// The VMs that this owner has sent to a pool, and when it sent them. A VM stays among them until some time after its
    /// arrival.
    pub(super) fn sent_to<'a>(
        &'a self,
        pool: &'a ServiceId,
    ) -> impl Iterator<Item = (&'a VmId, Instant)> {
        let moves = self.pools.moves.iter().filter(move |(_, moving)| moving.to == *pool);
        moves.map(|(vm, moving)| (vm, moving.sent))
    }

    /// True while the VM is moving to another pool.
    pub(super) fn is_moving(&self, vm: &VmId) -> bool {
        self.pools.moves.contains_key(vm)
    }
}
