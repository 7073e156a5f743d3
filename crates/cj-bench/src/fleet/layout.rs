//! Pools, racks and settings of a run.

use std::{
    collections::BTreeMap,
    time::{Duration, UNIX_EPOCH},
};

use cj_record::{VmFacts, VmKind};
use cj_settings::DomainRule;
use cj_types::{BootId, DataCentreId, PoolId, RackId, Resources, Result, UnixMillis, VmId};

/// VMs per rack, as both users have them.
const RACK_SIZE: u32 = 4;

/// Teams that the pools belong to in turn.
const TEAMS: usize = 8;

/// Levels of precedence that the pools have in turn.
const PRECEDENCES: usize = 3;

/// One kind of pool.
#[derive(Clone, Debug)]
pub struct PoolLayout {
    /// Number of such pools.
    pub count: u32,
    /// VMs of each.
    pub size: u32,
    /// VMs that planned acts may take at the same time.
    pub slack: u32,
    /// True for spare pools.
    pub spare: bool,
}

/// Pools and waves of a run.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Pools; those that aren't spare borrow from the spare pools in turn.
    pub pools: Vec<PoolLayout>,
    /// Data centres; racks are spread over them in turn.
    pub centres: u32,
    /// Failure-domain rule of the wave.
    pub domain: DomainRule,
    /// Forbidden windows of the wave, such as `12:20-13:20`.
    pub forbidden: String,
    /// Start of the wave over all pools, or `None` for no wave.
    pub wave: Option<UnixMillis>,
    /// Drain limit of the wave.
    pub drain_limit: Duration,
    /// Reboot limit of the wave.
    pub reboot_limit: Duration,
    /// Hysteresis of all pools.
    pub hysteresis: Duration,
}

impl Layout {
    /// One of the two first users: 4 pools of 10 VMs and a spare pool of 8, in racks of 4.
    pub fn small() -> Self {
        let pool = |count, size, slack, spare| PoolLayout { count, size, slack, spare };
        Layout {
            pools: vec![pool(4, 10, 2, false), pool(1, 8, 4, true)],
            centres: 4,
            domain: DomainRule::Rack,
            forbidden: String::new(),
            wave: None,
            drain_limit: Duration::from_secs(150),
            reboot_limit: Duration::from_secs(240),
            hysteresis: Duration::from_secs(600),
        }
    }

    /// The design capacity: 3,000 VMs in 42 pools, 2 of them spare, in 20 data centres.
    pub fn large() -> Self {
        let pool = |count, size, slack, spare| PoolLayout { count, size, slack, spare };
        let pools = vec![pool(40, 72, 4, false), pool(2, 60, 20, true)];
        Layout { pools, centres: 20, ..Layout::small() }
    }

    /// The layout for a number of VMs: the small one up to 48, else the large one.
    pub fn sized(vms: u32) -> Self {
        if vms <= 48 { Layout::small() } else { Layout::large() }
    }

    /// Number of VMs.
    pub fn size(&self) -> u32 {
        self.pools.iter().map(|p| p.count * p.size).sum()
    }

    /// Settings of the fleet as an INI file of one office.
    pub fn settings(&self) -> String {
        let names: Vec<(String, &PoolLayout)> = self.named().collect();
        let spares: Vec<&String> = names.iter().filter(|(_, p)| p.spare).map(|(n, _)| n).collect();
        let teams = (0..TEAMS).map(|i| format!("[team team-{i}]\nquota = 100%\nweight = 1\n"));
        let mut text: String = teams.collect();
        for (i, (name, pool)) in names.iter().enumerate() {
            let team = i % TEAMS;
            let PoolLayout { size, slack, spare, .. } = pool;
            let lending = match spare {
                true => "spare = yes".to_owned(),
                false => format!("borrows = {}", spares[i % spares.len()]),
            };
            text += &format!(
                "[pool {name}]\nmin_available = {}\ntarget = {size}\nowner = team-{team}\n\
                 precedence = {}\nhysteresis = {}s\n{lending}\n",
                size - slack,
                i % PRECEDENCES,
                self.hysteresis.as_secs(),
            );
        }
        if let Some(start) = self.wave {
            let pools: Vec<&str> = names.iter().map(|(name, _)| name.as_str()).collect();
            let start =
                humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(start.0));
            text += &format!(
                "[wave fleet]\npools = {}\nstart = {start}\ndrain_limit = {}s\nreboot_limit = {}s\n\
                 domain = {}\nforbidden = {}\n",
                pools.join(", "),
                self.drain_limit.as_secs(),
                self.reboot_limit.as_secs(),
                match self.domain {
                    DomainRule::Any => "any",
                    DomainRule::Rack => "rack",
                    DomainRule::DataCentre => "data-centre",
                },
                self.forbidden,
            );
        }
        text
    }

    /// Facts of all VMs. The racks of a pool hold VMs of that pool only.
    pub fn vms(&self) -> Result<Vec<VmFacts>> {
        let mut vms = Vec::new();
        let mut first_rack = 0;
        for (name, pool) in self.named() {
            for i in 0..pool.size {
                let rack = first_rack + i / RACK_SIZE;
                let number = vms.len();
                vms.push(VmFacts {
                    vm: VmId::try_from(format!("vm-{number:04}").as_str())?,
                    address: format!("10.0.{}.{}:80", number / 250, number % 250).into(),
                    pool: name.parse()?,
                    rack: RackId::try_from(format!("rack-{rack:03}").as_str())?,
                    centre: DataCentreId::try_from(format!("dc-{}", rack % self.centres).as_str())?,
                    kind: VmKind::Worker,
                    capacity: Resources::default(),
                    boot: BootId(1),
                });
            }
            first_rack += pool.size.div_ceil(RACK_SIZE);
        }
        Ok(vms)
    }

    fn named(&self) -> impl Iterator<Item = (String, &PoolLayout)> {
        let pools = self.pools.iter().flat_map(|p| std::iter::repeat_n(p, p.count as usize));
        pools
            .enumerate()
            .map(|(i, p)| (format!("{}-{i:02}", if p.spare { "spare" } else { "pool" }), p))
    }

    /// Rounds that the slack alone needs, ceil(n / slack), and rounds with the failure-domain rule, the sum over the
    /// domains of ceil(VMs in the domain / slack). Both are of the slowest pool.
    pub fn rounds(&self) -> Result<(u32, u32)> {
        let mut domains: BTreeMap<PoolId, BTreeMap<String, u32>> = BTreeMap::new();
        for facts in self.vms()? {
            let domain = match self.domain {
                DomainRule::Any => String::new(),
                DomainRule::Rack => facts.rack.to_string(),
                DomainRule::DataCentre => facts.centre.to_string(),
            };
            *domains.entry(facts.pool).or_default().entry(domain).or_default() += 1;
        }
        let rounds = self.named().map(|(name, pool)| {
            let with_rule =
                domains[&name.parse::<PoolId>()?].values().map(|n| n.div_ceil(pool.slack)).sum();
            Ok((pool.size.div_ceil(pool.slack), with_rule))
        });
        let rounds: Vec<(u32, u32)> = rounds.collect::<Result<_>>()?;
        let free = rounds.iter().map(|r| r.0).max().unwrap_or(0);
        Ok((free, rounds.iter().map(|r| r.1).max().unwrap_or(0)))
    }
}
