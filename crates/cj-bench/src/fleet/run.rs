//! One run: nodes plan, the fold decides, the accepted entries are carried out on the fake platform.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use ed25519_dalek::SigningKey;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use cj_fleet::{Evidence, Proposal, UsageLog, affected_vm, required_probes};
use cj_fold::{Applied, State, Verdict, Vm, VmPhase};
use cj_record::{Batch, BatchHeader, Entry, SettingRecord, SignedSetting};
use cj_settings::read_fleet_ini;
use cj_types::{
    Error, ErrorKind, Incarnation, NodeIncarnation, OfficeId, Offset, OpId, PoolId, Result,
    Sequence, UnixMillis, Version, VmId,
};

use super::{Audit, Faults, Layout, Platform};

/// A planner; the baselines have their own.
pub type Planner = fn(&State, &Evidence, UnixMillis) -> Vec<Proposal>;

/// Entries per batch; a fleet entry takes about 100 bytes of the 64 KiB.
const BATCH_ENTRIES: usize = 300;

/// Longest step of the virtual clock; fold time may advance by 60 s per batch.
const MAX_STEP: Duration = Duration::from_secs(30);

/// Usual shortest step: a plan, its append and its read-back.
const TICK: Duration = Duration::from_secs(1);

/// Key of the office that publishes the settings of a run.
const OFFICE_KEY: [u8; 32] = [7; 32];

/// The full check of the state is made after this many records; it takes time in proportion to the state.
const CHECK_PERIOD: u64 = 64;

/// A node that plans and carries out its own entries.
struct Planning {
    id: NodeIncarnation,
    seq: Sequence,
    /// Reboots whose call was not answered yet.
    unanswered: Vec<(VmId, OpId)>,
}

/// State, platform and nodes of a run.
pub struct Run {
    /// The shared state.
    pub state: State,
    /// The platform.
    pub platform: Platform,
    /// Virtual time.
    pub now: UnixMillis,
    /// Shortest step of the virtual clock.
    pub tick: Duration,
    /// Checks of the invariants.
    pub audit: Audit,
    /// Use of the spare pool.
    pub usage: UsageLog,
    /// VMs that each pool's work could use.
    pub demand: BTreeMap<PoolId, u32>,
    /// Longest time that one plan took.
    pub slowest_plan: Duration,
    /// Sum of the planning times and number of plans.
    pub plan_time: (Duration, u32),
    /// Random numbers for the faults that the caller injects.
    pub rng: Pcg64,
    nodes: Vec<Planning>,
    offset: Offset,
    events: u64,
}

impl Run {
    /// Starts a run with all VMs registered at `start`. `nodes` nodes plan at the same time.
    pub fn new(
        layout: &Layout,
        faults: Faults,
        nodes: u64,
        start: UnixMillis,
        seed: u64,
    ) -> Result<Self> {
        let mut rng = Pcg64::seed_from_u64(seed);
        let platform_rng = Pcg64::seed_from_u64(rng.random());
        let key = SigningKey::from_bytes(&OFFICE_KEY);
        let office: OfficeId = "office".parse()?;
        let keys = BTreeMap::from([(office.clone(), vec![key.verifying_key().to_bytes()])]);
        let state = State::new(keys);
        let vms = layout.vms()?;
        let platform = Platform::new(vms.iter().cloned(), faults, platform_rng);
        let node = |i: u64| {
            let node = format!("node-{i}").as_str().try_into()?;
            let id = NodeIncarnation { node, incarnation: Incarnation(i + 1) };
            Ok(Planning { id, seq: Sequence(0), unanswered: Vec::new() })
        };
        let mut run = Run {
            state,
            platform,
            now: start,
            tick: TICK,
            audit: Audit::default(),
            usage: UsageLog::default(),
            demand: BTreeMap::new(),
            slowest_plan: Duration::ZERO,
            plan_time: (Duration::ZERO, 0),
            rng,
            nodes: (0..nodes).map(node).collect::<Result<_>>()?,
            offset: Offset(0),
            events: 0,
        };
        for i in 0..run.nodes.len() {
            run.append(i, Vec::new())?;
        }
        for facts in vms.chunks(BATCH_ENTRIES) {
            run.append(0, facts.iter().cloned().map(Entry::Register).collect())?;
        }
        run.publish(&layout.settings(), &office, &key)?;
        let spares: Vec<(VmId, PoolId)> =
            run.state.vms.iter().map(|(id, vm)| (id.clone(), vm.pool.clone())).collect();
        for (vm, pool) in spares {
            let idle = run.state.fleet.pools[&pool].spare;
            run.platform.assign(&vm, &pool, idle);
        }
        Ok(run)
    }

    /// Publishes settings through the fold. Fails when one of them is refused.
    fn publish(&mut self, text: &str, office: &OfficeId, key: &SigningKey) -> Result<()> {
        let failed = |text: String| {
            Error::new(ErrorKind::Failed(text.into()), "correct the settings of the benchmark")
        };
        let values = read_fleet_ini("benchmark", text, office)
            .map_err(|errors| failed(errors.iter().map(|e| format!("{e}\n")).collect()))?;
        for (path, value) in values {
            let expected = Version(0);
            let record = SettingRecord { path, value: Some(value), expected, nonce: 0 };
            let payload = SignedSetting::sign(&record, key)?.encode()?;
            let offset = self.state.settings_next;
            self.append(0, vec![Entry::SettingsCopy { offset, payload }])?;
        }
        let refused = self.state.verdicts.iter().find(|v| v.rejected.is_some());
        refused.map_or(Ok(()), |verdict| Err(failed(format!("{verdict:?}"))))
    }

