//! Folds one record into the state: decodes the batch, checks each entry's preconditions and applies it.

mod fleet;
mod jobs;
mod lending;
mod settings;
mod windows;
mod writers;

use std::{collections::BTreeMap, fmt};

use compact_str::{CompactString, ToCompactString};

use cj_record::{Batch, BatchHeader, Entry};
use cj_types::{JobId, NodeIncarnation, OfficeId, Offset, PoolId, UnixMillis, VmId};

use crate::{
    rules::{MAX_DECISIONS, MAX_REASON_BYTES},
    state::{Applied, Decision, Job, State, Verdict, Vm},
};

/// Verdict on an entry that is not rejected, or the reason for its rejection.
type EntryResult = Result<Verdict, CompactString>;

/// Origin of an entry: offset of its batch, writer, and the writer's clock.
#[derive(Clone, Copy)]
struct EntrySource<'a> {
    offset: Offset,
    writer: &'a NodeIncarnation,
    at: UnixMillis,
}

impl EntrySource<'_> {
    fn accepted(&self) -> EntryResult {
        Ok(Verdict::Accepted { offset: self.offset })
    }
}

fn reject<T>(reason: impl Into<CompactString>) -> Result<T, CompactString> {
    Err(reason.into())
}

/// Truncates a reason to [`MAX_REASON_BYTES`], at a character boundary.
fn truncate_reason(mut reason: CompactString) -> CompactString {
    if reason.len() > MAX_REASON_BYTES {
        let end = (0..=MAX_REASON_BYTES).rev().find(|i| reason.is_char_boundary(*i));
        reason.truncate(end.unwrap_or(0));
    }
    reason
}

impl State {
    /// Creates an empty state with the offices' initial public keys. It expects the record at offset 0 next.
    pub fn new(keys: BTreeMap<OfficeId, Vec<[u8; 32]>>) -> State {
        State {
            next: Offset(0),
            now: UnixMillis(0),
            hash: [0; 32],
            behind: false,
            settings_next: Offset(0),
            settings: BTreeMap::new(),
            fleet: Default::default(),
            keys,
            verdicts: Default::default(),
            writers: BTreeMap::new(),
            forgotten: Default::default(),
            jobs: BTreeMap::new(),
            vms: BTreeMap::new(),
            lent: BTreeMap::new(),
            lent_moves: BTreeMap::new(),
            history: Default::default(),
            counters: Default::default(),
            index: Default::default(),
        }
    }

    /// Folds the record at `offset`. The result depends only on the sequence of records. A record that is not the next
    /// one changes nothing and is reported as corrupt: an earlier one has been folded already, a later one means a gap.
    pub fn apply(&mut self, offset: Offset, record: &[u8]) -> Applied {
        if offset != self.next {
            let next = self.next;
            let reason = format!("out of order: offset {offset}, expected {next}").into();
            return Applied::Corrupt { reason };
        }
        let applied = match Batch::decode(record) {
            Ok(batch) => self.apply_batch(offset, batch),
            Err(error) => {
                self.counters.corrupt += 1;
                Applied::Corrupt { reason: error.to_compact_string() }
            }
        };
        self.extend_hash(offset, record, &applied);
        self.next = offset.next();
        applied
    }

    fn apply_batch(&mut self, offset: Offset, batch: Batch) -> Applied {
        let Batch { header, entries } = batch;
        if !self.accept_batch(&header) {
            self.counters.duplicates += 1;
            return Applied::Ignored { writer: header.writer, seq: header.seq };
        }
        self.counters.batches += 1;
        let source = EntrySource { offset, writer: &header.writer, at: header.at };
        let verdicts = entries.into_iter().map(|entry| self.apply_entry(source, entry)).collect();
        let BatchHeader { writer, seq, .. } = header;
        Applied::Batch { writer, seq, verdicts }
    }

    fn apply_entry(&mut self, source: EntrySource<'_>, entry: Entry) -> Verdict {
        match self.dispatch_entry(source, entry) {
            Ok(verdict) => {
                self.counters.accepted += 1;
                verdict
            }
            Err(reason) => {
                self.counters.rejected += 1;
                Verdict::Rejected { reason }
            }
        }
    }

