//! Ownership of a cell: one node at a time runs its scheduler.
//!
//! A node claims ownership with a conditional append. The offset of the claim determines its fencing token, so no two
//! owners share one. The owner's heartbeats are written to the job log of the cell. An owner whose heartbeats aren't
//! acknowledged stops sending commands when its lease expires.

use std::{
    cell::Cell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Action, Event, Log, OVERFLOW_LOGS, Record, Scheduler, codec,
    run_times::PredictionCounts,
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
    claim::{Ownership, claim_ownership, wait_for_candidacy, wait_for_vacancy},
    dispatch::Dispatcher,
    feeds::{follow_registry, follow_vms},
    heartbeat::{publish_heartbeat, publish_heartbeats},
    layout::{Layout, wave_share},
    lease::{MAX_LOOP_PAUSE, OwnerLease},
    member::CellMember,
    node::EntryNode,
    overflow::{drop_overflow_records, write_owner_marker},
    placement_query::MAX_WAITING_QUERIES,
    platform::Platform,
    writer::{WriteRequest, Writer, WriterEvent},
};

/// Longest time between two runs of the scheduler.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// How often to check whether the layout is known, and whether the owner's first record has been read back.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Time between two load summaries, which are published to all nodes with the heartbeats.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest time between two loads for the admission of jobs. The older a load, the more jobs nodes accept beyond what it shows.
const ADMISSION_LOAD_INTERVAL: Duration = Duration::from_millis(150);

/// Shortest time between two of these loads, in multiples of the time that making one takes, so that they take at most a fiftieth
/// of a processor.
const LOAD_INTERVAL_FACTOR: u32 = 50;

/// Most bytes in a second of the loads that the owners of all cells publish for the admission of jobs: each node reads them
/// all.
const LOAD_BYTES_PER_SECOND: f64 = 6_000.0;

/// Time between two clean-ups of finished jobs.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of jobs removed in one clean-up.
const CLEANUP_BATCH: usize = 100;

/// Time limit for the last write of an owner that shuts down.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);

/// Assumed drift between the clocks of two nodes.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(250);

/// Watches the owners of all cells and takes over cells without one, until the node stops.
pub async fn run<P, C>(node: Rc<EntryNode<P, C>>)
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    while node.layout.borrow().is_none() {
        if node.stopping.get() {
            return;
        }
        let _ = tokio::time::timeout(READ_POLL_INTERVAL, node.layout_known.notified()).await;
    }
    let members = node.members();
    join_all(members.iter().map(watch_cell)).await;
}

/// Watches the owner of a cell and takes over when there is none, until the node stops.
async fn watch_cell<P, C>(member: &Rc<CellMember<P, C>>)
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    while !member.node.stopping.get() {
        if member.is_home {
            take_over(member).await;
        } else if wait_for_candidacy(member).await {
            member.follow_during(take_over(member)).await;
        }
    }
}

/// Waits until a followed cell has no owner, then claims and runs it.
async fn take_over<P, C>(member: &Rc<CellMember<P, C>>)
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    let Some(loaded_at) = wait_for_vacancy(member).await else { return };
    let owned_cells = &member.node.owned_cells;
    owned_cells.set(owned_cells.get() + 1);
    if let Some(ownership) = claim_ownership(member, loaded_at).await {
        run_as_owner(member, ownership).await;
    }
    owned_cells.set(owned_cells.get() - 1);
}

/// Runs the scheduler of the cell until the node stops or another owner takes over.
async fn run_as_owner<P, C>(member: &Rc<CellMember<P, C>>, ownership: Ownership)
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    let node = &member.node;
    let Some(layout) = node.layout.borrow().clone() else { return };
    member.claimed.notify_waiters();
    // No decision may be made before all records up to the first one of this ownership are read. The scheduler starts
    // from the job index; events sent during this read would repeat what the index already holds, and with an outdated
    // state.
    while member.job_log.next() <= ownership.offset {
        if node.stopping.get() {
            break;
        }
        let _ = tokio::time::timeout(READ_POLL_INTERVAL, member.changed.notified()).await;
    }
    let caught_up = member.job_log.next() > ownership.offset;
    let acts_from = member.earlier_owner_until().unwrap_or(ownership.acknowledged_at);
    let (events, mut received) = mpsc::unbounded_channel();
    *member.events.borrow_mut() = Some(events.clone());
    let (queries, mut received_queries) = mpsc::channel(MAX_WAITING_QUERIES);
    *member.queries.borrow_mut() = Some(queries);
    let mut owner = Owner::new(member, &layout, &ownership, events);
    owner.scheduler.begin_at(acts_from);
    let mut tasks = owner.spawn_background_tasks(&ownership);
    let writer = owner.spawn_writer();
    loop {
        let event = tokio::select! {
            event = received.recv() => event,
            Some(query) = received_queries.recv() => {
                query.answer(&owner.scheduler);
                None
            }
            () = tokio::time::sleep(MAX_POLL_INTERVAL) => None,
            () = node.stop.notified() => None,
        };
        // Submissions that follow the record of a later owner, in any log, belong to that owner.
        if member.job_index.borrow().last_epoch() > ownership.epoch {
            owner.deposed.set(true);
        }
        if node.stopping.get() || owner.is_deposed() {
            break;
        }
        owner.refresh_lease();
        if let Some(event) = event {
            owner.scheduler.handle(event, node.now());
        }
        while let Ok(event) = received.try_recv() {
            owner.scheduler.handle(event, node.now());
        }
        if node.clock.now() >= acts_from {
            owner.run_scheduler();
        }
    }
    *member.events.borrow_mut() = None;
    *member.queries.borrow_mut() = None;
    member.completed_waves.take();
    member.load_report.take();
    owner.lease.set(None);
    tasks.abort_all();
    info!(target: "decision", "cell={} choice=disown epoch={} deposed={}", member.id, ownership.epoch, owner.is_deposed());
    if owner.is_deposed() || !caught_up || node.clock.now() < acts_from {
        // The store refuses further appends of this owner, or can't be reached; or an earlier owner may still act, so that the next
        // one mustn't take over at once.
        writer.abort();
    } else {
        owner.writer.release();
        if !layout.is_single() {
            publish_heartbeat(member, ownership.epoch, true).await;
        }
        if tokio::time::timeout(RELEASE_TIMEOUT, writer).await.is_err() {
            warn!(target: "decision", "cell={} choice=release epoch={} cause=\"no answer in time\"", member.id, ownership.epoch);
        }
    }
    node.metrics.owned_cells.dec();
}

