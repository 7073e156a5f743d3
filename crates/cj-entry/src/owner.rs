//! Ownership of the fleet: one node at a time runs the scheduler.
//!
//! A node claims ownership by a conditional append; the offset of the claim is its fencing token, so no two owners share
//! one. The owner's heartbeats go into the topic of the jobs, which all nodes follow. An owner whose heartbeats aren't
//! acknowledged stops giving orders when its tenure ends.

use std::{
    cell::Cell,
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Action, Event, Log, OVERFLOWS, Record, Scheduler, codec,
    record::OwnerBeat,
    sched::{TENURE, WorkerId},
};
use cj_types::Clock;
use compact_str::CompactString;
use log::{info, warn};
use rand::Rng;
use tokio::{
    sync::mpsc,
    task::{JoinHandle, JoinSet},
};

use crate::{
    dispatch::Dispatcher,
    follow::{Link, Update, follow},
    node::EntryNode,
    outbox::{OWNER_PATIENCE, append_once},
    platform::{Guard, JOBS, Platform, RegistryChange, StoreError, Topic},
    writer::{WriteJob, Writer, WriterEvent},
};

/// An owner that wasn't heard of for this long has lost its ownership to whoever claims it.
const OWNER_SILENCE: Duration = Duration::from_millis(1_300);

/// The silence that is allowed grows by this multiple of the time that the store takes for an append, since heartbeats are
/// late when the store is slow.
const SLOW_STORE_FACTOR: u32 = 3;

/// Longest silence that is allowed.
const MOST_SILENCE: Duration = Duration::from_millis(4_500);

/// Time between two looks at the owner.
const WATCH_GAP: Duration = Duration::from_millis(60);

/// A node with one core waits this long before it claims; one with less waits longer in proportion. The owner needs more
/// processor time than the other nodes, and its own share bounds what the fleet can start.
const CLAIM_DELAY: Duration = Duration::from_millis(35);

/// Least share of a core that the delay of a claim is worked out with.
const LEAST_CORES: f64 = 0.1;

/// A node with less than half the processor time of the last owner waits this much longer: nodes like that owner exist, and
/// may need several tries while the store is slow.
const WEAK_DELAY: Duration = Duration::from_millis(2_000);

/// A claim that took longer than this shows that the store is slow, so that heartbeats may be late.
const SLOW_CLAIM: Duration = Duration::from_millis(100);

/// The delay of a claim is random up to this multiple, so that few nodes claim at once.
const CLAIM_SPREAD: f64 = 1.8;

/// How long a claim of another node may take until its heartbeat is read.
const CLAIM_LIMIT: Duration = Duration::from_millis(1_200);

/// Longest time between two runs of the scheduler.
const TICK: Duration = Duration::from_millis(25);

/// An owner that didn't run for this long gives no order before the next acknowledged heartbeat.
const PAUSE_LIMIT: Duration = Duration::from_millis(900);

/// Time between two reads of the list of VMs while it is needed.
const VMS_GAP: Duration = Duration::from_millis(600);

/// Time between two reads of the list of VMs otherwise.
const VMS_IDLE_GAP: Duration = Duration::from_secs(5);

/// Time between two reads of the registry.
const REGISTRY_PAUSE: Duration = Duration::from_millis(60);

/// Pause before the mark of an ownership in an overflow log is written again.
const MARK_RETRY: Duration = Duration::from_millis(300);

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
        wait_for_vacancy(&node).await;
        if node.stopping.get() {
            return;
        }
        let Some(term) = claim(&node).await else { continue };
        own(&node, term).await;
    }
}

/// An ownership that was claimed.
struct Term {
    epoch: u64,
    /// When its first record was acknowledged at the latest.
    since: Instant,
    /// Offset of that record.
    offset: u64,
}

/// Waits until the fleet has no owner.
async fn wait_for_vacancy<P, C>(node: &EntryNode<P, C>)
where
    P: Platform,
    C: Clock + 'static,
{
    let mut loaded_at = None;
    loop {
        if node.stopping.get() {
            return;
        }
        let now = node.clock.now();
        let known =
            node.jobs.is_loaded() && node.jobs.is_answered() && node.config.borrow().is_some();
        if known && is_vacant(node, now, *loaded_at.get_or_insert(now)) {
            tokio::time::sleep(claim_delay(node)).await;
            if is_vacant(node, node.clock.now(), now) {
                return;
            }
        }
        tokio::time::sleep(WATCH_GAP).await;
    }
}

