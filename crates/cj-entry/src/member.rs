//! An entry node's part in one cell.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{Event, JobIndex, Log, OVERFLOW_LOGS, codec, job_index::Change};
use cj_types::Clock;
use futures::future::join_all;
use log::warn;
use tokio::sync::{Notify, mpsc};

use crate::{
    follow::{Link, Update, follow},
    layout::CellId,
    node::EntryNode,
    outbox::Outbox,
    platform::{Platform, Topic},
};

/// Time between two reads of the jobs by the owner.
const OWNER_PAUSE: Duration = Duration::from_millis(8);

/// Time between two reads of the jobs by other nodes; callers may see a state this late.
const STANDBY_PAUSE: Duration = Duration::from_millis(150);

/// What a node knows of a cell and does in it.
pub struct CellMember<P, C> {
    /// The node.
    pub node: Rc<EntryNode<P, C>>,
    /// The cell.
    pub id: CellId,
    /// The node follows the cell all the time.
    pub(crate) is_home: bool,
    /// The node follows the cell now.
    following: Cell<bool>,
    /// The cell's jobs, while it is followed.
    pub book: RefCell<JobIndex>,
    /// State of the log of jobs.
    pub jobs: Link,
    /// States of the overflow logs.
    pub overflows: [Link; OVERFLOW_LOGS as usize],
    /// Records of callers that wait for the store.
    pub outbox: Outbox,
    /// The book changed.
    pub changed: Notify,
    /// When the owner was last heard of in the log of jobs.
    pub heard: Cell<Option<Instant>>,
    /// Where events go while this node owns the cell.
    pub events: RefCell<Option<mpsc::UnboundedSender<Event>>>,
    /// The scheduler needs an up-to-date list of VMs.
    pub wants_vms: Cell<bool>,
    /// Waves of which the cell has no VM left to maintain, while this node owns it.
    pub(crate) waves: RefCell<BTreeSet<u64>>,
    /// This node has claimed the cell.
    pub(crate) claimed: Notify,
}

impl<P, C> CellMember<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// A member that knows nothing of the cell yet.
    pub(crate) fn new(node: Rc<EntryNode<P, C>>, id: CellId, is_home: bool) -> Rc<Self> {
        let outbox = Outbox::new(&node.settings.node, id);
        Rc::new(CellMember {
            node,
            id,
            is_home,
            following: Cell::new(is_home),
            book: RefCell::default(),
            jobs: Link::default(),
            overflows: Default::default(),
            outbox,
            changed: Notify::new(),
            heard: Cell::default(),
            events: RefCell::default(),
            wants_vms: Cell::default(),
            waves: RefCell::default(),
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

    /// True while all records that are older than a moment are known, so that a job without a record doesn't exist.
    pub fn knows_all_jobs(&self) -> bool {
        let now = self.node.clock.now();
        self.jobs.is_fresh(now) && self.overflows.iter().all(|link| link.is_fresh(now))
    }

    /// Whether each of the cells has no VM left to maintain for a wave, as the owner of this one knows it.
    pub(crate) fn cells_done(&self, wave: u64, cells: u16) -> Vec<bool> {
        let mut done = self.node.roster.borrow().done_with(wave, cells);
        done[self.id.index()] = self.waves.borrow().contains(&wave);
        done
    }

    /// Sends an event to the scheduler, if this node owns the cell.
    pub fn send(&self, event: Event) {
        if let Some(events) = &*self.events.borrow() {
            // The owner's loop ends before its receiver is dropped, so a failed send concerns an ownership that is over.
            let _ = events.send(event);
        }
    }

    /// Appends the records of callers, and follows the cell if it is one of the node's homes, until the task is dropped.
    pub(crate) async fn run_links(&self) {
        let outbox = self.outbox.run(&self.node.platform, &self.node.clock);
        let homes = async {
            if self.is_home {
                self.follow().await;
            }
        };
        futures::join!(outbox, homes);
    }

    /// Follows a cell that isn't one of the node's homes for as long as `work` takes, and then forgets it.
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
        self.book.take();
        self.heard.set(None);
        self.jobs.reset();
        self.overflows.iter().for_each(Link::reset);
    }

    /// Follows the logs of the cell until the task is dropped.
    async fn follow(&self) {
        let jobs = self.follow_log(Log::Jobs, &self.jobs);
        let links = (0..OVERFLOW_LOGS).zip(&self.overflows);
        let overflows = join_all(links.map(|(n, link)| self.follow_log(Log::Overflow(n), link)));
        futures::join!(jobs, overflows);
    }

    async fn follow_log(&self, log: Log, link: &Link) {
        let pause = async || {
            let span = if self.is_owned() { OWNER_PAUSE } else { STANDBY_PAUSE };
            // A new owner reads at once: it waits for its own first record.
            let _ = tokio::time::timeout(span, self.claimed.notified()).await;
        };
        let apply = |update: Update<'_>| self.read_job(log, update);
        let topic = Topic::Jobs(self.id, log);
        follow(&self.node.platform, &self.node.clock, topic, link, pause, apply).await;
    }

    fn read_job(&self, log: Log, update: Update<'_>) {
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
        let change = self.book.borrow_mut().apply(log, record.offset, decoded, in_order);
        match change {
            Change::Submitted(job) => {
                let event = Event::for_job(&self.book.borrow(), job);
                if let Some(event) = event {
                    self.send(event);
                }
            }
            Change::Cancelled(job) => self.send(Event::Cancelled(job)),
            Change::Owner => self.heard.set(Some(self.node.clock.now())),
            Change::Progressed(_) | Change::Unchanged => {}
        }
        self.changed.notify_waiters();
    }
}
