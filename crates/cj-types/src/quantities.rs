//! Resource quantities and rates, with saturating arithmetic.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

macro_rules! quantity {
    ($($(#[$doc:meta])* $name:ident($inner:ty) = $unit:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $inner);

        impl $name {
            /// Sum, saturating at the maximum value.
            pub fn plus(self, other: Self) -> Self {
                $name(self.0.saturating_add(other.0))
            }

            /// Difference, saturating at zero.
            pub fn minus(self, other: Self) -> Self {
                $name(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                let digits = text.trim().strip_suffix($unit).unwrap_or(text.trim());
                let parsed = digits.trim().parse().map($name);
                parsed.map_err(|_| Error::invalid(stringify!($name), text, concat!("use a whole number of ", $unit)))
            }
        }
    )*};
}

quantity! {
    /// CPU in thousandths of a core.
    Millicores(u32) = "m";
    /// Memory in mebibytes.
    Mebibytes(u32) = "MiB";
    /// Number of accelerators.
    Accelerators(u32) = "acc";
    /// Share in percent.
    Percent(u32) = "%";
    /// Requests, appends or jobs per second.
    PerSecond(u32) = "/s";
}

/// Resources that a worker has or a job requires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// CPU.
    pub cores: Millicores,
    /// Memory.
    pub memory: Mebibytes,
    /// Accelerators.
    pub accelerators: Accelerators,
}

impl Resources {
    /// True when a demand of `self` fits into the `free` resources.
    pub fn fits(self, free: Resources) -> bool {
        self.cores <= free.cores
            && self.memory <= free.memory
            && self.accelerators <= free.accelerators
    }

    /// Sum of each resource, saturating at the maximum value.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.plus(other.cores),
            memory: self.memory.plus(other.memory),
            accelerators: self.accelerators.plus(other.accelerators),
        }
    }

    /// The lower of each resource.
    pub fn at_most(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Each resource `count` times, saturating at the maximum value.
    pub fn times(self, count: u32) -> Resources {
        Resources {
            cores: Millicores(self.cores.0.saturating_mul(count)),
            memory: Mebibytes(self.memory.0.saturating_mul(count)),
            accelerators: Accelerators(self.accelerators.0.saturating_mul(count)),
        }
    }

    /// Difference of each resource, saturating at zero.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.minus(other.cores),
            memory: self.memory.minus(other.memory),
            accelerators: self.accelerators.minus(other.accelerators),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.cores, self.memory, self.accelerators)
    }
}