/// The state of one ownership.
struct Owner<P, C> {
    member: Rc<CellMember<P, C>>,
    layout: Rc<Layout>,
    scheduler: Scheduler,
    dispatcher: Dispatcher<P, C>,
    writer: Rc<Writer<P, C>>,
    lease: Rc<OwnerLease<C>>,
    deposed: Rc<Cell<bool>>,
    /// Deferrals of the scheduler that the metric counts already.
    counted_deferrals: u64,
    last_cleanup: Instant,
    last_load_report: Instant,
    /// Predictions that are in the metrics.
    counted_predictions: PredictionCounts,
    /// Earliest time of the next load for the admission of jobs.
    load_report_due: Instant,
}

impl<P, C> Owner<P, C>
where
    P: Platform,
    C: Clock + Clone + 'static,
{
    fn new(
        member: &Rc<CellMember<P, C>>,
        layout: &Rc<Layout>,
        ownership: &Ownership,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let node = &member.node;
        let now = node.now();
        let config = node.config.borrow().clone().unwrap_or_default();
        let ownership_horizon =
            ownership.acknowledged_at + OWNERSHIP_LEASE + OWNERSHIP_LEASE / 20 + CLOCK_DRIFT_MARGIN;
        let limits = node.settings.limits.clone();
        let job_index = member.job_index.borrow();
        let mut scheduler =
            Scheduler::new(ownership.epoch, limits, config, &job_index, ownership_horizon, now);
        let first_lease = OwnershipLease::from_heartbeat(ownership.sent_at);
        scheduler.set_ownership(first_lease);
        scheduler.set_cell(member.id.0, layout.cells);
        scheduler.set_policies(node.settings.policies);
        for wave in node.waves.borrow().values() {
            let progress = job_index.wave(wave.spec.number);
            scheduler.handle(Event::Wave(wave.remaining(now.mono), progress), now);
        }
        drop(job_index);
        node.metrics.owned_cells.inc();
        node.metrics.takeovers.inc();
        let lease = OwnerLease::new(member.id, ownership.epoch, node.clock.clone(), first_lease);
        let deposed = Rc::new(Cell::new(false));
        let writer = Writer::new(member.clone(), ownership.epoch, ownership.sent_at);
        let dispatcher = Dispatcher::new(member.clone(), lease.clone(), events);
        let (last_cleanup, last_load_report) = (now.mono, now.mono);
        Owner {
            member: member.clone(),
            layout: layout.clone(),
            scheduler,
            dispatcher,
            writer,
            lease,
            deposed,
            counted_deferrals: 0,
            last_cleanup,
            last_load_report,
            counted_predictions: PredictionCounts::default(),
            load_report_due: now.mono,
        }
    }

    fn is_deposed(&self) -> bool {
        self.deposed.get()
    }

    /// Renews the lease from the last acknowledged heartbeat. After a pause another node may have taken over, so no
    /// command is sent before the next acknowledged heartbeat.
    fn refresh_lease(&mut self) {
        let now = self.member.node.clock.now();
        let paused = self.lease.record_run();
        if paused > MAX_LOOP_PAUSE {
            warn!(target: "decision", "cell={} choice=suspend_orders paused_ms={}", self.member.id, paused.as_millis());
            self.writer.suspend_until_confirmed(now);
        }
        let current = self.writer.lease();
        self.lease.set(current);
        self.scheduler.set_ownership(current.unwrap_or(OwnershipLease::expired(now)));
    }

    fn run_scheduler(&mut self) {
        let now = self.member.node.now();
        self.update_wave_caps();
        self.update_submissions_read();
        for action in self.scheduler.poll(now) {
            match action {
                Action::Write(number, records) => {
                    self.writer.push(WriteRequest { number: Some(number), records });
                }
                Action::StepDown => self.deposed.set(true),
                Action::ReportWave { wave, completed } => self.report_wave(wave, completed),
                other => self.dispatcher.dispatch(other),
            }
        }
        self.member.needs_vm_list.set(self.scheduler.needs_vm_list());
        self.count_deferrals();
        if now.mono.saturating_duration_since(self.last_load_report) > LOAD_REPORT_INTERVAL {
            self.last_load_report = now.mono;
            self.writer.set_load(self.scheduler.load());
            self.count_predictions();
        }
        let polled_at = self.member.node.clock.now();
        if polled_at >= self.load_report_due {
            self.report_load(polled_at);
        }
        if now.mono.saturating_duration_since(self.last_cleanup) > CLEANUP_INTERVAL {
            self.last_cleanup = now.mono;
            self.clean_up();
        }
    }

    /// Adds the predictions whose runs have ended since the last call to the metrics.
    fn count_predictions(&mut self) {
        let counts = self.scheduler.run_time_counts();
        self.member.node.metrics.count_predictions(&counts.since(&self.counted_predictions));
        self.counted_predictions = counts;
    }

    /// Makes a new load for the admission of jobs. The larger it is and the longer it takes, the later is the next one.
    fn report_load(&mut self, now: Instant) {
        self.load_report_due = now + ADMISSION_LOAD_INTERVAL;
        if !self.member.node.settings.policies.admit {
            return;
        }
        let report = self.scheduler.load_report();
        let took = self.member.node.clock.now().saturating_duration_since(now);
        let bytes = codec::to_bytes(&report).len() as f64 * f64::from(self.layout.cells);
        let interval = Duration::from_secs_f64(bytes / LOAD_BYTES_PER_SECOND);
        let interval = interval.max(ADMISSION_LOAD_INTERVAL).max(took * LOAD_INTERVAL_FACTOR);
        self.load_report_due = now + interval;
        *self.member.load_report.borrow_mut() = Some((report, now));
    }

    /// Adds new deferrals to the metric, which goes on over several ownerships.
    fn count_deferrals(&mut self) {
        let deferrals = self.scheduler.account_deferrals();
        let before = std::mem::replace(&mut self.counted_deferrals, deferrals);
        self.member.node.metrics.account_deferrals.inc_by(deferrals - before);
    }

    /// Tells the scheduler once all submissions and cancellations are read that earlier owners may have acted on.
    fn update_submissions_read(&mut self) {
        let job_index = self.member.job_index.borrow();
        if (0..OVERFLOW_LOGS).all(|log| job_index.has_ownership_start(log, self.writer.epoch)) {
            self.scheduler.set_submissions_read();
        }
    }

    /// Sets this cell's share of the caps of all waves in the scheduler.
    fn update_wave_caps(&mut self) {
        if self.layout.is_single() {
            return;
        }
        let node = &self.member.node;
        for wave in node.waves.borrow().values().map(|wave| &wave.spec) {
            let done = self.member.cells_completed(wave.number, self.layout.cells);
            let share = wave_share(wave.cap, self.member.id, &done);
            self.scheduler.set_wave_cap(wave.number, share);
        }
    }

    /// Records that this cell has completed a wave, so that heartbeats report it to the other cells. If it is the only
    /// cell, publishes the state of the wave.
    fn report_wave(&self, wave: u64, completed: bool) {
        if completed {
            self.member.completed_waves.borrow_mut().insert(wave);
        }
        if self.layout.is_single() {
            self.dispatcher.report_wave(wave, completed);
        }
    }

    /// Removes jobs that finished longer ago than the retention time.
    fn clean_up(&self) {
        let (member, node) = (&self.member, &self.member.node);
        let retention = node.settings.retention;
        let keys =
            member.job_index.borrow().expired_keys(node.clock.wall(), retention, CLEANUP_BATCH);
        let mut dropped: BTreeMap<Log, Vec<Record>> = BTreeMap::new();
        for (log, key) in keys {
            dropped.entry(log).or_default().push(Record::Drop(key));
        }
        if let Some(records) = dropped.remove(&Log::Jobs) {
            self.writer.push(WriteRequest { number: None, records });
        }
        for (log, records) in dropped {
            actix_rt::spawn(drop_overflow_records(member.clone(), log, records));
        }
    }

    /// Starts the tasks that run beside the scheduler for as long as the ownership lasts.
    fn spawn_background_tasks(&self, ownership: &Ownership) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let (member, layout) = (&self.member, &self.layout);
        tasks.spawn_local(follow_registry(member.clone(), layout.clone()));
        tasks.spawn_local(follow_vms(member.clone(), layout.clone()));
        if !layout.is_single() {
            tasks.spawn_local(publish_heartbeats(member.clone(), ownership.epoch));
        }
        for number in 0..OVERFLOW_LOGS {
            tasks.spawn_local(write_owner_marker(
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
