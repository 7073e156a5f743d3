//! The state that the parts of an entry node share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::{Rc, Weak},
    time::Duration,
};

use cj_sched::{
    Accounts, Event, FleetConfig, JobKey,
    record::{OwnerHeartbeat, ServiceLoad},
    sched::{Limits, Now, Policies},
};
use cj_types::{Clock, NodeId, ServiceId};
use compact_str::CompactString;
use futures::future::join_all;
use log::{info, warn};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::{
    follow::{FollowState, Update, follow},
    layout::{CellId, Layout, NodeCapacity},
    layout_agreement::agree_on_layout,
    member::CellMember,
    metrics::Metrics,
    owner_directory::{CellRecord, OwnerDirectory},
    platform::{OperatorChange, Platform, RawRecord, Topic},
    received_wave::ReceivedWave,
};

/// Time between two reads of the operator's topic.
const OPERATOR_READ_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two reads of the owners' heartbeats.
const CELLS_READ_INTERVAL: Duration = Duration::from_millis(300);

/// Settings of an entry node.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Id of the node.
    pub node: NodeId,
    /// Address for requests of other nodes, `ip:port`.
    pub peer_address: CompactString,
    /// Limits of the platform.
    pub limits: Limits,
    /// Policies of the scheduler.
    pub policies: Policies,
    /// The node's capacity as an owner; nodes with more processor time take over first.
    pub capacity: NodeCapacity,
    /// How long the state of a finished job remains available.
    pub retention: Duration,
    /// Calls to queues that aren't public need a key even while the configuration has no accounts.
    pub keys_required: bool,
    /// Time within which a published configuration has to be in force.
    pub config_time: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// An entry node.
pub struct EntryNode<P, C> {
    /// Reference to this node for its cell members.
    this: Weak<Self>,
    /// Connection to the platform.
    pub platform: P,
    /// Source of all times.
    pub clock: C,
    /// Settings of the node.
    pub settings: EntrySettings,
    /// The operators' configuration, once one was read.
    pub config: RefCell<Option<Rc<FleetConfig>>>,
    /// Maintenance waves requested by the operators, by number.
    pub waves: RefCell<BTreeMap<u64, ReceivedWave>>,
    /// How far the operator's topic has been read.
    pub operator_topic: FollowState,
    /// How the fleet is divided into cells, once that is known.
    pub(crate) layout: RefCell<Option<Rc<Layout>>>,
    /// The node's state for each cell, once the layout is known.
    members: RefCell<Vec<Rc<CellMember<P, C>>>>,
    /// Notified when the layout becomes known.
    pub(crate) layout_known: Notify,
    /// Owners of the cells.
    pub(crate) owners: RefCell<OwnerDirectory>,
    /// How far the cells topic has been read; it is followed only if there are several cells.
    pub(crate) cells_topic: FollowState,
    /// Number of cells that this node owns or is about to own.
    pub(crate) owned_cells: Cell<u32>,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// The node is shutting down.
    pub stopping: Cell<bool>,
    /// Notified when `stopping` is set.
    pub stop: Notify,
    /// Random number generator, seeded from the settings.
    pub(crate) rng: RefCell<Pcg64Mcg>,
}

