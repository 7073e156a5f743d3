//! Ownership of a cell: one node at a time runs its scheduler.
//!
//! A node claims ownership by a conditional append; the offset of the claim is its fencing token, so no two owners share
//! one. The owner's heartbeats go into the log of the cell's jobs. An owner whose heartbeats aren't acknowledged stops
//! giving orders when its tenure ends.

use std::{
    cell::Cell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Action, Event, Log, OVERFLOW_LOGS, Record, Scheduler,
    sched::{OWNERSHIP_LEASE, OwnershipLease},
};
use cj_types::Clock;
use futures::future::join_all;
use log::{info, warn};
use tokio::{
    sync::mpsc,
    task::{JoinHandle, JoinSet},
};

use crate::{
    announce::{publish, publish_beats},
    claim::{Term, claim, wait_for_vacancy, wait_for_visit},
    dispatch::Dispatcher,
    feeds::{follow_registry, follow_vms},
    layout::{Layout, wave_share},
    member::CellMember,
    node::EntryNode,
    overflow::{drop_overflow, mark_overflow},
    permit::{Authority, PAUSE_LIMIT},
    platform::Platform,
    writer::{WriteJob, Writer, WriterEvent},
};

/// Longest time between two runs of the scheduler.
const TICK: Duration = Duration::from_millis(25);

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

/// Watches the owners of all cells, and owns those that have none, until the node stops.
pub async fn run<P, C>(node: Rc<EntryNode<P, C>>)
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    while node.layout.borrow().is_none() {
        if node.stopping.get() {
            return;
        }
        let _ = tokio::time::timeout(READ_CHECK, node.laid_out.notified()).await;
    }
    let members = node.members();
    join_all(members.iter().map(watch)).await;
}

/// Watches the owner of a cell, and owns it when there is none, until the node stops.
async fn watch<P, C>(member: &Rc<CellMember<P, C>>)
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    while !member.node.stopping.get() {
        if member.is_home {
            take_over(member).await;
        } else if wait_for_visit(member).await {
            member.follow_during(take_over(member)).await;
        }
    }
}

/// Waits until a cell that is followed has no owner, and owns it.
async fn take_over<P, C>(member: &Rc<CellMember<P, C>>)
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    let Some(loaded_at) = wait_for_vacancy(member).await else { return };
    let owned = &member.node.owned;
    owned.set(owned.get() + 1);
    if let Some(term) = claim(member, loaded_at).await {
        own(member, term).await;
    }
    owned.set(owned.get() - 1);
}

/// Owns the cell until the node stops or another owner takes over.
async fn own<P, C>(member: &Rc<CellMember<P, C>>, term: Term)
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    let node = &member.node;
    let Some(layout) = node.layout.borrow().clone() else { return };
    member.claimed.notify_waiters();
    // All records before the first one of this ownership have to be known before any decision. The scheduler begins with
    // the book, so events of these records would come twice, and with the state that the book had when each was read.
    while member.jobs.next() <= term.offset {
        if node.stopping.get() {
            break;
        }
        let _ = tokio::time::timeout(READ_CHECK, member.changed.notified()).await;
    }
    let (events, mut received) = mpsc::unbounded_channel();
    *member.events.borrow_mut() = Some(events.clone());
    let mut owner = Owner::begin(member, &layout, &term, events);
    let mut tasks = owner.spawn_helpers(&term);
    let writer = owner.spawn_writer();
    loop {
        let event = tokio::select! {
            event = received.recv() => event,
            () = tokio::time::sleep(TICK) => None,
            () = node.stop.notified() => None,
        };
        // Submissions after the record of a later owner in any log belong to that owner.
        if member.book.borrow().last_epoch() > term.epoch {
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
        owner.act();
    }
    *member.events.borrow_mut() = None;
    member.waves.take();
    owner.authority.set(None);
    tasks.abort_all();
    info!(target: "decision", "cell={} choice=disown epoch={} deposed={}", member.id, term.epoch, owner.is_deposed());
    if owner.is_deposed() {
        // The store refuses its appends from now on, or can't be reached.
        writer.abort();
    } else {
        owner.writer.close();
        if !layout.is_single() {
            publish(member, term.epoch, true).await;
        }
        if tokio::time::timeout(RELEASE_LIMIT, writer).await.is_err() {
            warn!(target: "decision", "cell={} choice=release epoch={} cause=\"no answer in time\"", member.id, term.epoch);
        }
    }
    node.metrics.owner.dec();
}

/// The parts of an ownership.
struct Owner<P, C> {
    member: Rc<CellMember<P, C>>,
    layout: Rc<Layout>,
    scheduler: Scheduler,
    dispatcher: Dispatcher<P, C>,
    writer: Rc<Writer<P, C>>,
    authority: Rc<Authority<C>>,
    deposed: Rc<Cell<bool>>,
    cleaned: Instant,
    loaded: Instant,
}

