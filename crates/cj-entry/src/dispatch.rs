//! Executes the scheduler's actions.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Action, Event,
    sched::{AdviceAnswer, CommandAnswer, CommandWatch, ListAnswer, Target, VmAnswer, WorkerId},
};
use cj_types::Clock;
use log::warn;
use tokio::sync::mpsc;

use crate::{
    command_slots::{CommandKind, CommandSlots},
    lease::{LeaseBound, OwnerLease, SendCheck},
    member::CellMember,
    platform::Platform,
};

/// A command other than a stop isn't sent if it was decided longer ago: what it was decided on may have changed, for example
/// which other tasks are unavailable.
const MAX_COMMAND_AGE: Duration = Duration::from_secs(1);

/// Delay before the state of a wave is published again.
const WAVE_REPORT_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Calls a worker, a VM or the policy service for each action, and reports the answers as events.
pub(crate) struct Dispatcher<P, C> {
    member: Rc<CellMember<P, C>>,
    lease: Rc<OwnerLease<C>>,
    events: mpsc::UnboundedSender<Event>,
    command_slots: RefCell<HashMap<WorkerId, Rc<CommandSlots>>>,
}

/// What decides when a command for a run is sent, and whether.
struct CommandTurn {
    kind: CommandKind,
    watch: CommandWatch,
    send_check: SendCheck,
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
                let turn = self.turn(CommandKind::Other, &command.watch);
                self.send_command(target, event, turn, async move |target, send_check| {
                    node.metrics.starts.inc();
                    node.platform.start(&target, &command, &send_check).await
                });
            }
            Action::Stop(target, task, run, watch) => {
                let worker = target.worker.clone();
                let event = move |answer| Event::Stopped(worker, task, run, answer);
                let turn = self.turn(CommandKind::Stop, &watch);
                self.send_command(target, event, turn, async move |target, send_check| {
                    node.platform.stop(&target, &task, run, &send_check).await
                });
            }
            Action::Pace(target, task, run, percent, watch) => {
                let worker = target.worker.clone();
                let event = move |answer| Event::Paced(worker, task, run, answer);
                let turn = self.turn(CommandKind::Other, &watch);
                self.send_command(target, event, turn, async move |target, send_check| {
                    node.platform.pace(&target, &task, run, percent, &send_check).await
                });
            }
            Action::List { target, lease_end, acknowledged, wait } => {
                let worker = target.worker.clone();
                let event = move |(sent, answer)| Event::Listed(worker, sent, answer);
                let not_sent = (self.member.node.clock.now(), ListAnswer::Unanswered);
                let send_check = self.lease.check(LeaseBound::Fenced);
                self.call(event, not_sent, send_check.clone(), async move |sent| {
                    let platform = &node.platform;
                    (sent, platform.list(&target, lease_end, acknowledged, wait, &send_check).await)
                });
            }
            Action::Advise(step, workers) => {
                let named = workers.clone();
                let event = move |answer| Event::Advised(step, named, answer);
                let send_check = self.lease.check(LeaseBound::Fenced);
                self.call(event, AdviceAnswer::RetryLater, send_check, async move |_| {
                    node.platform.advise(&step, &workers).await
                });
            }
            Action::MoveVm(vm, pool, watch) => {
                let (vm_id, destination) = (vm.clone(), pool.clone());
                let event = move |answer| Event::Moved(vm_id, destination, answer);
                let send_check = self.check_command(LeaseBound::Sole, watch);
                self.call(event, VmAnswer::RetryLater, send_check.clone(), async move |_| {
                    node.platform.move_vm(&vm, &pool, &send_check).await
                });
            }
            Action::MaintainVm(vm, wave, watch) => {
                let vm_id = vm.clone();
                let event = move |answer| Event::Maintained(vm_id, wave, answer);
                let send_check = self.check_command(LeaseBound::Sole, watch);
                self.call(event, VmAnswer::RetryLater, send_check.clone(), async move |_| {
                    node.platform.maintain_vm(&vm, wave, &send_check).await
                });
            }
            // These are handled by the owner's loop.
            Action::Write(..) | Action::ReportWave { .. } | Action::StepDown => {}
        }
    }

    /// What is needed to send a command for a run.
    fn turn(&self, kind: CommandKind, watch: &CommandWatch) -> CommandTurn {
        // A stop is sent however long it has waited: the run goes on until then.
        let send_check = match kind {
            CommandKind::Stop => {
                let watch = watch.clone();
                self.lease.check(LeaseBound::Fenced).and(move || watch.is_wanted())
            }
            CommandKind::Other => self.check_command(LeaseBound::Fenced, watch.clone()),
        };
        CommandTurn { kind, watch: watch.clone(), send_check }
    }

    /// The check before a command is sent that was decided now.
    fn check_command(&self, bound: LeaseBound, watch: CommandWatch) -> SendCheck {
        let clock = self.member.node.clock.clone();
        let expires_at = clock.now() + MAX_COMMAND_AGE;
        self.lease.check(bound).and(move || watch.is_wanted() && clock.now() <= expires_at)
    }

    /// Sends a command once one of the worker's command slots is free.
    fn send_command<E, F>(&self, target: Target, event: E, turn: CommandTurn, send: F)
    where
        E: FnOnce(CommandAnswer) -> Event + 'static,
        F: AsyncFnOnce(Target, SendCheck) -> CommandAnswer + 'static,
    {
        let slots = {
            let mut command_slots = self.command_slots.borrow_mut();
            command_slots.entry(target.worker.clone()).or_default().clone()
        };
        let CommandTurn { kind, watch, send_check } = turn;
        let not_sent = CommandAnswer::NotSent;
        self.call(event, not_sent, send_check.clone(), async move |_| {
            let Some(_slot) = slots.acquire(kind, watch).await else { return not_sent };
            if send_check.allows_send() { send(target, send_check).await } else { not_sent }
        });
    }

    /// Makes a call if the lease check allows it, and reports its answer; `not_sent` is reported if it doesn't.
    fn call<T, E, F>(&self, event: E, not_sent: T, send_check: SendCheck, send: F)
    where
        T: 'static,
        E: FnOnce(T) -> Event + 'static,
        F: AsyncFnOnce(Instant) -> T + 'static,
    {
        let events = self.events.clone();
        let node = self.member.node.clone();
        actix_rt::spawn(async move {
            let sent = node.clock.now();
            let answer = if send_check.allows_send() { send(sent).await } else { not_sent };
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
