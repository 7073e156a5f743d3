//! Carries out the scheduler's orders.

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
    member::CellMember,
    permit::{Authority, Permit, Reach},
    platform::Platform,
};

/// Orders on their way to one worker, listings aside; each takes a connection.
const ORDERS_PER_WORKER: usize = 3;

/// Pause before the state of a wave is published again.
const REPORT_RETRY: Duration = Duration::from_millis(400);

/// Calls a worker, a VM or the policy service for each action, and reports the answers as events.
pub(crate) struct Dispatcher<P, C> {
    member: Rc<CellMember<P, C>>,
    authority: Rc<Authority<C>>,
    events: mpsc::UnboundedSender<Event>,
    lanes: RefCell<HashMap<WorkerId, Rc<Semaphore>>>,
}

impl<P, C> Dispatcher<P, C>
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    pub(crate) fn new(
        member: Rc<CellMember<P, C>>,
        authority: Rc<Authority<C>>,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        Dispatcher { member, authority, events, lanes: RefCell::default() }
    }

    /// Carries out an action; its answer comes as an event.
    pub(crate) fn dispatch(&self, action: Action) {
        let node = self.member.node.clone();
        match action {
            Action::Start(target, order) => {
                let (worker, task, run) = (target.worker.clone(), order.task, order.run);
                let event = move |answer| Event::Started(worker, task, run, answer);
                self.order(target, event, async move |target, permit| {
                    node.metrics.orders.inc();
                    node.platform.start(&target, &order, &permit).await
                });
            }
            Action::Stop(target, task, run) => {
                let worker = target.worker.clone();
                let event = move |answer| Event::Stopped(worker, task, run, answer);
                self.order(target, event, async move |target, permit| {
                    node.platform.stop(&target, &task, run, &permit).await
                });
            }
            Action::Pace(target, task, run, percent) => {
                let worker = target.worker.clone();
                let event = move |answer| Event::Paced(worker, task, run, answer);
                self.order(target, event, async move |target, permit| {
                    node.platform.pace(&target, &task, run, percent, &permit).await
                });
            }
            Action::List { target, lease_end: deadline, acknowledged: seen, wait } => {
                let worker = target.worker.clone();
                let event = move |(sent, answer)| Event::Listed(worker, sent, answer);
                let skipped = (self.member.node.clock.now(), ListAnswer::Unanswered);
                let permit = self.authority.permit(Reach::Fenced);
                self.call(event, skipped, permit.clone(), async move |sent| {
                    (sent, node.platform.list(&target, deadline, seen, wait, &permit).await)
                });
            }
            Action::Advise(step, workers) => {
                let event = move |answer| Event::Advised(step, answer);
                let permit = self.authority.permit(Reach::Fenced);
                self.call(event, AdviceAnswer::RetryLater, permit, async move |_| {
                    node.platform.advise(&step, &workers).await
                });
            }
            Action::MoveVm(vm, pool) => {
                let named = vm.clone();
                let event = move |answer| Event::Moved(named, answer);
                let permit = self.authority.permit(self.vm_reach());
                self.call(event, VmAnswer::RetryLater, permit.clone(), async move |_| {
                    node.platform.move_vm(&vm, &pool, &permit).await
                });
            }
            Action::MaintainVm(vm, wave) => {
                let named = vm.clone();
                let event = move |answer| Event::Maintained(named, wave, answer);
                let permit = self.authority.permit(Reach::Sole);
                self.call(event, VmAnswer::RetryLater, permit.clone(), async move |_| {
                    node.platform.maintain_vm(&vm, wave, &permit).await
                });
            }
            // The owner's loop handles these itself.
            Action::Write(..) | Action::ReportWave { .. } | Action::StepDown => {}
        }
    }

    /// Sends an order when one of the worker's lanes is free.
    fn order<E, F>(&self, target: Target, event: E, send: F)
    where
        E: FnOnce(CommandAnswer) -> Event + 'static,
        F: AsyncFnOnce(Target, Permit) -> CommandAnswer + 'static,
    {
        let lane = {
            let mut lanes = self.lanes.borrow_mut();
            let lane = lanes.entry(target.worker.clone());
            lane.or_insert_with(|| Rc::new(Semaphore::new(ORDERS_PER_WORKER))).clone()
        };
        let skipped = CommandAnswer::Refused(Refusal::Unhealthy);
        let permit = self.authority.permit(Reach::Fenced);
        self.call(event, skipped, permit.clone(), async move |_| {
            let Ok(_turn) = lane.acquire().await else { return skipped };
            send(target, permit).await
        });
    }

    /// What bounds the time for calls to move a VM.
    fn vm_reach(&self) -> Reach {
        let fenced = self.member.node.settings.limits.vm_fencing;
        if fenced { Reach::Fenced } else { Reach::Sole }
    }

    /// Makes a call while it is permitted, and reports its answer; `skipped` stands for a call that wasn't made.
    fn call<T, E, F>(&self, event: E, skipped: T, permit: Permit, send: F)
    where
        T: 'static,
        E: FnOnce(T) -> Event + 'static,
        F: AsyncFnOnce(Instant) -> T + 'static,
    {
        let events = self.events.clone();
        let node = self.member.node.clone();
        actix_rt::spawn(async move {
            let sent = node.clock.now();
            let answer = if permit.may_send() { send(sent).await } else { skipped };
            // Sending fails only when the ownership is over.
            let _ = events.send(event(answer));
        });
    }

    /// Publishes the state of a wave.
    pub(crate) fn report_wave(&self, wave: u64, completed: bool) {
        let member = self.member.clone();
        actix_rt::spawn(async move {
            while let Err(error) = member.node.platform.report_wave(wave, completed).await {
                warn!(target: "link", "wave={wave} choice=report_again cause=\"{error}\"");
                tokio::time::sleep(REPORT_RETRY).await;
                if !member.is_owned() {
                    return;
                }
            }
        });
    }
}
