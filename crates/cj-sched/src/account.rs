//! Client accounts: who may call, how much of the fleet each may use at once, and its share when the fleet is full.

use std::{collections::HashMap, fmt};

use cj_types::{Accelerators, AccountId, Error, Mebibytes, Millicores, Resources, Result};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

/// Maximum number of accounts in a configuration.
pub const MAX_ACCOUNTS: usize = 4_096;

/// Maximum number of keys in a configuration.
pub const MAX_KEYS: usize = 65_536;

/// Domain separation for the digests of keys.
const DIGEST_CONTEXT: &str = "copperjunction client account key";

/// Digest of a key. Keys themselves are never stored, sent between nodes or logged. Comparisons take constant time.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(blake3::Hash);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(blake3::Hasher::new_derive_key(DIGEST_CONTEXT).update(key).finalize())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What an account may have running at once in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountCap(Resources);

impl AccountCap {
    /// No limit.
    pub const UNLIMITED: AccountCap = AccountCap(Resources {
        cores: Millicores(u32::MAX),
        memory: Mebibytes(u32::MAX),
        accelerators: Accelerators(u32::MAX),
    });

    /// A cap from millicores, MiB and a number of accelerators; 0 means no limit.
    pub fn from_limits(cores: u64, memory: u64, accelerators: u64) -> Self {
        let limit = |value: u64| match u32::try_from(value) {
            Ok(0) | Err(_) => u32::MAX,
            Ok(value) => value,
        };
        AccountCap(Resources {
            cores: Millicores(limit(cores)),
            memory: Mebibytes(limit(memory)),
            accelerators: Accelerators(limit(accelerators)),
        })
    }

    /// True if nothing is limited.
    pub fn is_unlimited(self) -> bool {
        self == Self::UNLIMITED
    }

    /// The limits; those of unlimited resources are at their maximum.
    pub fn limits(self) -> Resources {
        self.0
    }

    /// What may be started beyond `used`.
    pub fn room(self, used: Resources) -> Resources {
        self.0.minus(used)
    }

    /// The share of the cap that is one of `parts` equal ones; the shares sum up to at most the cap.
    pub fn divided_by(self, parts: u32) -> Self {
        let part = |value: u32| if value == u32::MAX { value } else { value / parts.max(1) };
        AccountCap(Resources {
            cores: Millicores(part(self.0.cores.0)),
            memory: Mebibytes(part(self.0.memory.0)),
            accelerators: Accelerators(part(self.0.accelerators.0)),
        })
    }

    /// True while less than half of each limit is used.
    pub fn is_half_free(self, used: Resources) -> bool {
        used.plus(used).fits(self.0)
    }
}

impl fmt::Display for AccountCap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_unlimited() { f.write_str("none") } else { self.0.fmt(f) }
    }
}

/// Weight of an account relative to the others; also the number of jobs a second up to which its callers can expect
/// service when the fleet is full.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Weight(f32);

impl Weight {
    /// Weight of an account without a configured one.
    pub const DEFAULT: Weight = Weight(1.0);

    /// The weight as a number, above 0.
    pub fn value(self) -> f32 {
        self.0
    }
}

impl TryFrom<f64> for Weight {
    type Error = Error;

    fn try_from(value: f64) -> Result<Self> {
        let weight = value as f32;
        if weight.is_finite() && weight > 0.0 {
            return Ok(Weight(weight));
        }
        Err(Error::invalid("account weight", format_compact!("{value}"), "use a number above 0"))
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, unique within the configuration.
    pub id: AccountId,
    /// Share when the fleet is full.
    pub weight: Weight,
    /// What it may have running at once.
    pub cap: AccountCap,
}

/// The accounts of one version of the configuration, with the digests of their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    list: Vec<Account>,
    by_id: HashMap<AccountId, usize>,
    by_key: HashMap<KeyDigest, usize>,
    shared_keys: usize,
}

impl Accounts {
    /// Adds an account with the digests of its keys. A key that an earlier account has stays with that one, since a call
    /// can belong to one account only.
    ///
    /// # Errors
    ///
    /// A name that another account has already, or too many accounts or keys.
    pub fn add<K>(&mut self, account: Account, keys: K) -> Result<()>
    where
        K: IntoIterator<Item = KeyDigest>,
    {
        let index = self.list.len();
        if index == MAX_ACCOUNTS {
            return Err(Error::invalid(
                "accounts",
                format_compact!("more than {MAX_ACCOUNTS}"),
                "remove unused accounts",
            ));
        }
        if self.by_id.insert(account.id.clone(), index).is_some() {
            return Err(Error::invalid("account", account.id.as_str(), "list each account once"));
        }
        for key in keys {
            let holder = *self.by_key.entry(key).or_insert(index);
            self.shared_keys += usize::from(holder != index);
        }
        if self.by_key.len() > MAX_KEYS {
            return Err(Error::invalid(
                "account keys",
                format_compact!("more than {MAX_KEYS}"),
                "remove unused keys",
            ));
        }
        self.list.push(account);
        Ok(())
    }

    /// The account that a key belongs to.
    pub fn by_key(&self, key: KeyDigest) -> Option<&Account> {
        self.by_key.get(&key).map(|&index| &self.list[index])
    }

    /// The account with this name.
    pub fn get(&self, id: &AccountId) -> Option<&Account> {
        self.by_id.get(id).map(|&index| &self.list[index])
    }

    /// All accounts, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.list.iter()
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Number of keys that were listed for more than one account.
    pub fn shared_keys(&self) -> usize {
        self.shared_keys
    }

    /// True if there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

/// Which jobs a caller may see and cancel.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// All jobs: the configuration has no accounts.
    #[default]
    Open,
    /// The jobs of this public queue, and those that belong to no account.
    PublicQueue(CompactString),
    /// The jobs of this account, and those that belong to no account.
    Account(AccountId),
}

impl Access {
    /// True if a caller with this access may see a job of this queue and account.
    pub fn allows(&self, queue: &str, account: Option<&AccountId>) -> bool {
        match (self, account) {
            (Access::Open, _) | (_, None) => true,
            (Access::PublicQueue(public), Some(_)) => public == queue,
            (Access::Account(own), Some(account)) => own == account,
        }
    }
}
