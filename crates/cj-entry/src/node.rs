//! State of an entry node that its parts share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Book, Event, FleetConfig, Log, OVERFLOWS,
    book::Change,
    codec,
    record::{OwnerBeat, ServiceLoad},
    sched::{Limits, Now, WaveOrder},
};
use cj_types::{Clock, Millicores, NodeId, ServiceId};
use futures::future::join_all;
use log::{info, warn};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, mpsc};

use crate::{
    follow::{Link, Update, follow},
    metrics::Metrics,
    outbox::Outbox,
    platform::{OperatorChange, Platform, Topic},
};

/// Time between two reads of the jobs by the owner.
const OWNER_PAUSE: Duration = Duration::from_millis(8);

/// Time between two reads of the jobs by other nodes; callers may see a state this late.
const STANDBY_PAUSE: Duration = Duration::from_millis(150);

/// Time between two reads of the operator's records.
const OPERATOR_PAUSE: Duration = Duration::from_millis(10);

/// Settings of an entry node.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The node.
    pub node: NodeId,
    /// Bounds of the platform.
    pub limits: Limits,
    /// Processor time of the node in cores; nodes with more take over first.
    pub cores: Millicores,
    /// How long a job that is final can be asked for.
    pub retention: Duration,
    /// Seed of the node's random choices.
    pub seed: u64,
}

/// An entry node.
pub struct EntryNode<P, C> {
    /// The platform.
    pub platform: P,
    /// The clock.
    pub clock: C,
    /// The settings.
    pub settings: EntrySettings,
    /// All jobs.
    pub book: RefCell<Book>,
    /// The operators' configuration, once one was read.
    pub config: RefCell<Option<Rc<FleetConfig>>>,
    /// Waves that the operators ordered.
    pub waves: RefCell<BTreeMap<u64, WaveOrder>>,
    /// State of the log of jobs.
    pub jobs: Link,
    /// States of the overflow logs.
    pub overflows: [Link; OVERFLOWS as usize],
    /// State of the operator's topic.
    pub operator: Link,
    /// Records of callers that wait for the store.
    pub outbox: Outbox,
    /// Counters.
    pub metrics: Metrics,
    /// The book changed.
    pub changed: Notify,
    /// When the owner was last heard of.
    pub heard: Cell<Option<Instant>>,
    /// Where events go while this node owns the fleet.
    pub events: RefCell<Option<mpsc::UnboundedSender<Event>>>,
    /// The scheduler needs an up-to-date list of VMs.
    pub wants_vms: Cell<bool>,
    /// This node has claimed the fleet.
    pub(crate) claimed: Notify,
    /// The node is shutting down.
    pub stopping: Cell<bool>,
    /// Set with `stopping`.
    pub stop: Notify,
    /// Source of random choices.
    pub(crate) rng: RefCell<Pcg64Mcg>,
}

