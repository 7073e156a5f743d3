//! How owners reach the simulated store: heartbeats, records, notifications and lists of VMs.

use std::{collections::VecDeque, time::Duration};

use cj_sched::{
    Action, Event, Log, Record,
    sched::{OWNER_TIMEOUT, OwnershipLease},
};
use rand::Rng;

use crate::{
    network::{Lost, Peer},
    world::{SimEvent, World},
};

/// Interval between an owner's polls, and between its heartbeats.
const POLL_INTERVAL_MS: u64 = 25;

/// Delay before an owner repeats an append that wasn't answered.
pub(crate) const APPEND_RETRY_MS: u64 = 200;

/// Records that an owner writes, in the order of their batches.
#[derive(Default)]
pub(crate) struct Appends {
    /// Batches without an answer from the store, with their numbers.
    batches: VecDeque<(u64, Vec<Record>)>,
    /// The store has carried out the first of them.
    carried_out: bool,
}

impl World {
    /// True if the owner's calls to the peer are carried out and answered now.
    pub(crate) fn reaches(&self, owner: usize, peer: Peer) -> bool {
        self.network.is_open(owner, peer, self.now)
    }

    /// Cuts the latest owner off from the store and from notifications, for good.
    pub(crate) fn disconnect_owner(&mut self) {
        let Some(last) = self.owners.len().checked_sub(1) else { return };
        for peer in [Peer::Appends, Peer::JobReads, Peer::Registrations, Peer::VmList] {
            self.network.cut(last, peer, Lost::Calls, u64::MAX);
        }
    }

    /// Sends an event to all active owners.
    pub(crate) fn notify_owners(&mut self, event: &Event) {
        for owner in 0..self.owners.len() {
            self.notify(owner, event, 2);
        }
    }

    /// Sends an event to an owner, which receives it after `delay` ms, or once it reads registrations again.
    pub(crate) fn notify(&mut self, owner: usize, event: &Event, delay: u64) {
        let reaches = self.reaches(owner, Peer::Registrations);
        let state = &mut self.owners[owner];
        if !state.active {
            return;
        }
        let event = event.clone();
        if reaches && state.missed_events.is_empty() {
            self.schedule(delay, SimEvent::Notify { owner, event });
        } else {
            state.missed_events.push(event);
        }
    }

    /// Sends an owner that reads registrations again what it has missed.
    fn send_missed_events(&mut self, owner: usize) {
        if self.reaches(owner, Peer::Registrations) {
            for event in std::mem::take(&mut self.owners[owner].missed_events) {
                self.schedule(2, SimEvent::Notify { owner, event });
            }
        }
    }

    /// When the process of the event's owner runs again, if it stands still.
    pub(crate) fn resumption_of(&self, event: &SimEvent) -> Option<u64> {
        let owner = match event {
            SimEvent::Poll { owner }
            | SimEvent::Notify { owner, .. }
            | SimEvent::ReadOverflow { owner }
            | SimEvent::RetryAppend { owner }
            | SimEvent::Confirm { owner, .. } => *owner,
            _ => return None,
        };
        Some(self.owners[owner].paused_until).filter(|until| *until > self.now)
    }

    /// Sends a heartbeat of the owner. It ends its ownership if the answer names a later owner.
    fn send_heartbeat(&mut self, owner: usize) {
        if !self.network.delivers_calls(owner, Peer::Appends, self.now) {
            return;
        }
        let is_current = self.owners[owner].epoch == self.job_index.epoch();
        if is_current {
            self.heartbeat_at = self.now;
        }
        if self.network.delivers_answers(owner, Peer::Appends, self.now) {
            let (sent, accepted) = (self.now, is_current);
            let late = self.late_heartbeats;
            if late == 0 {
                self.confirm(owner, sent, accepted);
            } else {
                self.schedule(late, SimEvent::Confirm { owner, sent, accepted });
            }
        }
    }

    /// The owner receives the answer to a heartbeat that it sent at `sent`.
    pub(crate) fn confirm(&mut self, owner: usize, sent: u64, accepted: bool) {
        let state = &mut self.owners[owner];
        if accepted {
            state.confirmed_at = state.confirmed_at.max(sent);
        } else {
            state.active = false;
        }
    }

    /// Earliest time at which another node may take over, in ms.
    pub(crate) fn claimable_at(&self) -> u64 {
        self.heartbeat_at + OWNER_TIMEOUT.as_millis() as u64
    }

    pub(crate) fn poll_owner(&mut self, owner: usize) {
        if self.owners[owner].active {
            self.read_missed_records(owner);
        }
        if self.owners[owner].active {
            self.send_heartbeat(owner);
        }
        if !self.owners[owner].active {
            return;
        }
        self.send_missed_events(owner);
        if self.rng.random_bool(0.05) && self.reaches(owner, Peer::VmList) {
            let vms = Event::VmsListed(self.clocks().mono, self.vm_rows());
            let delay = self.vm_list_ms;
            self.schedule(delay, SimEvent::Notify { owner, event: vms });
        }
        self.run_actions(owner);
        self.schedule(POLL_INTERVAL_MS, SimEvent::Poll { owner });
    }

    /// Polls the owner's scheduler and starts its actions.
    pub(crate) fn run_actions(&mut self, owner: usize) {
        let now = self.clocks();
        let confirmed = self.start + Duration::from_millis(self.owners[owner].confirmed_at);
        self.owners[owner].scheduler.set_ownership(OwnershipLease::from_heartbeat(confirmed));
        for action in self.owners[owner].scheduler.poll(now) {
            match action {
                Action::StepDown => {
                    self.owners[owner].active = false;
                    return;
                }
                Action::Write(number, records) => {
                    let delay = self.append_ms;
                    self.schedule(delay, SimEvent::Append { owner, number, records });
                }
                other => self.send_call(owner, other),
            }
        }
    }

    /// A batch of records of the owner is ready to be appended; batches reach the store in their order.
    pub(crate) fn append_records(&mut self, owner: usize, number: u64, records: Vec<Record>) {
        let appends = &mut self.owners[owner].appends;
        appends.batches.push_back((number, records));
        if appends.batches.len() == 1 {
            self.append_batches(owner);
        }
    }

    /// Appends the owner's batches up to the first that isn't answered.
    pub(crate) fn append_batches(&mut self, owner: usize) {
        while self.owners[owner].active && !self.owners[owner].appends.batches.is_empty() {
            if !self.append_batch(owner) {
                return self.schedule(APPEND_RETRY_MS, SimEvent::RetryAppend { owner });
            }
        }
    }

    /// Appends the owner's first batch, unless an earlier attempt was carried out. Returns true if the answer arrives.
    fn append_batch(&mut self, owner: usize) -> bool {
        if !self.network.delivers_calls(owner, Peer::Appends, self.now) {
            return false;
        }
        let answered = self.network.delivers_answers(owner, Peer::Appends, self.now);
        let is_current = self.owners[owner].epoch == self.job_index.epoch();
        let appends = &mut self.owners[owner].appends;
        if !is_current && !appends.carried_out {
            self.owners[owner].active &= !answered;
            return answered;
        }
        if !std::mem::replace(&mut appends.carried_out, true) {
            for record in appends.batches[0].1.clone() {
                self.append(Log::Jobs, record);
            }
        }
        if answered {
            let appends = &mut self.owners[owner].appends;
            appends.carried_out = false;
            let (number, _) = appends.batches.pop_front().expect("called for a batch");
            self.schedule(3, SimEvent::Notify { owner, event: Event::Written(number) });
        }
        answered
    }
}
