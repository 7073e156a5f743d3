//! Whether the node's configuration is current, and authentication of calls by the keys of client accounts.
//!
//! A node that hasn't read the operator's topic for a while may hold a configuration that has been replaced since: queues
//! were added, moved or removed, keys withdrawn. It neither serves nor rejects calls by it, but asks the caller to retry.
//!
//! A call to a queue that isn't public carries a key of its account. The node looks the key's digest up in the newest
//! configuration that it has read.

use std::{fmt, time::Duration};

use cj_sched::{Access, JobKey, KeyDigest, Queue};
use cj_types::{AccountId, Clock, Version};
use compact_str::ToCompactString;
use log::info;

use crate::{node::EntryNode, platform::Platform};

/// Part of the time for applying a configuration that is left for the call itself.
const CONFIG_AGE_MARGIN: Duration = Duration::from_millis(200);

/// An authenticated caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// The account that submitted jobs will belong to.
    pub account: Option<AccountId>,
    /// The jobs that the caller may see and cancel.
    pub access: Access,
}

/// Why a call isn't passed on to a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// No account has the key, or the call carries none.
    UnknownKey,
    /// The node's configuration may be outdated.
    OutdatedConfig,
    /// The configuration has no queue for the call.
    NoQueue,
}

impl AccessError {
    /// Name in log lines and metrics.
    fn label(self) -> &'static str {
        match self {
            AccessError::UnknownKey => "unknown_key",
            AccessError::OutdatedConfig => "outdated_config",
            AccessError::NoQueue => "no_queue",
        }
    }
}

/// The configuration that a request was answered by, as log lines show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigContext {
    /// Version of the configuration.
    pub version: Version,
    /// Time since the operator's topic was last read completely; `None` if it never was.
    pub age: Option<Duration>,
}

impl fmt::Display for ConfigContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age = self.age.map_or(-1, |age| age.as_millis() as i64);
        write!(f, "config={} config_age_ms={age}", self.version)
    }
}

impl<P, C> EntryNode<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// The configuration in force and its age.
    pub fn config_context(&self) -> ConfigContext {
        let version = self.config.borrow().as_ref().map(|config| config.version);
        let age = self.operator_topic.age(self.clock.now());
        ConfigContext { version: version.unwrap_or_default(), age }
    }

    /// Authenticates a call to a queue; `None` stands for a queue that no longer exists.
    ///
    /// # Errors
    ///
    /// An unknown key, or a configuration that may be outdated.
    pub fn authenticate(
        &self,
        queue: Option<&Queue>,
        key: Option<KeyDigest>,
    ) -> Result<Caller, AccessError> {
        let config = self.config.borrow().clone();
        let accounts = config.as_ref().and_then(|config| config.accounts.as_ref());
        let holder = key.and_then(|key| accounts?.by_key(key)).map(|account| account.id.clone());
        let keyless = accounts.is_none() && !self.settings.keys_required;
        if keyless {
            return Ok(Caller::default());
        }
        if let Some(queue) = queue.filter(|queue| queue.public) {
            return Ok(Caller { account: holder, access: Access::PublicQueue(queue.name.clone()) });
        }
        self.require_current_config()?;
        let account = holder.ok_or(AccessError::UnknownKey)?;
        Ok(Caller { account: Some(account.clone()), access: Access::Account(account) })
    }

    /// Checks that a call may be answered by the node's configuration.
    ///
    /// # Errors
    ///
    /// A configuration that may be outdated.
    pub fn require_current_config(&self) -> Result<(), AccessError> {
        if self.is_config_current() { Ok(()) } else { Err(AccessError::OutdatedConfig) }
    }

    /// Logs and counts a call that isn't passed on to a queue; `None` stands for a queue that the configuration lacks.
    pub fn log_denied(&self, queue: Option<&Queue>, job: Option<JobKey>, error: AccessError) {
        let reason = error.label();
        info!(
            target: "decision",
            "job={} request=authenticate queue={} {} choice=refused reason={reason}",
            job.map(|job| job.to_compact_string()).unwrap_or_default(),
            queue.map_or("none", |queue| queue.name.as_str()), self.config_context()
        );
        self.count_answer("authenticate", reason);
    }

    /// True while every configuration that has to be in force by now has been read.
    pub(crate) fn is_config_current(&self) -> bool {
        let limit = self.settings.config_time.saturating_sub(CONFIG_AGE_MARGIN);
        self.operator_topic.age(self.clock.now()).is_some_and(|age| age < limit)
    }
}