/// How long the node lets others claim first.
fn claim_delay<P, C>(node: &EntryNode<P, C>) -> Duration
where
    P: Platform,
    C: Clock + 'static,
{
    let own = node.settings.cores;
    let share = f64::from(own.0) / 1_000.0;
    let least = CLAIM_DELAY.div_f64(share.max(LEAST_CORES));
    let usual = least.mul_f64(node.rng.borrow_mut().random_range(1.0..CLAIM_SPREAD));
    let book = node.book.borrow();
    let weak = book.owner().is_some_and(|owner| own.0 * 2 < owner.beat.cores.0);
    if weak { usual + WEAK_DELAY } else { usual }
}

fn is_vacant<P, C>(node: &EntryNode<P, C>, now: Instant, loaded_at: Instant) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let book = node.book.borrow();
    let Some(owner) = book.owner() else { return true };
    // This node's name on a record of an earlier process says that the owner ended with that process.
    if owner.beat.released || owner.beat.node == node.settings.node {
        return true;
    }
    let heard = node.heard.get().unwrap_or(loaded_at);
    let allowed = OWNER_SILENCE + node.outbox.latency() * SLOW_STORE_FACTOR;
    now.saturating_duration_since(heard) > allowed.min(MOST_SILENCE)
}

/// Claims ownership. Returns `None` when another node was faster or the store didn't answer.
async fn claim<P, C>(node: &EntryNode<P, C>) -> Option<Term>
where
    P: Platform,
    C: Clock + 'static,
{
    let name = node.settings.node.to_string();
    let claim = [(CompactString::const_new("claim"), name.into_bytes())];
    let mut end = node.book.borrow().epoch();
    let epoch = loop {
        let sent = node.clock.now();
        match node.platform.append(Topic::Claims, &claim, Guard::End(end)).await {
            Ok(offset) => {
                let took = node.clock.now().saturating_duration_since(sent);
                if took > SLOW_CLAIM && heard_within(node, OWNER_SILENCE + took * SLOW_STORE_FACTOR)
                {
                    info!(target: "decision", "choice=no_claim cause=\"slow store\" took_ms={}", took.as_millis());
                    return None;
                }
                break offset + 1;
            }
            Err(StoreError::Moved(actual)) => {
                if heard_of(node, actual).await {
                    return None;
                }
                end = actual;
            }
            Err(error) => {
                info!(target: "decision", "choice=no_claim end={end} cause=\"{error}\"");
                tokio::time::sleep(WATCH_GAP).await;
                return None;
            }
        }
    };
    let beat = Record::Owner(beat(node, epoch, false, Vec::new()));
    let records = [(beat.key_text(), codec::encode(&beat))];
    let deadline = node.clock.now() + CLAIM_LIMIT;
    loop {
        let guard = Guard::Owner { epoch, sequence: 0 };
        match node.platform.append(JOBS, &records, guard).await {
            Ok(offset) => {
                info!(target: "decision", "choice=own epoch={epoch} offset={offset}");
                return Some(Term { epoch, since: node.clock.now(), offset });
            }
            Err(StoreError::Refused(_) | StoreError::Unanswered(_))
                if node.clock.now() < deadline =>
            {
                tokio::time::sleep(WATCH_GAP).await;
            }
            Err(error) => {
                info!(target: "decision", "choice=no_claim epoch={epoch} cause=\"{error}\"");
                return None;
            }
        }
    }
}

/// True when an owner that hasn't released its ownership was heard of within `span`.
fn heard_within<P, C>(node: &EntryNode<P, C>, span: Duration) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let held = node
        .book
        .borrow()
        .owner()
        .is_some_and(|owner| !owner.beat.released && owner.beat.node != node.settings.node);
    let heard = node.heard.get().map(|at| node.clock.now().saturating_duration_since(at));
    held && heard.is_some_and(|silence| silence < span.min(MOST_SILENCE))
}

/// Waits a moment for the heartbeat of the owner that made the last claim.
async fn heard_of<P, C>(node: &EntryNode<P, C>, epoch: u64) -> bool
where
    P: Platform,
    C: Clock + 'static,
{
    let heard = async {
        while node.book.borrow().epoch() < epoch {
            node.changed.notified().await;
        }
    };
    tokio::time::timeout(CLAIM_LIMIT, heard).await.is_ok()
}

fn beat<P, C>(
    node: &EntryNode<P, C>,
    epoch: u64,
    released: bool,
    load: Vec<(cj_types::ServiceId, cj_sched::record::ServiceLoad)>,
) -> OwnerBeat {
    OwnerBeat {
        epoch,
        node: node.settings.node.clone(),
        cores: node.settings.cores,
        released,
        load,
    }
}

