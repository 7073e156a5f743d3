//! State of an entry node that its parts share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::{Rc, Weak},
    time::Duration,
};

use cj_sched::{
    Event, FleetConfig, JobKey,
    record::{OwnerHeartbeat, ServiceLoad},
    sched::{Limits, Now, Policies, WaveSpec},
};
use cj_types::{Clock, NodeId, ServiceId};
use compact_str::CompactString;
use futures::future::join_all;
use log::{info, warn};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::{
    agree::agree,
    follow::{Link, Update, follow},
    layout::{CellId, Layout, NodeSize},
    member::CellMember,
    metrics::Metrics,
    platform::{OperatorChange, Platform, RawRecord, Topic},
    roster::{CellRecord, Roster},
};

/// Time between two reads of the operator's records.
const OPERATOR_PAUSE: Duration = Duration::from_millis(10);

/// Time between two reads of the owners' heartbeats.
const ROSTER_PAUSE: Duration = Duration::from_millis(300);

/// Settings of an entry node.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The node.
    pub node: NodeId,
    /// Where other nodes ask it, `ip:port`.
    pub peer: CompactString,
    /// Bounds of the platform.
    pub limits: Limits,
    /// Policies in use by the scheduler.
    pub policies: Policies,
    /// What the node can carry; nodes with more processor time take over first.
    pub size: NodeSize,
    /// How long a job that is final can be asked for.
    pub retention: Duration,
    /// Seed of the node's random choices.
    pub seed: u64,
}