impl<P, C> EntryNode<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// A node that knows nothing yet.
    pub fn new(platform: P, clock: C, settings: EntrySettings) -> Rc<Self> {
        let outbox = Outbox::new(&settings.node);
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(settings.seed));
        Rc::new(EntryNode {
            platform,
            clock,
            settings,
            book: RefCell::default(),
            config: RefCell::default(),
            waves: RefCell::default(),
            jobs: Link::default(),
            overflows: Default::default(),
            operator: Link::default(),
            outbox,
            metrics: Metrics::default(),
            changed: Notify::new(),
            heard: Cell::default(),
            events: RefCell::default(),
            wants_vms: Cell::default(),
            claimed: Notify::new(),
            stopping: Cell::default(),
            stop: Notify::new(),
            rng,
        })
    }

    /// Both clocks.
    pub fn now(&self) -> Now {
        Now { mono: self.clock.now(), wall: self.clock.wall() }
    }

    /// True when the node can take submissions.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get()
            && self.config.borrow().is_some()
            && self.jobs.is_fresh(self.clock.now())
    }

    /// True while all records that are older than a moment are known, so that a job without a record doesn't exist.
    pub fn knows_all_jobs(&self) -> bool {
        let now = self.clock.now();
        self.jobs.is_fresh(now) && self.overflows.iter().all(|link| link.is_fresh(now))
    }

    /// A heartbeat of this node as the owner.
    pub(crate) fn beat(
        &self,
        epoch: u64,
        released: bool,
        load: Vec<(ServiceId, ServiceLoad)>,
    ) -> OwnerBeat {
        let (node, cores) = (self.settings.node.clone(), self.settings.cores);
        OwnerBeat { epoch, node, cores, released, load }
    }

    /// Begins the shutdown.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
        self.stop.notify_waiters();
    }

    /// Sends an event to the scheduler, if this node owns the fleet.
    pub fn send(&self, event: Event) {
        if let Some(events) = &*self.events.borrow() {
            // The owner's loop ends before its receiver is dropped, so a failed send concerns an ownership that is over.
            let _ = events.send(event);
        }
    }

    /// Follows the jobs and the operator, and appends the records of callers, until the task is dropped.
    pub async fn follow(self: Rc<Self>) {
        let jobs = self.follow_log(Log::Jobs, &self.jobs);
        let links = (0..OVERFLOWS).zip(&self.overflows);
        let overflows = join_all(links.map(|(n, link)| self.follow_log(Log::Overflow(n), link)));
        let operator = follow(
            &self.platform,
            &self.clock,
            Topic::Operator,
            &self.operator,
            async || tokio::time::sleep(OPERATOR_PAUSE).await,
            |update| self.read_operator(update),
        );
        let outbox = self.outbox.run(&self.platform, &self.clock);
        futures::join!(jobs, overflows, operator, outbox);
    }

    async fn follow_log(&self, log: Log, link: &Link) {
        let pause = async || {
            let owns = self.events.borrow().is_some();
            let span = if owns { OWNER_PAUSE } else { STANDBY_PAUSE };
            // A new owner reads at once: it waits for its own first record.
            let _ = tokio::time::timeout(span, self.claimed.notified()).await;
        };
        let apply = |update: Update<'_>| self.read_job(log, update);
        follow(&self.platform, &self.clock, Topic::Jobs(log), link, pause, apply).await;
    }

    fn read_job(&self, log: Log, update: Update<'_>) {
        let Update::Record { record, in_order } = update else {
            return self.changed.notify_waiters();
        };
        let decoded = match codec::decode(&record.key, &record.value) {
            Ok(decoded) => decoded,
            Err(error) => {
                warn!(target: "link", "topic={log} offset={} choice=skip cause=\"{error}\"", record.offset);
                return;
            }
        };
        let change = self.book.borrow_mut().apply(log, record.offset, decoded, in_order);
        match change {
            Change::Submitted(job) => {
                let event = Event::read(&self.book.borrow(), job);
                if let Some(event) = event {
                    self.send(event);
                }
            }
            Change::Cancelled(job) => self.send(Event::Cancelled(job)),
            Change::Owner => self.heard.set(Some(self.clock.now())),
            Change::Progressed(_) | Change::Nothing => {}
        }
        self.changed.notify_waiters();
    }

    fn read_operator(&self, update: Update<'_>) {
        let Update::Record { record, .. } = update else { return };
        match self.platform.operator_change(&record.key, &record.value) {
            Ok(OperatorChange::Config(config)) => self.configure(config, record.offset),
            Ok(OperatorChange::Wave(order)) => {
                let progress = self.book.borrow().wave(order.number);
                self.waves.borrow_mut().insert(order.number, order.clone());
                self.send(Event::Wave(order, progress));
            }
            Ok(OperatorChange::Other) => {}
            Err(error) => {
                warn!(
                    target: "link",
                    "topic=operator key={} offset={} choice=skip cause=\"{error}\"",
                    record.key, record.offset
                );
            }
        }
    }

    /// Takes a configuration into force unless a newer one is.
    fn configure(&self, config: FleetConfig, offset: u64) {
        let known = self.config.borrow().as_ref().map(|config| config.version);
        if known.is_some_and(|known| known > config.version) {
            return;
        }
        info!(
            target: "decision",
            "config={} offset={offset} choice=apply queues={} pools={}",
            config.version, config.queues.len(), config.pools.len()
        );
        let config = Rc::new(config);
        *self.config.borrow_mut() = Some(config.clone());
        self.metrics.config.set(config.version.0 as i64);
        self.send(Event::Config(config));
    }
}
