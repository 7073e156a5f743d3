//! Scheduling policies that can be switched off one by one, so that the effect of each can be measured.

use std::str::FromStr;

use cj_types::{Error, Result};

/// Which policies are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policies {
    /// VMs with few tasks are drained for other pools; see `compact`.
    pub compact: bool,
    /// Long-running tasks share few VMs.
    pub pack: bool,
    /// VMs are requested when the demand of a service begins to rise; see `forecast`. Its switch is named `foresee`.
    pub forecast: bool,
    /// VMs pass to the pool that needs them next before the list of VMs shows them parked; see `pool`.
    pub handover: bool,
    /// Tasks go to workers that are busy for as long anyway; see `lifetime`.
    pub lifetime: bool,
    /// A busy pool gives up a VM for long-running tasks that find none; see `reclaim`.
    pub reclaim: bool,
    /// Pools that together require more than the fleet has give up VMs to those with less of what they require; see
    /// `balance`.
    pub balance: bool,
    /// Accounts above their share of a full pool wait for the others; see `share`.
    pub share: bool,
    /// What waits is ordered by the recent service of the accounts as well; see `account_order`. Needs `share`.
    pub fair: bool,
    /// Finite tasks are preempted by long-running ones.
    pub preempt: bool,
    /// Workers that fail or hang get tasks only as a last resort.
    pub quarantine: bool,
    /// Tasks go to faster workers first.
    pub speed: bool,
    /// Run times are learned; see `learn`.
    pub learn: bool,
    /// Jobs that can still be in time go before those that can't; see `rank`.
    pub rank: bool,
    /// Jobs that aren't expected to end within their latency objectives are refused in an overload; see `load_report`. Without it,
    /// a job is refused when the whole backlog exceeds eight objectives. Off by default: refused callers that come back after a
    /// second have little of their objectives left.
    pub admit: bool,
}

/// Accessor for the flag of a policy.
type PolicyField = fn(&mut Policies) -> &mut bool;

/// Policies by the names of their switches.
const SWITCHES: &[(&str, PolicyField)] = &[
    ("compact", |policies| &mut policies.compact),
    ("pack", |policies| &mut policies.pack),
    ("foresee", |policies| &mut policies.forecast),
    ("handover", |policies| &mut policies.handover),
    ("lifetime", |policies| &mut policies.lifetime),
    ("reclaim", |policies| &mut policies.reclaim),
    ("balance", |policies| &mut policies.balance),
    ("share", |policies| &mut policies.share),
    ("fair", |policies| &mut policies.fair),
    ("preempt", |policies| &mut policies.preempt),
    ("quarantine", |policies| &mut policies.quarantine),
    ("speed", |policies| &mut policies.speed),
    ("learn", |policies| &mut policies.learn),
    ("rank", |policies| &mut policies.rank),
    ("admit", |policies| &mut policies.admit),
];

impl Default for Policies {
    fn default() -> Self {
        Policies {
            compact: true,
            pack: true,
            forecast: true,
            handover: true,
            lifetime: true,
            reclaim: true,
            balance: true,
            share: true,
            fair: true,
            preempt: true,
            quarantine: true,
            speed: true,
            learn: true,
            rank: true,
            admit: false,
        }
    }
}

impl Policies {
    /// Switches the policies with these names on or off; names are separated by commas.
    ///
    /// # Errors
    ///
    /// An unknown name.
    pub fn set(&mut self, names: &str, on: bool) -> Result<()> {
        for name in names.split(',').map(str::trim).filter(|name| !name.is_empty()) {
            let known = SWITCHES.iter().find(|(known, _)| *known == name);
            let Some((_, switch)) = known else {
                let names: Vec<_> = SWITCHES.iter().map(|(name, _)| *name).collect();
                return Err(Error::invalid(
                    "policy",
                    name,
                    format!("use one of {}", names.join(", ")),
                ));
            };
            *switch(self) = on;
        }
        Ok(())
    }
}

/// Parses the names of the policies to switch off.
impl FromStr for Policies {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut policies = Policies::default();
        policies.set(text, false)?;
        Ok(policies)
    }
}
