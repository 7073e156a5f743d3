//! Small fake of the platform's VM control: drains, reboots, failures, lost answers and a list that lags.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::Rng;
use rand_pcg::Pcg64;

use cj_fleet::Probe;
use cj_record::VmFacts;
use cj_types::{BootId, OpId, PoolId, UnixMillis, VmId};

/// Factor of a slow drain; declared run times are wrong by up to this much.
const SLOW_DRAIN: u32 = 10;

/// Times and faults of the platform.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Time that work in flight needs to end.
    pub drain: Duration,
    /// Time of a reboot.
    pub reboot: Duration,
    /// Drains and reboots vary by this part of their time in both directions.
    pub jitter: f64,
    /// Probability that a drain takes 10 times as long.
    pub slow_drains: f64,
    /// Probability that a reboot doesn't repair a failed VM.
    pub repair_fails: f64,
    /// Probability that a call has no effect and gets no answer.
    pub call_lost: f64,
    /// Probability that the answer to a call is lost after it took effect.
    pub answer_lost: f64,
    /// Period at which the list is refreshed; between refreshes it is out of date.
    pub list_period: Duration,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            drain: Duration::from_secs(120),
            reboot: Duration::from_secs(180),
            jitter: 0.0,
            slow_drains: 0.0,
            repair_fails: 0.0,
            call_lost: 0.0,
            answer_lost: 0.0,
            list_period: Duration::from_secs(10),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Power {
    Up,
    Rebooting { until: UnixMillis },
    Down,
}

#[derive(Clone, Debug)]
struct Machine {
    facts: VmFacts,
    power: Power,
    /// End of the work in flight, while no new work arrives.
    quiet: Option<UnixMillis>,
    idle: bool,
    broken: bool,
    reboots: BTreeSet<OpId>,
}

/// The VMs and what the platform says about them.
pub struct Platform {
    machines: BTreeMap<VmId, Machine>,
    faults: Faults,
    rng: Pcg64,
    list: Vec<VmFacts>,
    list_at: Option<UnixMillis>,
    /// VMs that the list leaves out although they are live.
    pub hidden: BTreeSet<VmId>,
    /// Planned reboots that ended work in flight.
    pub cut_off: u64,
}

impl Platform {
    /// Starts with all VMs live.
    pub fn new<I>(vms: I, faults: Faults, rng: Pcg64) -> Self
    where
        I: IntoIterator<Item = VmFacts>,
    {
        let machine = |facts: VmFacts| Machine {
            facts,
            power: Power::Up,
            quiet: None,
            idle: false,
            broken: false,
            reboots: BTreeSet::new(),
        };
        let machines = vms.into_iter().map(|f| (f.vm.clone(), machine(f))).collect();
        let (list, hidden) = (Vec::new(), BTreeSet::new());
        Platform { machines, faults, rng, list, list_at: None, hidden, cut_off: 0 }
    }

    fn vary(&mut self, time: Duration) -> Duration {
        let jitter = self.faults.jitter;
        let part = if jitter > 0.0 { self.rng.random_range(-jitter..=jitter) } else { 0.0 };
        time.mul_f64(1.0 + part)
    }

    /// Ends reboots that are due and refreshes the list.
    pub fn advance(&mut self, now: UnixMillis) {
        for machine in self.machines.values_mut() {
            if matches!(machine.power, Power::Rebooting { until } if until <= now) {
                machine.facts.boot = BootId(machine.facts.boot.0 + 1);
                machine.power = if machine.broken { Power::Down } else { Power::Up };
            }
        }
        if self.list_at.is_none_or(|at| now.since(at) >= self.faults.list_period) {
            self.list_at = Some(now);
            let live = self.machines.values().filter(|m| m.power == Power::Up);
            let listed = live.filter(|m| !self.hidden.contains(&m.facts.vm));
            self.list = listed.map(|m| m.facts.clone()).collect();
        }
    }