/// Owns the fleet until the node stops or another owner takes over.
async fn own<P, C>(node: &Rc<EntryNode<P, C>>, term: Term)
where
    P: Platform,
    C: Clock + 'static,
{
    let (events, mut received) = mpsc::unbounded_channel();
    *node.events.borrow_mut() = Some(events.clone());
    // All records before the first one of this ownership have to be known before any decision.
    while node.jobs.next() <= term.offset {
        if node.stopping.get() {
            break;
        }
        let _ = tokio::time::timeout(WATCH_GAP, node.changed.notified()).await;
    }
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
    if !owner.is_deposed() {
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
        if now.mono.saturating_duration_since(self.loaded) > WATCH_GAP * 5 {
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

/// Marks where this ownership begins in an overflow log. Submissions that follow are known to be new: an earlier owner that
/// reads the mark first gives no more orders.
async fn mark_overflow<P, C>(node: Rc<EntryNode<P, C>>, log: Log, epoch: u64)
where
    P: Platform,
    C: Clock + 'static,
{
    let mark = Record::Owner(beat(&node, epoch, false, Vec::new()));
    let records = [(mark.key_text(), codec::encode(&mark))];
    let guard = Guard::Owner { epoch, sequence: 0 };
    let mut tries = 0;
    loop {
        let topic = Topic::Jobs(log);
        match append_once(&node.platform, topic, &records, guard, OWNER_PATIENCE, tries).await {
            Ok(_) => return,
            Err(StoreError::Refused(_) | StoreError::Unanswered(_)) => tries += 1,
            Err(error) => {
                info!(target: "decision", "log={log} epoch={epoch} choice=no_mark cause=\"{error}\"");
                return;
            }
        }
        tokio::time::sleep(MARK_RETRY).await;
    }
}

/// Drops records of jobs that were final for long from an overflow log. A later clean-up repeats what fails.
async fn drop_overflow<P, C>(node: Rc<EntryNode<P, C>>, log: Log, records: Vec<Record>)
where
    P: Platform,
    C: Clock + 'static,
{
    let encoded: Vec<_> =
        records.iter().map(|record| (record.key_text(), codec::encode(record))).collect();
    let dropped = node.platform.append(Topic::Jobs(log), &encoded, Guard::None).await;
    if let Err(error) = dropped {
        warn!(target: "link", "log={log} choice=drop_later records={} cause=\"{error}\"", records.len());
    }
}

/// Hands changes of the registry to the scheduler.
async fn follow_registry<P, C>(node: Rc<EntryNode<P, C>>)
where
    P: Platform,
    C: Clock + 'static,
{
    let link = Link::default();
    let mut listed: HashSet<WorkerId> = HashSet::new();
    let mut loading: HashSet<WorkerId> = HashSet::new();
    let pause = || REGISTRY_PAUSE;
    follow(&node.platform, &node.clock, Topic::Registry, &link, pause, |update| {
        let Update::Record { record, in_order } = update else {
            // A worker without a record in a new reading of all keys is gone.
            for id in listed.difference(&loading) {
                node.send(Event::Unlisted(id.clone()));
            }
            listed = std::mem::take(&mut loading);
            return;
        };
        match node.platform.registry_change(&record.key, &record.value) {
            Ok(RegistryChange::Reported(report)) => {
                let known = if in_order { &mut listed } else { &mut loading };
                known.insert(report.id.clone());
                node.send(Event::Reported(report));
            }
            Ok(RegistryChange::Removed(id)) => {
                listed.remove(&id);
                node.send(Event::Unlisted(id));
            }
            Err(error) => {
                warn!(
                    target: "link",
                    "topic=registry key={} offset={} choice=skip cause=\"{error}\"",
                    record.key, record.offset
                );
            }
        }
    })
    .await;
}

/// Hands the list of VMs to the scheduler.
async fn follow_vms<P, C>(node: Rc<EntryNode<P, C>>)
where
    P: Platform,
    C: Clock + 'static,
{
    loop {
        let sent = node.clock.now();
        let listed = match node.platform.vms().await {
            Ok(rows) => {
                node.send(Event::Vms(sent, rows));
                true
            }
            Err(error) => {
                warn!(target: "link", "choice=no_vm_list cause=\"{error}\"");
                false
            }
        };
        let due = sent + if listed { VMS_IDLE_GAP } else { VMS_GAP };
        tokio::time::sleep(VMS_GAP).await;
        while node.clock.now() < due && !node.wants_vms.get() {
            tokio::time::sleep(VMS_GAP / 4).await;
        }
    }
}