impl<P, C> Owner<P, C>
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    fn begin(
        member: &Rc<CellMember<P, C>>,
        layout: &Rc<Layout>,
        term: &Term,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let node = &member.node;
        let now = node.now();
        let config = node.config.borrow().clone().unwrap_or_default();
        let horizon = term.since + OWNERSHIP_LEASE + OWNERSHIP_LEASE / 20 + CLOCK_MARGIN;
        let limits = node.settings.limits.clone();
        let book = member.book.borrow();
        let mut scheduler = Scheduler::new(term.epoch, limits, config, &book, horizon, now);
        let permission = OwnershipLease::from_heartbeat(term.sent);
        scheduler.set_ownership(permission);
        scheduler.set_policies(node.settings.policies);
        for order in node.waves.borrow().values() {
            let progress = book.wave(order.number);
            scheduler.handle(Event::Wave(order.clone(), progress), now);
        }
        drop(book);
        node.metrics.owner.inc();
        node.metrics.takeovers.inc();
        let authority = Authority::new(member.id, term.epoch, node.clock.clone(), permission);
        let deposed = Rc::new(Cell::new(false));
        let writer = Writer::new(member.clone(), term.epoch, term.sent);
        let dispatcher = Dispatcher::new(member.clone(), authority.clone(), events);
        let (cleaned, loaded) = (now.mono, now.mono);
        Owner {
            member: member.clone(),
            layout: layout.clone(),
            scheduler,
            dispatcher,
            writer,
            authority,
            deposed,
            cleaned,
            loaded,
        }
    }

    fn is_deposed(&self) -> bool {
        self.deposed.get()
    }

    /// After a pause another node may have taken over: no order before the next acknowledged heartbeat.
    fn resume(&mut self) {
        let now = self.member.node.clock.now();
        let paused = self.authority.note_run();
        if paused > PAUSE_LIMIT {
            warn!(target: "decision", "cell={} choice=suspend_orders paused_ms={}", self.member.id, paused.as_millis());
            self.writer.hold_until_confirmed(now);
        }
        let permission = self.writer.permission();
        self.authority.set(permission);
        self.scheduler.set_ownership(permission.unwrap_or(OwnershipLease::expired(now)));
    }

    fn act(&mut self) {
        let now = self.member.node.now();
        self.share_waves();
        for action in self.scheduler.poll(now) {
            match action {
                Action::Write(number, records) => {
                    self.writer.push(WriteJob { number: Some(number), records });
                }
                Action::StepDown => self.deposed.set(true),
                Action::ReportWave { wave, completed } => self.report_wave(wave, completed),
                other => self.dispatcher.dispatch(other),
            }
        }
        self.member.wants_vms.set(self.scheduler.wants_vms());
        if now.mono.saturating_duration_since(self.loaded) > LOAD_GAP {
            self.loaded = now.mono;
            self.writer.set_load(self.scheduler.load());
        }
        if now.mono.saturating_duration_since(self.cleaned) > CLEANUP_GAP {
            self.cleaned = now.mono;
            self.clean_up();
        }
    }

    /// Gives the scheduler this cell's share of the caps of all waves.
    fn share_waves(&mut self) {
        if self.layout.is_single() {
            return;
        }
        let node = &self.member.node;
        for order in node.waves.borrow().values() {
            let done = self.member.cells_done(order.number, self.layout.cells);
            let share = wave_share(order.cap, self.member.id, &done);
            self.scheduler.set_wave_cap(order.number, share);
        }
    }

    /// Publishes the state of a wave when this cell speaks for all of them, and else lets the others know of it.
    fn report_wave(&self, wave: u64, completed: bool) {
        if completed {
            self.member.waves.borrow_mut().insert(wave);
        }
        if self.layout.is_single() {
            self.dispatcher.report_wave(wave, completed);
        }
    }

    /// Removes jobs that have been final for long.
    fn clean_up(&self) {
        let (member, node) = (&self.member, &self.member.node);
        let retention = node.settings.retention;
        let keys = member.book.borrow().expired_keys(node.clock.wall(), retention, CLEANUP_JOBS);
        let mut drops: BTreeMap<Log, Vec<Record>> = BTreeMap::new();
        for (log, key) in keys {
            drops.entry(log).or_default().push(Record::Drop(key));
        }
        if let Some(records) = drops.remove(&Log::Jobs) {
            self.writer.push(WriteJob { number: None, records });
        }
        for (log, records) in drops {
            actix_rt::spawn(drop_overflow(member.clone(), log, records));
        }
    }

    /// Starts what runs beside the scheduler for as long as the ownership lasts.
    fn spawn_helpers(&self, term: &Term) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let (member, layout) = (&self.member, &self.layout);
        tasks.spawn_local(follow_registry(member.clone(), layout.clone()));
        tasks.spawn_local(follow_vms(member.clone(), layout.clone()));
        if !layout.is_single() {
            tasks.spawn_local(publish_beats(member.clone(), term.epoch));
        }
        for number in 0..OVERFLOW_LOGS {
            tasks.spawn_local(mark_overflow(
                member.clone(),
                Log::Overflow(number),
                self.writer.epoch,
            ));
        }
        tasks
    }

    fn spawn_writer(&self) -> JoinHandle<()> {
        let (writer, deposed) = (self.writer.clone(), self.deposed.clone());
        let member = self.member.clone();
        actix_rt::spawn(async move {
            let report = |event| match event {
                WriterEvent::Written(number) => member.send(Event::Written(number)),
                WriterEvent::Deposed => deposed.set(true),
            };
            writer.run(report).await;
        })
    }
}
