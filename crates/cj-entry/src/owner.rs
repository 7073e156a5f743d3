//! Ownership of the fleet: one node at a time runs the scheduler.
//!
//! A node claims ownership by a conditional append; the offset of the claim is its fencing token, so no two owners share
//! one. The owner's heartbeats go into the topic of the jobs, which all nodes follow. An owner whose heartbeats aren't
//! acknowledged stops giving orders when its tenure ends.

use std::{
    cell::Cell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{Action, Event, Log, OVERFLOWS, Record, Scheduler, sched::TENURE};
use cj_types::Clock;
use log::{info, warn};
use tokio::{
    sync::mpsc,
    task::{JoinHandle, JoinSet},
};

use crate::{
    claim::{Term, claim, wait_for_vacancy},
    dispatch::Dispatcher,
    feeds::{follow_registry, follow_vms},
    node::EntryNode,
    overflow::{drop_overflow, mark_overflow},
    platform::Platform,
    writer::{WriteJob, Writer, WriterEvent},
};

/// Longest time between two runs of the scheduler.
const TICK: Duration = Duration::from_millis(25);

/// An owner that didn't run for this long gives no order before the next acknowledged heartbeat.
const PAUSE_LIMIT: Duration = Duration::from_millis(900);

/// Time between two looks whether the owner's first record was read.
const READ_CHECK: Duration = Duration::from_millis(60);

/// Time between two summaries of the load for all nodes.
const LOAD_GAP: Duration = Duration::from_millis(300);

/// Time between two clean-ups of jobs that were final for long.
const CLEANUP_GAP: Duration = Duration::from_secs(5);

/// Jobs removed in one clean-up.
const CLEANUP_JOBS: usize = 100;

/// Time for the last write of an owner that shuts down.
const RELEASE_LIMIT: Duration = Duration::from_millis(800);

/// Drift between the clocks of two nodes.
const CLOCK_MARGIN: Duration = Duration::from_millis(250);

/// Watches the owner, and owns the fleet when there is none, until the node stops.
pub async fn run<P, C>(node: Rc<EntryNode<P, C>>)
where
    P: Platform,
    C: Clock + 'static,
{
    while !node.stopping.get() {
        let Some(loaded_at) = wait_for_vacancy(&node).await else { return };
        let Some(term) = claim(&node, loaded_at).await else { continue };
        own(&node, term).await;
    }
}

/// Owns the fleet until the node stops or another owner takes over.
async fn own<P, C>(node: &Rc<EntryNode<P, C>>, term: Term)
where
    P: Platform,
    C: Clock + 'static,
{
    node.claimed.notify_waiters();
    // All records before the first one of this ownership have to be known before any decision. The scheduler begins with
    // the book, so events of these records would come twice, and with the state that the book had when each was read.
    while node.jobs.next() <= term.offset {
        if node.stopping.get() {
            break;
        }
        let _ = tokio::time::timeout(READ_CHECK, node.changed.notified()).await;
    }
    let (events, mut received) = mpsc::unbounded_channel();
    *node.events.borrow_mut() = Some(events.clone());
    let mut owner = Owner::begin(node, &term, events);
    let mut tasks = owner.spawn_helpers(node);
    let writer = owner.spawn_writer(node);
    loop {
        let event = tokio::select! {
            event = received.recv() => event,
            () = tokio::time::sleep(TICK) => None,
            () = node.stop.notified() => None,
        };
        // Submissions after the record of a later owner in any log belong to that owner.
        if node.book.borrow().last_epoch() > term.epoch {
            owner.deposed.set(true);
        }
        if node.stopping.get() || owner.is_deposed() {
            break;
        }
        owner.resume();
        if let Some(event) = event {
            owner.scheduler.handle(event, node.now());
        }
        while let Ok(event) = received.try_recv() {
            owner.scheduler.handle(event, node.now());
        }
        owner.act(node);
    }
    *node.events.borrow_mut() = None;
    owner.active.set(None);
    tasks.abort_all();
    info!(target: "decision", "choice=disown epoch={} deposed={}", term.epoch, owner.is_deposed());
    if owner.is_deposed() {
        // The store refuses its appends from now on, or can't be reached.
        writer.abort();
    } else {
        owner.writer.close();
        if tokio::time::timeout(RELEASE_LIMIT, writer).await.is_err() {
            warn!(target: "decision", "choice=release epoch={} cause=\"no answer in time\"", term.epoch);
        }
    }
    node.metrics.owner.set(0);
}

/// The parts of an ownership.
struct Owner<P, C> {
    scheduler: Scheduler,
    dispatcher: Dispatcher<P, C>,
    writer: Rc<Writer<P, C>>,
    /// Orders may be given until then; `None` once the ownership is over.
    active: Rc<Cell<Option<Instant>>>,
    deposed: Rc<Cell<bool>>,
    ran: Instant,
    cleaned: Instant,
    loaded: Instant,
}

impl<P, C> Owner<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    fn begin(
        node: &Rc<EntryNode<P, C>>,
        term: &Term,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let now = node.now();
        let config = node.config.borrow().clone().unwrap_or_default();
        let horizon = term.since + TENURE + TENURE / 20 + CLOCK_MARGIN;
        let limits = node.settings.limits.clone();
        let book = node.book.borrow();
        let mut scheduler = Scheduler::new(term.epoch, limits, config, &book, horizon, now);
        scheduler.set_tenure(term.since + TENURE);
        for order in node.waves.borrow().values() {
            let progress = book.wave(order.number);
            scheduler.handle(Event::Wave(order.clone(), progress), now);
        }
        drop(book);
        node.metrics.owner.set(1);
        node.metrics.takeovers.inc();
        let active = Rc::new(Cell::new(Some(term.since + TENURE)));
        let deposed = Rc::new(Cell::new(false));
        let writer = Writer::new(node.clone(), term.epoch);
        let dispatcher = Dispatcher::new(node.clone(), term.epoch, active.clone(), events);
        let (ran, cleaned, loaded) = (now.mono, now.mono, now.mono);
        Owner { scheduler, dispatcher, writer, active, deposed, ran, cleaned, loaded }
    }

    fn is_deposed(&self) -> bool {
        self.deposed.get()
    }

    /// After a pause another node may have taken over: no order before the next acknowledged heartbeat.
    fn resume(&mut self) {
        let now = self.writer.node.clock.now();
        let paused = now.saturating_duration_since(self.ran);
        if paused > PAUSE_LIMIT {
            warn!(target: "decision", "choice=suspend_orders paused_ms={}", paused.as_millis());
            self.writer.hold_until_confirmed(now);
        }
        self.ran = now;
        self.active.set(self.writer.tenure());
        self.scheduler.set_tenure(self.writer.tenure().unwrap_or(now));
    }

    fn act(&mut self, node: &Rc<EntryNode<P, C>>) {
        let now = node.now();
        for action in self.scheduler.poll(now) {
            match action {
                Action::Write(number, records) => {
                    self.writer.push(WriteJob { number: Some(number), records });
                }
                Action::StepDown => self.deposed.set(true),
                other => self.dispatcher.dispatch(other),
            }
        }
        node.wants_vms.set(self.scheduler.wants_vms());
        if now.mono.saturating_duration_since(self.loaded) > LOAD_GAP {
            self.loaded = now.mono;
            self.writer.set_load(self.scheduler.load());
        }
        if now.mono.saturating_duration_since(self.cleaned) > CLEANUP_GAP {
            self.cleaned = now.mono;
            self.clean_up(node);
        }
    }

    /// Removes jobs that have been final for long.
    fn clean_up(&self, node: &Rc<EntryNode<P, C>>) {
        let retention = node.settings.retention;
        let keys = node.book.borrow().expired(node.clock.wall(), retention, CLEANUP_JOBS);
        let mut drops: BTreeMap<Log, Vec<Record>> = BTreeMap::new();
        for (log, key) in keys {
            drops.entry(log).or_default().push(Record::Drop(key));
        }
        if let Some(records) = drops.remove(&Log::Jobs) {
            self.writer.push(WriteJob { number: None, records });
        }
        for (log, records) in drops {
            actix_rt::spawn(drop_overflow(node.clone(), log, records));
        }
    }

    /// Starts what runs beside the scheduler for as long as the ownership lasts.
    fn spawn_helpers(&self, node: &Rc<EntryNode<P, C>>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        tasks.spawn_local(follow_registry(node.clone()));
        tasks.spawn_local(follow_vms(node.clone()));
        for number in 0..OVERFLOWS {
            tasks.spawn_local(mark_overflow(
                node.clone(),
                Log::Overflow(number),
                self.writer.epoch,
            ));
        }
        tasks
    }

    fn spawn_writer(&self, node: &Rc<EntryNode<P, C>>) -> JoinHandle<()> {
        let (writer, deposed, node) = (self.writer.clone(), self.deposed.clone(), node.clone());
        actix_rt::spawn(async move {
            let report = |event| match event {
                WriterEvent::Written(number) => node.send(Event::Written(number)),
                WriterEvent::Deposed => deposed.set(true),
            };
            writer.run(report).await;
        })
    }
}
