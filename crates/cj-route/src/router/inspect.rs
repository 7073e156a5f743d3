//! Read access to the state of the router, and the check of its invariants.

use super::*;

impl Router {
    /// Next time at which [`Router::poll`] has something to do if nothing else happens before; `None` when no request
    /// waits and no upstream is ejected.
    pub fn next_poll(&self) -> Option<Instant> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let busy = self.waiting > 0 || self.pools.iter().any(|p| p.upstreams.any_ejected());
        let queue_check =
            busy.then(|| self.last_check.map(|at| at + QUEUE_CHECK_INTERVAL)).flatten();
        [timer, queue_check].into_iter().flatten().min()
    }

    /// Requests of this node in flight at an upstream.
    pub fn in_flight(&self, upstream: &VmId) -> usize {
        self.pools.iter().filter_map(|p| p.upstreams.find(upstream)).map(|u| u.in_flight).sum()
    }

    /// Requests that wait in a queue or for a retry.
    pub fn waiting_tickets(&self) -> usize {
        self.waiting
    }

    /// Tickets that have not ended.
    pub fn open_tickets(&self) -> usize {
        self.tickets.len()
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Slots of a pool that this node may use without borrowing.
    pub fn capacity(&self, pool: &PoolId) -> usize {
        self.pool_index.get(pool).map_or(0, |&p| self.pools[p].upstreams.capacity())
    }

    /// Slots of this node that a class of a pool uses now.
    pub fn in_use(&self, pool: &PoolId, class: &ClassId) -> usize {
        let pool = self.pool_index.get(pool).map(|&p| &self.pools[p]);
        let class = pool.and_then(|p| p.class_index.get(class).map(|&c| &p.classes[c]));
        class.map_or(0, |c| c.in_use)
    }

    /// Compares the counters that are kept incrementally with a recount, in time linear in the number of tickets.
    ///
    /// # Panics
    ///
    /// When a counter differs from the recount.
    pub fn check_invariants(&self) {
        let mut waiting = 0;
        let mut running: HashMap<(usize, UpstreamKey), usize> = HashMap::new();
        for entry in self.tickets.values() {
            match entry.stage {
                Stage::Waiting | Stage::Backoff => waiting += 1,
                Stage::Running { upstream, .. } => {
                    *running.entry((entry.pool, upstream)).or_default() += 1;
                }
            }
        }
        assert_eq!(waiting, self.waiting, "waiting tickets");
        assert!(
            self.timers.len() <= 2 * self.waiting + STALE_TIMER_SLACK + 1,
            "timers are bounded"
        );
        for (index, pool) in self.pools.iter().enumerate() {
            pool.upstreams.check_invariants();
            for class in &pool.classes {
                class.check_invariants(|t| self.is_queued(t));
            }
            let in_use: usize = pool.classes.iter().map(|c| c.in_use).sum();
            let of_pool = running.iter().filter(|((p, _), _)| *p == index);
            let mut sum = 0;
            for ((_, key), count) in of_pool {
                let upstream = pool.upstreams.get(*key).expect("upstreams in use are kept");
                assert_eq!(upstream.in_flight, *count, "in flight on {}", upstream.vm);
                sum += count;
            }
            assert_eq!(in_use, sum, "slots in use of {}", pool.id);
        }
    }
}