/// An entry node.
pub struct EntryNode<P, C> {
    /// This node, for the parts that refer to it.
    this: Weak<Self>,
    /// The platform.
    pub platform: P,
    /// The clock.
    pub clock: C,
    /// The settings.
    pub settings: EntrySettings,
    /// The operators' configuration, once one was read.
    pub config: RefCell<Option<Rc<FleetConfig>>>,
    /// Waves that the operators ordered.
    pub waves: RefCell<BTreeMap<u64, WaveSpec>>,
    /// State of the operator's topic.
    pub operator: Link,
    /// How the fleet is divided, once that is known.
    pub(crate) layout: RefCell<Option<Rc<Layout>>>,
    /// This node's part in each cell, once the layout is known.
    members: RefCell<Vec<Rc<CellMember<P, C>>>>,
    /// The layout became known.
    pub(crate) laid_out: Notify,
    /// Owners of the cells.
    pub(crate) roster: RefCell<Roster>,
    /// State of the topic of the cells; it is followed only when there are several.
    pub(crate) cells: Link,
    /// Cells that this node owns or is about to own.
    pub(crate) owned: Cell<u32>,
    /// Counters.
    pub metrics: Metrics,
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
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(settings.seed));
        Rc::new_cyclic(|this| EntryNode {
            this: this.clone(),
            platform,
            clock,
            settings,
            config: RefCell::default(),
            waves: RefCell::default(),
            operator: Link::default(),
            layout: RefCell::default(),
            members: RefCell::default(),
            laid_out: Notify::new(),
            roster: RefCell::default(),
            cells: Link::default(),
            owned: Cell::default(),
            metrics: Metrics::default(),
            stopping: Cell::default(),
            stop: Notify::new(),
            rng,
        })
    }

    /// Both clocks.
    pub fn now(&self) -> Now {
        Now { mono: self.clock.now(), wall: self.clock.wall() }
    }

    /// This node's part in each cell; empty until the layout is known.
    pub fn members(&self) -> Vec<Rc<CellMember<P, C>>> {
        self.members.borrow().clone()
    }

    /// The cell that a job belongs to, once the layout is known.
    pub fn member_for(&self, job: JobKey) -> Option<Rc<CellMember<P, C>>> {
        let cell = self.layout.borrow().as_ref()?.cell_of_job(job);
        self.members.borrow().get(cell.index()).cloned()
    }

    /// True when the fleet has several cells.
    pub(crate) fn has_cells(&self) -> bool {
        self.layout.borrow().as_ref().is_some_and(|layout| !layout.is_single())
    }

    /// True when the node can take submissions.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.config.borrow().is_some() && self.is_current()
    }

    /// True while the node knows how the jobs or their owners stand.
    fn is_current(&self) -> bool {
        let now = self.clock.now();
        if self.has_cells() {
            return self.cells.is_fresh(now);
        }
        self.members.borrow().first().is_some_and(|member| member.jobs.is_fresh(now))
    }

    /// True while all records of the cells that the node follows are known, older ones than a moment ago at least.
    pub fn knows_all_jobs(&self) -> bool {
        let members = self.members.borrow();
        !members.is_empty() && members.iter().all(|member| member.knows_all_jobs())
    }

    /// A heartbeat of this node as the owner of a cell.
    pub(crate) fn beat(
        &self,
        epoch: u64,
        released: bool,
        load: Vec<(ServiceId, ServiceLoad)>,
    ) -> OwnerHeartbeat {
        let (node, cores) = (self.settings.node.clone(), self.settings.size.cores);
        OwnerHeartbeat { epoch, node, cores, released, load }
    }

    /// Begins the shutdown.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
        self.stop.notify_waiters();
    }

    /// How long the last append of a caller's record took, whatever its cell: few records of one node go to one cell.
    pub(crate) fn append_latency(&self) -> Duration {
        let members = self.members.borrow();
        let appends = members.iter().map(|member| member.outbox.last_append());
        appends.max().map(|(_, latency)| latency).unwrap_or_default()
    }

    /// A duration drawn evenly up to `most`.
    pub(crate) fn random_up_to(&self, most: Duration) -> Duration {
        most.mul_f64(self.rng.borrow_mut().random_range(0.0..1.0))
    }

    /// Sends an event to the schedulers of all cells that this node owns.
    fn send_all(&self, event: &Event) {
        for member in self.members.borrow().iter() {
            member.send(event.clone());
        }
    }

    /// Follows the operator and the cells, and appends the records of callers, until the task is dropped.
    pub async fn follow(self: Rc<Self>) {
        let operator = follow(
            &self.platform,
            &self.clock,
            Topic::Operator,
            &self.operator,
            async || tokio::time::sleep(OPERATOR_PAUSE).await,
            |update| self.read_operator(update),
        );
        let cells = async {
            agree(&self).await;
            let members = self.members();
            futures::join!(
                join_all(members.iter().map(|member| member.run_links())),
                self.follow_roster()
            );
        };
        futures::join!(operator, cells);
    }

    /// Follows the heartbeats of the owners where there are several cells.
    async fn follow_roster(&self) {
        if !self.has_cells() {
            return;
        }
        let pause = async || tokio::time::sleep(ROSTER_PAUSE).await;
        let apply = |update: Update<'_>| {
            if let Update::Record { record, .. } = update {
                self.read_cell_record(record);
            }
        };
        follow(&self.platform, &self.clock, Topic::Cells, &self.cells, pause, apply).await;
    }

    /// Takes note of a record about the cells.
    pub(crate) fn read_cell_record(&self, record: &RawRecord) {
        let now = self.clock.now();
        match CellRecord::decode(&record.key, &record.value) {
            Ok(CellRecord::Layout(layout)) => self.lay_out(layout),
            Ok(CellRecord::Beat(cell, beat)) => self.roster.borrow_mut().hear(cell, beat, now),
            Ok(CellRecord::Bid(cell, node)) => self.roster.borrow_mut().note_bid(cell, node, now),
            Err(error) => {
                warn!(
                    target: "link",
                    "topic=cells key={} offset={} choice=skip cause=\"{error}\"",
                    record.key, record.offset
                );
            }
        }
    }

    /// Takes a layout into use; the first one holds.
    fn lay_out(&self, layout: Layout) {
        if self.layout.borrow().is_some() {
            return;
        }
        let homes = layout.homes(self.settings.node.as_str(), self.settings.size.cores);
        info!(target: "decision", "choice=use_layout cells={} homes={homes:?}", layout.cells);
        let Some(node) = self.this.upgrade() else { return };
        // The node and its members refer to each other; both last as long as the process.
        let member = |cell: CellId| CellMember::new(node.clone(), cell, homes.contains(&cell));
        *self.members.borrow_mut() = layout.ids().map(member).collect();
        *self.layout.borrow_mut() = Some(Rc::new(layout));
        self.laid_out.notify_waiters();
    }

    fn read_operator(&self, update: Update<'_>) {
        let Update::Record { record, .. } = update else { return };
        match self.platform.operator_change(&record.key, &record.value) {
            Ok(OperatorChange::Config(config)) => self.configure(config, record.offset),
            Ok(OperatorChange::Wave(order)) => {
                self.waves.borrow_mut().insert(order.number, order.clone());
                for member in self.members.borrow().iter() {
                    let progress = member.book.borrow().wave(order.number);
                    member.send(Event::Wave(order.clone(), progress));
                }
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
        self.send_all(&Event::Config(config));
    }
}