impl<P, C> EntryNode<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// A node that has read nothing yet.
    pub fn new(platform: P, clock: C, settings: EntrySettings) -> Rc<Self> {
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(settings.seed));
        Rc::new_cyclic(|this| EntryNode {
            this: this.clone(),
            platform,
            clock,
            settings,
            config: RefCell::default(),
            waves: RefCell::default(),
            operator_topic: FollowState::default(),
            layout: RefCell::default(),
            members: RefCell::default(),
            layout_known: Notify::new(),
            owners: RefCell::default(),
            cells_topic: FollowState::default(),
            owned_cells: Cell::default(),
            metrics: Metrics::default(),
            stopping: Cell::default(),
            stop: Notify::new(),
            rng,
        })
    }

    /// The current monotonic and wall clock time.
    pub fn now(&self) -> Now {
        Now { mono: self.clock.now(), wall: self.clock.wall() }
    }

    /// The node's state for each cell; empty until the layout is known.
    pub fn members(&self) -> Vec<Rc<CellMember<P, C>>> {
        self.members.borrow().clone()
    }

    /// The node's state for the cell that a job belongs to, once the layout is known.
    pub fn member_for(&self, job: JobKey) -> Option<Rc<CellMember<P, C>>> {
        let cell = self.layout.borrow().as_ref()?.cell_of_job(job);
        self.members.borrow().get(cell.index()).cloned()
    }

    /// True when the fleet has several cells.
    pub(crate) fn has_multiple_cells(&self) -> bool {
        self.layout.borrow().as_ref().is_some_and(|layout| !layout.is_single())
    }

    /// True when the node can take submissions.
    pub fn is_ready(&self) -> bool {
        let has_config = self.config.borrow().is_some() && self.is_config_current();
        !self.stopping.get() && has_config && self.is_current()
    }

    /// True while the topic of the cells is read up to date, or the job log if there is only one cell.
    fn is_current(&self) -> bool {
        let now = self.clock.now();
        if self.has_multiple_cells() {
            return self.cells_topic.is_fresh(now);
        }
        self.members.borrow().first().is_some_and(|member| member.job_log.is_fresh(now))
    }

    /// True while the logs of all cells are read up to date. Always false if the node doesn't follow all cells.
    pub fn is_caught_up(&self) -> bool {
        let members = self.members.borrow();
        !members.is_empty() && members.iter().all(|member| member.is_caught_up())
    }

    /// A heartbeat of this node as the owner of a cell.
    pub(crate) fn owner_heartbeat(
        &self,
        epoch: u64,
        released: bool,
        load: Vec<(ServiceId, ServiceLoad)>,
    ) -> OwnerHeartbeat {
        let (node, cores) = (self.settings.node.clone(), self.settings.capacity.cores);
        OwnerHeartbeat { epoch, node, cores, released, load }
    }

    /// Starts the shutdown.
    pub fn begin_shutdown(&self) {
        self.stopping.set(true);
        self.stop.notify_waiters();
    }

    /// Latency of the last append for callers, in any cell, since one node appends few records to each cell.
    pub(crate) fn append_latency(&self) -> Duration {
        let members = self.members.borrow();
        let appends = members.iter().map(|member| member.outbox.last_append());
        appends.max().map(|(_, latency)| latency).unwrap_or_default()
    }

    /// A uniformly distributed random duration below `max`.
    pub(crate) fn random_up_to(&self, max: Duration) -> Duration {
        max.mul_f64(self.rng.borrow_mut().random_range(0.0..1.0))
    }

    /// Sends an event to the schedulers of all cells that this node owns.
    fn send_all(&self, event: &Event) {
        for member in self.members.borrow().iter() {
            member.send(event.clone());
        }
    }

    /// Follows the operator's topic and the cells, and appends the records of callers, until the task is dropped.
    pub async fn follow(self: Rc<Self>) {
        let operator = follow(
            &self.platform,
            &self.clock,
            Topic::Operator,
            &self.operator_topic,
            async || tokio::time::sleep(OPERATOR_READ_INTERVAL).await,
            |update| self.apply_operator_record(update),
        );
        let cells = async {
            agree_on_layout(&self).await;
            let members = self.members();
            futures::join!(
                join_all(members.iter().map(|member| member.run())),
                self.follow_cells_topic()
            );
        };
        futures::join!(operator, cells);
    }

    /// Follows the heartbeats of the owners if there are several cells.
    async fn follow_cells_topic(&self) {
        if !self.has_multiple_cells() {
            return;
        }
        let pause = async || tokio::time::sleep(CELLS_READ_INTERVAL).await;
        let apply = |update: Update<'_>| {
            if let Update::Record { record, .. } = update {
                self.apply_cell_record(record);
            }
        };
        follow(&self.platform, &self.clock, Topic::Cells, &self.cells_topic, pause, apply).await;
    }

    /// Applies a record of the cells topic.
    pub(crate) fn apply_cell_record(&self, record: &RawRecord) {
        let now = self.clock.now();
        match CellRecord::decode(&record.key, &record.value) {
            Ok(CellRecord::Layout(layout)) => self.set_layout(layout),
            Ok(CellRecord::Load(cell, report)) => {
                if let Some(member) = self.members.borrow().get(cell.index()) {
                    member.record_load(report);
                }
            }
            Ok(CellRecord::Heartbeat(cell, heartbeat)) => {
                self.owners.borrow_mut().record_heartbeat(cell, heartbeat, now)
            }
            Ok(CellRecord::Candidacy(cell, node)) => {
                self.owners.borrow_mut().record_candidacy(cell, node, now)
            }
            Err(error) => {
                warn!(
                    target: "link",
                    "topic=cells key={} offset={} choice=skip cause=\"{error}\"",
                    record.key, record.offset
                );
            }
        }
    }

    /// Sets the layout, unless one is set already: the first layout is final.
    fn set_layout(&self, layout: Layout) {
        if self.layout.borrow().is_some() {
            return;
        }
        let home_cells =
            layout.home_cells(self.settings.node.as_str(), self.settings.capacity.cores);
        info!(target: "decision", "choice=use_layout cells={} homes={home_cells:?}", layout.cells);
        let Some(node) = self.this.upgrade() else { return };
        // The node and its members refer to each other; both live as long as the process.
        let member = |cell: CellId| CellMember::new(node.clone(), cell, home_cells.contains(&cell));
        *self.members.borrow_mut() = layout.ids().map(member).collect();
        *self.layout.borrow_mut() = Some(Rc::new(layout));
        self.layout_known.notify_waiters();
    }

    fn apply_operator_record(&self, update: Update<'_>) {
        let Update::Record { record, .. } = update else { return };
        match self.platform.operator_change(&record.key, &record.value) {
            Ok(OperatorChange::Config(config)) => self.apply_config(config, record.offset),
            Ok(OperatorChange::Wave(wave)) => {
                let received = ReceivedWave::new(wave.clone(), self.clock.now());
                let mut waves = self.waves.borrow_mut();
                waves.entry(wave.number).or_insert(received).spec = wave.clone();
                drop(waves);
                for member in self.members.borrow().iter() {
                    let progress = member.job_index.borrow().wave(wave.number);
                    member.send(Event::Wave(wave.clone(), progress));
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

    /// Applies a configuration, unless a newer one is in force.
    fn apply_config(&self, config: FleetConfig, offset: u64) {
        let known = self.config.borrow().as_ref().map(|config| config.version);
        if known.is_some_and(|known| known > config.version) {
            return;
        }
        info!(
            target: "decision",
            "config={} offset={offset} choice=apply queues={} pools={} accounts={} shared_keys={}",
            config.version, config.queues.len(), config.pools.len(),
            config.accounts.as_ref().map_or(0, Accounts::len),
            config.accounts.as_ref().map_or(0, Accounts::shared_keys)
        );
        let config = Rc::new(config);
        *self.config.borrow_mut() = Some(config.clone());
        self.metrics.config_version.set(config.version.0 as i64);
        self.send_all(&Event::Config(config));
    }
}
