//! Cuts of the simulated network: each path between an owner and what it calls, in each direction.

use std::collections::HashMap;

/// What an owner calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Peer {
    /// Appends of heartbeats and of records to the log of jobs.
    Appends,
    /// Reads of the log of jobs and of the overflow log.
    JobReads,
    /// Reads of registrations, of the configuration and of waves.
    Registrations,
    /// Lists of VMs.
    VmList,
    /// Commands that move or maintain VMs.
    VmCommands,
    /// The worker at this index of `World::workers`, and those that replace it on the same VM.
    Worker(usize),
}

/// What is lost on a cut path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// Calls never arrive.
    Calls,
    /// Calls are carried out, and their answers are lost.
    Answers,
}

/// When the losses on a path end, in ms.
#[derive(Clone, Copy, Debug, Default)]
struct Cut {
    calls_until: u64,
    answers_until: u64,
}

/// Cuts by the index of the owner and its peer.
#[derive(Debug, Default)]
pub(crate) struct Network {
    cuts: HashMap<(usize, Peer), Cut>,
    /// When peers that no owner reaches are back, in ms.
    isolated: HashMap<Peer, u64>,
}

impl Network {
    /// Cuts a path until the given time; an earlier cut may last longer.
    pub(crate) fn cut(&mut self, owner: usize, peer: Peer, lost: Lost, until: u64) {
        log::info!(target: "sim", "owner={owner} peer={peer:?} lost={lost:?} until={until}");
        let cut = self.cuts.entry((owner, peer)).or_default();
        let end = match lost {
            Lost::Calls => &mut cut.calls_until,
            Lost::Answers => &mut cut.answers_until,
        };
        *end = until.max(*end);
    }

    /// Cuts a peer off from all owners, later ones included, until the given time.
    pub(crate) fn isolate(&mut self, peer: Peer, until: u64) {
        log::info!(target: "sim", "peer={peer:?} isolated until={until}");
        let end = self.isolated.entry(peer).or_default();
        *end = until.max(*end);
    }

    /// True while no owner reaches the peer.
    pub(crate) fn is_isolated(&self, peer: Peer, now: u64) -> bool {
        self.isolated.get(&peer).is_some_and(|until| *until > now)
    }

    /// Ends all cuts.
    pub(crate) fn restore(&mut self) {
        self.cuts.clear();
        self.isolated.clear();
    }

    fn cut_of(&self, owner: usize, peer: Peer) -> Cut {
        self.cuts.get(&(owner, peer)).copied().unwrap_or_default()
    }

    /// True if calls of the owner reach the peer.
    pub(crate) fn delivers_calls(&self, owner: usize, peer: Peer, now: u64) -> bool {
        self.cut_of(owner, peer).calls_until <= now && !self.is_isolated(peer, now)
    }

    /// True if answers of the peer reach the owner.
    pub(crate) fn delivers_answers(&self, owner: usize, peer: Peer, now: u64) -> bool {
        self.cut_of(owner, peer).answers_until <= now && !self.is_isolated(peer, now)
    }

    /// True if the owner's calls to the peer are carried out and answered.
    pub(crate) fn is_open(&self, owner: usize, peer: Peer, now: u64) -> bool {
        self.delivers_calls(owner, peer, now) && self.delivers_answers(owner, peer, now)
    }
}