    /// A node stops for good, with the calls it has not made yet.
    pub fn stop_node(&mut self) {
        if self.nodes.len() > 1 {
            self.nodes.remove(0);
        }
    }

    /// Observations of a node.
    pub fn evidence(&self) -> Evidence {
        let mut evidence = Evidence {
            listed: self.platform.listed().to_vec(),
            demand: self.demand.clone(),
            ..Evidence::default()
        };
        for id in self.state.vms.keys() {
            evidence.in_flight.insert(id.clone(), self.platform.in_flight(id, self.now));
        }
        for id in required_probes(&self.state, &evidence, self.now) {
            if let Some(probe) = self.platform.probe(&id, self.now) {
                evidence.probes.insert(id, probe);
            }
        }
        evidence
    }

    /// All nodes plan on the same state, then their proposals are folded one after another. The clock then moves to the
    /// next event of the platform, by at least one tick.
    pub fn step(&mut self, planner: Planner) -> Result<()> {
        self.platform.advance(self.now);
        self.retry_calls();
        let evidence = self.evidence();
        let events = self.events;
        let mut plans = Vec::new();
        for _ in &self.nodes {
            let begin = Instant::now();
            plans.push(planner(&self.state, &evidence, self.now));
            let taken = begin.elapsed();
            self.slowest_plan = self.slowest_plan.max(taken);
            self.plan_time = (self.plan_time.0 + taken, self.plan_time.1 + 1);
        }
        for (node, plan) in plans.into_iter().enumerate() {
            let mut entries: Vec<Entry> = plan.into_iter().map(|p| p.entry).collect();
            if entries.is_empty() {
                entries.push(Entry::Tick);
            }
            for entries in entries.chunks(BATCH_ENTRIES) {
                self.append(node, entries.to_vec())?;
            }
        }
        self.audit.observe(&self.state, self.now, &self.demand);
        let idle = events == self.events;
        let next = self.platform.next_event(self.now).filter(|_| idle);
        let longest = self.now + if idle { MAX_STEP } else { self.tick };
        self.now = next.unwrap_or(longest).clamp(self.now + self.tick, longest);
        Ok(())
    }

    /// Moves the clock on at most to `until` instead of the next event.
    pub fn step_until(&mut self, planner: Planner, until: UnixMillis) -> Result<()> {
        let before = self.now;
        self.step(planner)?;
        self.now = self.now.min(until.max(before + self.tick));
        Ok(())
    }

    fn append(&mut self, node: usize, entries: Vec<Entry>) -> Result<()> {
        let writer = &mut self.nodes[node];
        writer.seq = writer.seq.next();
        let header = BatchHeader { writer: writer.id.clone(), seq: writer.seq, at: self.now };
        let bytes = Batch { header, entries: entries.clone() }.encode()?;
        let offset = self.offset;
        let before = self.concerned(&entries);
        let applied = self.state.apply(offset, &bytes);
        self.offset = offset.next();
        let Applied::Batch { verdicts, .. } = applied else {
            let kind = ErrorKind::Failed(format!("{applied:?}").into());
            return Err(Error::new(kind, "a batch of the run must be folded"));
        };
        let accepted = entries.into_iter().zip(&verdicts);
        let accepted: Vec<Entry> = accepted
            .filter(|(_, v)| matches!(v, Verdict::Accepted { .. }))
            .map(|(entry, _)| entry)
            .collect();
        self.audit.batch(&before, &self.state, &accepted);
        for entry in accepted {
            self.execute(node, entry);
        }
        self.retry_calls();
        if !before.is_empty() {
            self.usage.observe(&self.state);
        }
        if offset.0.is_multiple_of(CHECK_PERIOD) {
            self.state.check_invariants()?;
        }
        Ok(())
    }

    /// VMs that the entries concern, as they are now.
    fn concerned(&self, entries: &[Entry]) -> BTreeMap<VmId, Vm> {
        let vms = entries.iter().filter_map(affected_vm);
        vms.filter_map(|id| self.state.vms.get_key_value(id))
            .map(|(id, vm)| (id.clone(), vm.clone()))
            .collect()
    }

    fn execute(&mut self, node: usize, entry: Entry) {
        self.events += u64::from(entry != Entry::Tick);
        match entry {
            Entry::Drain { vm, .. } => self.platform.drain(&vm, self.now),
            Entry::Undrain { vm, .. } | Entry::Rebooted { vm, .. } => self.platform.undrain(&vm),
            Entry::Health { vm, healthy: true, .. } => self.platform.undrain(&vm),
            Entry::Reboot { vm, op } => self.nodes[node].unanswered.push((vm, op)),
            Entry::Move { vm, to, .. } => {
                let idle = self.state.fleet.pools[&to].spare;
                self.platform.assign(&vm, &to, idle);
            }
            _ => {}
        }
    }

    /// Calls the platform for every permitted reboot whose answer has not arrived, with the same operation id.
    fn retry_calls(&mut self) {
        for node in &mut self.nodes {
            node.unanswered.retain(|(vm, op)| {
                let phase = self.state.vms.get(vm).map(|vm| &vm.phase);
                let permitted =
                    matches!(phase, Some(VmPhase::Rebooting { op: current, .. }) if current == op);
                permitted && !self.platform.reboot(vm, *op, self.now)
            });
        }
    }
}