    fn dispatch_entry(&mut self, source: EntrySource<'_>, entry: Entry) -> EntryResult {
        match entry {
            Entry::Tick => source.accepted(),
            Entry::SettingsCopy { offset, payload } => self.copy_setting(source, offset, &payload),
            Entry::Submit(submit) => self.submit(source, submit),
            Entry::Claim { job, attempt, target, lease_ms } => {
                self.claim(source, job, attempt, target, lease_ms)
            }
            Entry::Renew { job, token, lease_ms } => self.renew(source, &job, token, lease_ms),
            Entry::Finish { job, token, outcome } => self.finish(source, &job, token, outcome),
            Entry::Expire { job, token } => self.expire(source, &job, token),
            Entry::Resolve { job, token, outcome, evidence } => {
                self.resolve(source, &job, token, outcome, &evidence)
            }
            Entry::Cancel { job } => self.cancel(source, &job),
            Entry::Register(facts) => self.register(source, facts),
            Entry::Drain { vm, generation, purpose } => {
                self.drain(source, &vm, generation, purpose)
            }
            Entry::Drained { vm, op } => self.drained(source, &vm, op),
            Entry::Reboot { vm, op } => self.reboot(source, &vm, op),
            Entry::Rebooted { vm, op, boot } => self.rebooted(source, &vm, op, boot),
            Entry::Move { vm, generation, from, to } => {
                self.move_vm(source, &vm, generation, &from, to)
            }
            Entry::Undrain { vm, op } => self.undrain(source, &vm, op),
            Entry::Health { vm, generation, healthy, boot } => {
                self.health(source, &vm, generation, healthy, boot)
            }
            Entry::TakeOut { vm, generation } => self.take_out(source, &vm, generation),
            Entry::PutBack { vm, generation } => self.put_back(source, &vm, generation),
            Entry::Remove { vm, generation } => self.remove(source, &vm, generation),
            Entry::Unknown { kind, .. } => {
                self.counters.unknown += 1;
                self.behind = true;
                reject(format!("unknown entry kind {kind}; upgrade this node"))
            }
        }
    }

    /// Extends the hash chain by the offset, the record and the verdicts.
    fn extend_hash(&mut self, offset: Offset, record: &[u8], applied: &Applied) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.hash);
        hasher.update(&offset.0.to_le_bytes());
        hasher.update(record);
        match applied {
            Applied::Batch { verdicts, .. } => {
                for verdict in verdicts {
                    match verdict {
                        Verdict::Accepted { .. } => hasher.update(b"a"),
                        Verdict::Existing { .. } => hasher.update(b"e"),
                        Verdict::Rejected { reason } => {
                            hasher.update(b"r").update(reason.as_bytes())
                        }
                    };
                }
            }
            Applied::Ignored { .. } => drop(hasher.update(b"i")),
            Applied::Corrupt { .. } => drop(hasher.update(b"c")),
        }
        self.hash = *hasher.finalize().as_bytes();
    }

    fn record_decision(
        &mut self,
        source: EntrySource<'_>,
        subject: impl fmt::Display,
        text: CompactString,
    ) {
        if self.history.len() == MAX_DECISIONS {
            self.history.pop_front();
        }
        self.history.push_back(Decision {
            offset: source.offset,
            at: self.now,
            node: source.writer.clone(),
            subject: subject.to_compact_string(),
            text,
        });
    }

    /// Active VMs of the pool.
    pub fn active_vms(&self, pool: &PoolId) -> impl Iterator<Item = (&VmId, &Vm)> {
        self.members(pool).filter(|(_, vm)| vm.phase.is_active())
    }

    /// All VMs that currently belong to the pool.
    pub fn members(&self, pool: &PoolId) -> impl Iterator<Item = (&VmId, &Vm)> {
        let members = self.index.pools.get(pool).into_iter().flat_map(|p| &p.members);
        members.filter_map(|id| self.vms.get_key_value(id))
    }

    /// Number of active VMs of the pool.
    pub fn active_count(&self, pool: &PoolId) -> u32 {
        self.index.pools.get(pool).map_or(0, |p| p.active)
    }

    /// Number of claimed jobs whose target is this VM.
    pub fn claim_count(&self, vm: &VmId) -> u32 {
        self.index.claims.get(vm).copied().unwrap_or(0)
    }

    /// Jobs that have not ended: queued, claimed, or with an unknown outcome.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        let jobs = self.index.open_jobs.iter().filter_map(|id| self.jobs.get_key_value(id));
        jobs.map(|(id, job)| (id, &**job))
    }
}
