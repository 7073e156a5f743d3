//! The state of an entry node for one cell.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Event, JobIndex, LoadReport, Log, OVERFLOW_LOGS, Record, codec, job_index::Change,
    sched::OWNER_TIMEOUT,
};
use cj_types::Clock;
use futures::future::join_all;
use log::warn;
use tokio::sync::{Notify, mpsc};

use crate::{
    follow::{FollowState, Update, follow},
    layout::CellId,
    load_view::LoadView,
    node::EntryNode,
    outbox::Outbox,
    placement_query::QuerySender,
    platform::{Platform, Topic},
};

/// Time between two reads of the job log by the owner.
const OWNER_READ_INTERVAL: Duration = Duration::from_millis(8);

/// Time between two reads of the job log by other nodes; the state that callers get may be this old.
const STANDBY_READ_INTERVAL: Duration = Duration::from_millis(150);

/// What a node keeps for one cell, as a member of the group of nodes that serve it: the jobs it has read, the records
/// it appends, and the scheduler's inputs while it owns the cell.
pub struct CellMember<P, C> {
    /// The node that this state belongs to.
    pub node: Rc<EntryNode<P, C>>,
    /// Id of the cell.
    pub id: CellId,
    /// Whether the cell is a home cell, which the node follows all the time; see
    /// [`Layout::home_cells`](crate::layout::Layout::home_cells).
    pub(crate) is_home: bool,
    /// Whether the node follows the cell at present.
    following: Cell<bool>,
    /// The cell's jobs, while it is followed.
    pub job_index: RefCell<JobIndex>,
    /// How far the job log has been read.
    pub job_log: FollowState,
    /// How far the overflow logs have been read.
    pub overflow_logs: [FollowState; OVERFLOW_LOGS as usize],
    /// Records of callers to append.
    pub outbox: Outbox,
    /// Notified when the job index changes.
    pub changed: Notify,
    /// When the owner's last heartbeat was read from the job log.
    pub last_heartbeat: Cell<Option<Instant>>,
    /// When the last heartbeat of another node's ownership that wasn't released was read from the job log.
    earlier_heartbeat: Cell<Option<Instant>>,
    /// Sender of events to the scheduler, while this node owns the cell.
    pub events: RefCell<Option<mpsc::UnboundedSender<Event>>>,
    /// Sender of placement queries to the scheduler, while this node owns the cell.
    pub(crate) queries: RefCell<Option<QuerySender>>,
    /// The scheduler needs an up-to-date list of VMs.
    pub needs_vm_list: Cell<bool>,
    /// Waves of which the cell has no VM left to maintain, while this node owns it.
    pub(crate) completed_waves: RefCell<BTreeSet<u64>>,
    /// What is known about the load of the cell.
    pub(crate) load_view: RefCell<LoadView>,
    /// Load to be published with the next heartbeat and when it was taken, while this node owns the cell.
    pub(crate) load_report: RefCell<Option<(LoadReport, Instant)>>,
    /// Notified when this node has claimed the cell.
    pub(crate) claimed: Notify,
}