    /// Next time at which a drain or a reboot ends.
    pub fn next_event(&self, now: UnixMillis) -> Option<UnixMillis> {
        let times = self.machines.values().flat_map(|m| {
            let reboot = match m.power {
                Power::Rebooting { until } => Some(until),
                _ => None,
            };
            [reboot, m.quiet].into_iter().flatten()
        });
        times.filter(|at| *at > now).min()
    }

    /// Stops new work on a VM; what is in flight goes on for the drain time.
    pub fn drain(&mut self, vm: &VmId, now: UnixMillis) {
        let slow = self.rng.random_bool(self.faults.slow_drains);
        let time = self.vary(self.faults.drain) * if slow { SLOW_DRAIN } else { 1 };
        if let Some(machine) = self.machines.get_mut(vm) {
            let time = if machine.idle { Duration::ZERO } else { time };
            machine.quiet = Some(now + time);
        }
    }

    /// Lets a VM get new work again.
    pub fn undrain(&mut self, vm: &VmId) {
        if let Some(machine) = self.machines.get_mut(vm) {
            machine.quiet = None;
        }
    }

    /// Moves a VM to another pool. `idle` states whether the pool gives it work.
    pub fn assign(&mut self, vm: &VmId, pool: &PoolId, idle: bool) {
        if let Some(machine) = self.machines.get_mut(vm) {
            machine.facts.pool = pool.clone();
            (machine.idle, machine.quiet) = (idle, None);
        }
    }

    /// Reboots a VM once per operation. Returns false when no answer arrives.
    pub fn reboot(&mut self, vm: &VmId, op: OpId, now: UnixMillis) -> bool {
        if self.rng.random_bool(self.faults.call_lost) {
            return false;
        }
        let time = self.vary(self.faults.reboot);
        let fails = self.rng.random_bool(self.faults.repair_fails);
        let machine = self.machines.get_mut(vm).expect("only known VMs are rebooted");
        if machine.reboots.insert(op) {
            let busy = machine.power == Power::Up && machine.quiet.is_none_or(|at| at > now);
            self.cut_off += u64::from(busy && !machine.idle);
            machine.broken = machine.power == Power::Down && fails;
            machine.power = Power::Rebooting { until: now + time };
        }
        !self.rng.random_bool(self.faults.answer_lost)
    }

    /// A VM fails and stays down until it's rebooted.
    pub fn fail(&mut self, vm: &VmId) {
        if let Some(machine) = self.machines.get_mut(vm).filter(|m| m.power == Power::Up) {
            machine.power = Power::Down;
        }
    }

    /// A VM that was down comes back by itself, for example with the power of its rack.
    pub fn restore(&mut self, vm: &VmId) {
        if let Some(machine) = self.machines.get_mut(vm).filter(|m| m.power == Power::Down) {
            machine.facts.boot = BootId(machine.facts.boot.0 + 1);
            machine.power = Power::Up;
        }
    }

    /// The list as of its last refresh.
    pub fn listed(&self) -> &[VmFacts] {
        &self.list
    }

    /// A direct probe of one VM.
    pub fn probe(&self, vm: &VmId, now: UnixMillis) -> Option<Probe> {
        let machine = self.machines.get(vm)?;
        let healthy = machine.power == Power::Up;
        Some(Probe { at: now, healthy, boot: healthy.then_some(machine.facts.boot) })
    }

    /// Requests and tasks in flight on a VM.
    pub fn in_flight(&self, vm: &VmId, now: UnixMillis) -> u32 {
        let busy = |m: &Machine| {
            m.power == Power::Up && !m.idle && m.quiet.is_none_or(|until| until > now)
        };
        u32::from(self.machines.get(vm).is_some_and(busy))
    }

    /// Number of reboots per VM and the largest number by one operation.
    pub fn reboots(&self) -> impl Iterator<Item = (&VmId, usize)> {
        self.machines.iter().map(|(id, m)| (id, m.reboots.len()))
    }

    /// Pool that the platform has assigned a VM to.
    pub fn pool(&self, vm: &VmId) -> Option<&PoolId> {
        self.machines.get(vm).map(|m| &m.facts.pool)
    }
}
