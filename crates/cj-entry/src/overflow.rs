//! The owner's writes to the overflow logs: a marker of its ownership, and removal of old records.

use std::{rc::Rc, time::Duration};

use cj_sched::{Log, Record, codec};
use cj_types::Clock;
use log::{info, warn};

use crate::{
    member::CellMember,
    outbox::{MIN_OWNER_APPEND_TIMEOUT, append_once},
    platform::{Guard, Platform, StoreError, Topic},
};

/// Delay before an ownership marker is written again.
const MARKER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Marks the start of this ownership in an overflow log. No earlier owner has acted on the submissions that follow the
/// marker, since an earlier owner that reads it sends no more commands.
pub(crate) async fn write_owner_marker<P, C>(member: Rc<CellMember<P, C>>, log: Log, epoch: u64)
where
    P: Platform,
    C: Clock + 'static,
{
    let marker = Record::Owner(member.node.owner_heartbeat(epoch, false, Vec::new()));
    let records = [codec::entry(&marker)];
    let guard = Guard::Owner { epoch, sequence: 0 };
    let mut attempts = 0;
    loop {
        let topic = Topic::Jobs(member.id, log);
        match append_once(
            &member.node.platform,
            topic,
            &records,
            guard,
            MIN_OWNER_APPEND_TIMEOUT,
            attempts,
        )
        .await
        {
            Ok(_) => return,
            Err(StoreError::Refused(_) | StoreError::Unanswered(_)) => attempts += 1,
            Err(error) => {
                info!(target: "decision", "log={log} epoch={epoch} choice=no_mark cause=\"{error}\"");
                return;
            }
        }
        tokio::time::sleep(MARKER_RETRY_DELAY).await;
    }
}

/// Removes records of jobs that finished long ago from an overflow log. If that fails, a later clean-up repeats it.
pub(crate) async fn drop_overflow_records<P, C>(
    member: Rc<CellMember<P, C>>,
    log: Log,
    records: Vec<Record>,
) where
    P: Platform,
    C: Clock + 'static,
{
    let encoded: Vec<_> = records.iter().map(codec::entry).collect();
    let dropped =
        member.node.platform.append(Topic::Jobs(member.id, log), &encoded, Guard::None).await;
    if let Err(error) = dropped {
        warn!(target: "link", "log={log} choice=drop_later records={} cause=\"{error}\"", records.len());
    }
}
