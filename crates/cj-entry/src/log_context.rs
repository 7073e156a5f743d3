//! Parts of the log lines about requests.

use std::fmt;

use cj_types::{AccountId, Clock};

use crate::{member::CellMember, platform::Platform};

/// The name of an account in a log line.
pub(crate) struct AccountName<'a>(pub(crate) Option<&'a AccountId>);

impl fmt::Display for AccountName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.map_or("none", AccountId::as_str))
    }
}

/// The part of a log line that tells the cell of a job and how far the node has read it.
pub(crate) struct LogContext<'a, P, C>(pub(crate) Option<&'a CellMember<P, C>>);

impl<P, C> fmt::Display for LogContext<'_, P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(member) = self.0 else { return f.write_str("cell=none") };
        if !member.is_followed() {
            let heartbeat_age =
                member.node.owners.borrow().heartbeat_age(member.id, member.node.clock.now());
            let age = heartbeat_age.map_or(-1, |age| age.as_millis() as i64);
            return write!(f, "cell={} owner_age_ms={age}", member.id);
        }
        let (offset, answered) = (member.job_log.next(), member.job_log.is_reachable());
        write!(f, "cell={} offset={offset} store_answers={answered}", member.id)
    }
}
