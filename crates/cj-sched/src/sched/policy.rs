//! Policies that can be switched off one by one, so that each can be measured by what is lost without it.

use std::str::FromStr;

use cj_types::{Error, Result};

/// Which policies are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policies {
    /// VMs that few tasks hold are emptied for others; see `compact`.
    pub compact: bool,
    /// Lasting tasks share few VMs.
    pub pack: bool,
    /// VMs are called for when a queue begins to rise; see `trend`.
    pub forecast: bool,
    /// A busy pool gives a VM to lasting tasks that find none; see `reclaim`.
    pub reclaim: bool,
    /// Finite tasks give way to lasting ones.
    pub preempt: bool,
    /// Workers that fail or hang get tasks only as the last choice.
    pub quarantine: bool,
    /// Tasks go to faster workers first.
    pub speed: bool,
    /// Run times are learned; see `estimate`.
    pub learn: bool,
    /// Jobs that can still be in time go before those that can't.
    pub rank: bool,
}

/// A policy by its name.
type PolicyField = fn(&mut Policies) -> &mut bool;

const SWITCHES: &[(&str, PolicyField)] = &[
    ("compact", |policies| &mut policies.compact),
    ("pack", |policies| &mut policies.pack),
    ("foresee", |policies| &mut policies.forecast),
    ("reclaim", |policies| &mut policies.reclaim),
    ("preempt", |policies| &mut policies.preempt),
    ("quarantine", |policies| &mut policies.quarantine),
    ("speed", |policies| &mut policies.speed),
    ("learn", |policies| &mut policies.learn),
    ("rank", |policies| &mut policies.rank),
];

impl Default for Policies {
    fn default() -> Self {
        Policies {
            compact: true,
            pack: true,
            forecast: true,
            reclaim: true,
            preempt: true,
            quarantine: true,
            speed: true,
            learn: true,
            rank: true,
        }
    }
}

/// Reads the names of the policies that are switched off, separated by commas.
impl FromStr for Policies {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut policies = Policies::default();
        for name in text.split(',').map(str::trim).filter(|name| !name.is_empty()) {
            let known = SWITCHES.iter().find(|(known, _)| *known == name);
            let Some((_, switch)) = known else {
                let names: Vec<_> = SWITCHES.iter().map(|(name, _)| *name).collect();
                return Err(Error::invalid(
                    "policy",
                    name,
                    format!("use one of {}", names.join(", ")),
                ));
            };
            *switch(&mut policies) = false;
        }
        Ok(policies)
    }
}