impl<P, C> CellMember<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// The initial state, before anything of the cell is read.
    pub(crate) fn new(node: Rc<EntryNode<P, C>>, id: CellId, is_home: bool) -> Rc<Self> {
        let outbox = Outbox::new(&node.settings.node, id);
        Rc::new(CellMember {
            node,
            id,
            is_home,
            following: Cell::new(is_home),
            job_index: RefCell::default(),
            job_log: FollowState::default(),
            overflow_logs: Default::default(),
            outbox,
            changed: Notify::new(),
            last_heartbeat: Cell::default(),
            earlier_heartbeat: Cell::default(),
            events: RefCell::default(),
            queries: RefCell::default(),
            needs_vm_list: Cell::default(),
            completed_waves: RefCell::default(),
            load_view: RefCell::default(),
            load_report: RefCell::default(),
            claimed: Notify::new(),
        })
    }

    /// True while this node follows the cell.
    pub fn is_followed(&self) -> bool {
        self.following.get()
    }

    /// True while this node owns the cell.
    pub fn is_owned(&self) -> bool {
        self.events.borrow().is_some()
    }

    /// True while all logs of the cell are read up to date, so that a job that isn't in the index doesn't exist.
    pub fn is_caught_up(&self) -> bool {
        let now = self.node.clock.now();
        self.job_log.is_fresh(now) && self.overflow_logs.iter().all(|state| state.is_fresh(now))
    }

    /// True when all records of the cell's logs that were appended before `moment` have been read.
    pub(crate) fn is_read_until(&self, moment: Instant) -> bool {
        let mut logs = std::iter::once(&self.job_log).chain(&self.overflow_logs);
        logs.all(|state| state.is_read_until(moment))
    }

    /// Whether each of the cells has no VM left to maintain for a wave. For this cell, the state of its own scheduler is
    /// used; for the others, the heartbeats of their owners.
    pub(crate) fn cells_completed(&self, wave: u64, cells: u16) -> Vec<bool> {
        let mut done = self.node.owners.borrow().cells_completed(wave, cells);
        done[self.id.index()] = self.completed_waves.borrow().contains(&wave);
        done
    }

    /// Sends an event to the scheduler, if this node owns the cell.
    pub fn send(&self, event: Event) {
        if let Some(events) = &*self.events.borrow() {
            // The owner's loop stops before its receiver is dropped, so a failed send concerns an ownership that has
            // ended.
            let _ = events.send(event);
        }
    }

    /// Records that a heartbeat of the owner was read.
    fn record_heartbeat(&self) {
        let (now, job_index) = (self.node.clock.now(), self.job_index.borrow());
        self.last_heartbeat.set(Some(now));
        let Some(owner) = job_index.owner() else { return };
        if owner.heartbeat.released {
            self.earlier_heartbeat.set(None);
        } else if owner.heartbeat.node != self.node.settings.node {
            self.earlier_heartbeat.set(Some(now));
        }
    }

    /// Age of the last known heartbeat of the owner, and of the load in it.
    pub(crate) fn load_age(&self) -> Option<Duration> {
        let now = self.node.clock.now();
        if self.is_followed() {
            return self.last_heartbeat.get().map(|at| now.saturating_duration_since(at));
        }
        self.node.owners.borrow().heartbeat_age(self.id, now)
    }

    /// Time from which no earlier owner takes itself for the only one; `None` if there is nothing to wait for. An earlier owner's
    /// heartbeat may have been appended after this node had found the cell without an owner.
    pub(crate) fn earlier_owner_until(&self) -> Option<Instant> {
        self.earlier_heartbeat.get().map(|read_at| read_at + OWNER_TIMEOUT)
    }

    /// Appends the records of callers, and follows the cell if it is a home cell, until the task is dropped.
    pub(crate) async fn run(&self) {
        let outbox = self.outbox.run(&self.node.platform, &self.node.clock);
        let home = async {
            if self.is_home {
                self.follow().await;
            }
        };
        futures::join!(outbox, home);
    }

    /// Temporarily follows a cell that isn't a home cell, for as long as `work` runs, then discards what was read.
    pub(crate) async fn follow_during<F>(&self, work: F)
    where
        F: Future<Output = ()>,
    {
        self.following.set(true);
        tokio::select! {
            () = self.follow() => {}
            () = work => {}
        }
        self.following.set(false);
        self.job_index.take();
        self.last_heartbeat.set(None);
        self.earlier_heartbeat.set(None);
        self.job_log.reset();
        self.overflow_logs.iter().for_each(FollowState::reset);
    }

    /// Follows the logs of the cell until the task is dropped.
    async fn follow(&self) {
        let jobs = self.follow_log(Log::Jobs, &self.job_log);
        let logs = (0..OVERFLOW_LOGS).zip(&self.overflow_logs);
        let overflow_logs =
            join_all(logs.map(|(n, state)| self.follow_log(Log::Overflow(n), state)));
        futures::join!(jobs, overflow_logs);
    }

    async fn follow_log(&self, log: Log, state: &FollowState) {
        let pause = async || {
            let interval =
                if self.is_owned() { OWNER_READ_INTERVAL } else { STANDBY_READ_INTERVAL };
            // A new owner reads at once, since it waits for its own first record.
            let _ = tokio::time::timeout(interval, self.claimed.notified()).await;
        };
        let apply = |update: Update<'_>| self.apply_job_record(log, update);
        let topic = Topic::Jobs(self.id, log);
        follow(&self.node.platform, &self.node.clock, topic, state, pause, apply).await;
    }

    fn apply_job_record(&self, log: Log, update: Update<'_>) {
        let Update::Record { record, in_order } = update else {
            return self.changed.notify_waiters();
        };
        let decoded = match codec::decode(&record.key, &record.value) {
            Ok(decoded) => decoded,
            Err(error) => {
                warn!(
                    target: "link",
                    "topic={log}@{} offset={} choice=skip cause=\"{error}\"", self.id, record.offset
                );
                return;
            }
        };
        if let Record::Load(report) = decoded {
            return self.record_load(*report);
        }
        let change = self.job_index.borrow_mut().apply(log, record.offset, decoded, in_order);
        match change {
            Change::Submitted(job) => {
                let event = Event::for_job(&self.job_index.borrow(), job);
                if let Some(event) = event {
                    self.send(event);
                }
            }
            Change::Cancelled(job) => self.send(Event::Cancelled(job)),
            Change::Owner => self.record_heartbeat(),
            Change::Progressed(_) | Change::Unchanged => {}
        }
        self.changed.notify_waiters();
    }
}
