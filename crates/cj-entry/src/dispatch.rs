//! Executes the scheduler's actions.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Action, Event,
    sched::{AdviceAnswer, CommandAnswer, ListAnswer, Refusal, Target, VmAnswer, WorkerId},
};
use cj_types::Clock;
use log::warn;
use tokio::sync::{Semaphore, mpsc};

use crate::{
    lease::{LeaseBound, LeaseCheck, OwnerLease},
    member::CellMember,
    platform::Platform,
};

/// Maximum number of commands in flight to one worker, without listings; each takes a connection.
const MAX_COMMANDS_PER_WORKER: usize = 3;

/// Delay before the state of a wave is published again.
const WAVE_REPORT_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Calls a worker, a VM or the policy service for each action, and reports the answers as events.
pub(crate) struct Dispatcher<P, C> {
    member: Rc<CellMember<P, C>>,
    lease: Rc<OwnerLease<C>>,
    events: mpsc::UnboundedSender<Event>,
    command_slots: RefCell<HashMap<WorkerId, Rc<Semaphore>>>,
}

impl<P, C> Dispatcher<P, C>
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    pub(crate) fn new(
        member: Rc<CellMember<P, C>>,
        lease: Rc<OwnerLease<C>>,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        Dispatcher { member, lease, events, command_slots: RefCell::default() }
    }

    /// Executes an action; its answer is reported as an event.
    pub(crate) fn dispatch(&self, action: Action) {
        let node = self.member.node.clone();
        match action {
            Action::Start(target, command) => {
                let (worker, task, run) = (target.worker.clone(), command.task, command.run);
                let event = move |answer| Event::Started(worker, task, run, answer);
                self.send_command(target, event, async move |target, lease_check| {
                    node.metrics.starts.inc();
                    node.platform.start(&target, &command, &lease_check).await
                });
            }
            Action::Stop(target, task, run) => {
                let worker = target.worker.clone();
                let event = move |answer| Event::Stopped(worker, task, run, answer);
                self.send_command(target, event, async move |target, lease_check| {
                    node.platform.stop(&target, &task, run, &lease_check).await
                });
            }
            Action::Pace(target, task, run, percent) => {
                let worker = target.worker.clone();
                let event = move |answer| Event::Paced(worker, task, run, answer);
                self.send_command(target, event, async move |target, lease_check| {
                    node.platform.pace(&target, &task, run, percent, &lease_check).await
                });
            }
            Action::List { target, lease_end, acknowledged, wait } => {
                let worker = target.worker.clone();
                let event = move |(sent, answer)| Event::Listed(worker, sent, answer);
                let not_sent = (self.member.node.clock.now(), ListAnswer::Unanswered);
                let lease_check = self.lease.check(LeaseBound::Fenced);
                self.call(event, not_sent, lease_check.clone(), async move |sent| {
                    let platform = &node.platform;
                    (
                        sent,
                        platform.list(&target, lease_end, acknowledged, wait, &lease_check).await,
                    )
                });
            }
            Action::Advise(step, workers) => {
                let event = move |answer| Event::Advised(step, answer);
                let lease_check = self.lease.check(LeaseBound::Fenced);
                self.call(event, AdviceAnswer::RetryLater, lease_check, async move |_| {
                    node.platform.advise(&step, &workers).await
                });
            }
            Action::MoveVm(vm, pool) => {
                let vm_id = vm.clone();
                let event = move |answer| Event::Moved(vm_id, answer);
                let lease_check = self.lease.check(self.vm_move_bound());
                self.call(event, VmAnswer::RetryLater, lease_check.clone(), async move |_| {
                    node.platform.move_vm(&vm, &pool, &lease_check).await
                });
            }
            Action::MaintainVm(vm, wave) => {
                let vm_id = vm.clone();
                let event = move |answer| Event::Maintained(vm_id, wave, answer);
                let lease_check = self.lease.check(LeaseBound::Sole);
                self.call(event, VmAnswer::RetryLater, lease_check.clone(), async move |_| {
                    node.platform.maintain_vm(&vm, wave, &lease_check).await
                });
            }
            // These are handled by the owner's loop.
            Action::Write(..) | Action::ReportWave { .. } | Action::StepDown => {}
        }
    }

    /// Sends a command once one of the worker's command slots is free.
    fn send_command<E, F>(&self, target: Target, event: E, send: F)
    where
        E: FnOnce(CommandAnswer) -> Event + 'static,
        F: AsyncFnOnce(Target, LeaseCheck) -> CommandAnswer + 'static,
    {
        let slots = {
            let mut command_slots = self.command_slots.borrow_mut();
            let slots = command_slots.entry(target.worker.clone());
            slots.or_insert_with(|| Rc::new(Semaphore::new(MAX_COMMANDS_PER_WORKER))).clone()
        };
        let not_sent = CommandAnswer::Refused(Refusal::Unhealthy);
        let lease_check = self.lease.check(LeaseBound::Fenced);
        self.call(event, not_sent, lease_check.clone(), async move |_| {
            let Ok(_slot) = slots.acquire().await else { return not_sent };
            send(target, lease_check).await
        });
    }

    /// What limits the time in which a VM may be moved.
    fn vm_move_bound(&self) -> LeaseBound {
        let fenced = self.member.node.settings.limits.vm_fencing;
        if fenced { LeaseBound::Fenced } else { LeaseBound::Sole }
    }

    /// Makes a call if the lease check allows it, and reports its answer; `not_sent` is reported if it doesn't.
    fn call<T, E, F>(&self, event: E, not_sent: T, lease_check: LeaseCheck, send: F)
    where
        T: 'static,
        E: FnOnce(T) -> Event + 'static,
        F: AsyncFnOnce(Instant) -> T + 'static,
    {
        let events = self.events.clone();
        let node = self.member.node.clone();
        actix_rt::spawn(async move {
            let sent = node.clock.now();
            let answer = if lease_check.allows_send() { send(sent).await } else { not_sent };
            // Sending fails only after the ownership has ended.
            let _ = events.send(event(answer));
        });
    }

    /// Publishes the state of a wave, with retries while this node owns the cell.
    pub(crate) fn report_wave(&self, wave: u64, completed: bool) {
        let member = self.member.clone();
        actix_rt::spawn(async move {
            while let Err(error) = member.node.platform.report_wave(wave, completed).await {
                warn!(target: "link", "wave={wave} choice=report_again cause=\"{error}\"");
                tokio::time::sleep(WAVE_REPORT_RETRY_DELAY).await;
                if !member.is_owned() {
                    return;
                }
            }
        });
    }
}
