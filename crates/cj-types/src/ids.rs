//! Identifiers: text ids, which are short names of letters, digits, `-`, `_` and `.`, and numeric ids.

use std::{fmt, str::FromStr};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::error::{Error, Result};

/// Maximum length of a text id in bytes.
pub const MAX_ID_LEN: usize = 64;

fn check_name(what: &'static str, text: &str) -> Result<()> {
    let ok = !text.is_empty()
        && text.len() <= MAX_ID_LEN
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'));
    if ok {
        return Ok(());
    }
    Err(Error::invalid(what, text, "use 1 to 64 letters, digits, `-`, `_` or `.`"))
}

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident = $what:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        pub struct $name(CompactString);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Error;

            fn try_from(text: &str) -> Result<Self> {
                check_name($what, text)?;
                Ok($name(text.into()))
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                Self::try_from(text)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                let text = CompactString::deserialize(deserializer)?;
                check_name($what, &text).map_err(serde::de::Error::custom)?;
                Ok($name(text))
            }
        }
    )*};
}

text_id! {
    /// An entry node of copperjunction.
    NodeId = "node id";
    /// A VM of the platform: a worker VM, a minion or an entry VM.
    VmId = "VM id";
    /// A pool of VMs.
    PoolId = "pool name";
    /// A maintenance wave.
    WaveId = "wave name";
    /// A service of an organisation, such as `proofs`.
    ServiceId = "service name";
    /// A class of jobs, such as `urgent`.
    ClassId = "class name";
    /// A team, which owns quota and borrowed capacity.
    TeamId = "team name";
    /// An operators' office, which owns one subtree of the settings.
    OfficeId = "office name";
    /// A rack, the smallest failure domain.
    RackId = "rack name";
    /// A data centre.
    DataCentreId = "data centre name";
    /// A region of data centres.
    RegionId = "region name";
    /// A caller as named in its requests.
    CallerId = "caller name";
    /// A client account, whose keys authenticate calls.
    AccountId = "account name";
    /// Key chosen by a caller to identify a job; submissions with the same key create one job.
    IdempotencyKey = "idempotency key";
    /// A stream of the platform's log.
    StreamId = "stream name";
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u64);

        impl $name {
            /// The next value.
            pub fn next(self) -> Self {
                $name(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                let parsed = text.parse().map($name);
                parsed.map_err(|_| Error::invalid(stringify!($name), text, "use a whole number"))
            }
        }
    )*};
}

number_id! {
    /// Position of a record in a log stream.
    Offset;
    /// Random number that identifies one process start of a node.
    Incarnation;
    /// Sequence number of a batch within its writer's incarnation, from 1.
    Sequence;
    /// Version of a settings value; 0 means that it was never set.
    Version;
    /// Fencing token: the offset of the record that granted a claim.
    Token;
    /// Identifies a fleet operation by the offset of its `Drain` record.
    OpId;
    /// Number of changes of a VM's pool or phase.
    Generation;
    /// Identifies one boot of a VM; changes whenever the VM boots.
    BootId;
}

/// Identifies a job by its caller and the caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// The caller that submitted the job.
    pub caller: CallerId,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
}

/// Number of buckets into which jobs are hashed to distribute them among the nodes.
pub const JOB_BUCKETS: usize = 256;

impl JobId {
    /// Bucket of the job, below [`JOB_BUCKETS`]. Nodes own whole buckets, since computing the owner of each job would take
    /// most of the processor time that a node may use for control.
    pub fn bucket(&self) -> usize {
        let caller = xxh3_64(self.caller.as_str().as_bytes());
        let hash = xxh3_64_with_seed(self.key.as_str().as_bytes(), caller);
        hash as usize % JOB_BUCKETS
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.caller, self.key)
    }
}

impl FromStr for JobId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let help = "use CALLER/KEY";
        let (caller, key) =
            text.split_once('/').ok_or_else(|| Error::invalid("job id", text, help))?;
        Ok(JobId { caller: caller.parse()?, key: key.parse()? })
    }
}

/// One process start of a node: the node and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// The node.
    pub node: NodeId,
    /// Random number of this process start.
    pub incarnation: Incarnation,
}

impl fmt::Display for NodeIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.node, self.incarnation.0)
    }
}
