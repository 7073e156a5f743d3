//! Operators of both offices: publish settings and measure the time until they are in force on all nodes.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use awc::Client;
use compact_str::{CompactString, ToCompactString};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

use cj_record::{SettingPath, SettingRecord, SignedSetting};
use cj_types::{Error, ErrorKind, Result, Version};

use crate::{
    client,
    nodes::{NodeRef, Nodes},
    site::{Office, SettingValue},
};

/// Timeout of one call to an operator address.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a publication that isn't in force on all nodes is counted as late.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which verdicts are polled.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the status of the nodes is polled, and delay before a publication is retried.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of attempts to publish one setting of a list that must be in force.
const MAX_PUBLISH_ATTEMPTS: u32 = 40;

/// Start of the reason for which a publication with an outdated version is rejected; the version in force follows.
const STALE_REASON: &str = "stale: the version in force is ";

#[derive(Deserialize)]
struct Accepted {
    offset: u64,
}

/// Answer to `GET /settings/verdict/{offset}`.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
enum Verdict {
    InForce,
    Rejected {
        reason: String,
    },
    /// The node hasn't read the record yet.
    Pending,
    /// The node has read the record but no longer keeps the verdict.
    Forgotten,
}

/// The fields of `GET /status` that the driver needs.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Status {
    settings_offset: u64,
    /// True once the node has read the log up to its end and serves.
    #[serde(default)]
    serving: Option<bool>,
}

/// Result of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// In force on all nodes after this time from its acceptance.
    InForce(Duration),
    /// Rejected with a reason.
    Rejected(String),
    /// No node answered that it accepted the record.
    Unanswered,
    /// Accepted but not in force on all nodes before the timeout.
    Late,
}

/// Results of all publications.
#[derive(Clone, Debug, Default)]
pub struct Publications {
    /// Times until the settings were in force on all nodes.
    pub times: Vec<Duration>,
    /// The same for publications that overlap with a log outage, during which no node can read a record.
    pub times_log_down: Vec<Duration>,
    /// Number of rejected publications.
    pub rejected: u64,
    /// Number of publications that no node accepted.
    pub unanswered: u64,
    /// Number of publications not in force on all nodes before the timeout.
    pub late: u64,
    /// Times that a node reported a lower settings offset than before.
    pub reverted: u64,
}

/// Operators of both offices.
pub struct Publisher {
    client: Client,
    nodes: Rc<Nodes>,
    offices: Vec<Office>,
    versions: RefCell<BTreeMap<SettingPath, Version>>,
    rng: RefCell<Pcg64Mcg>,
    results: RefCell<Publications>,
    /// Number of log outages so far, to find the publications that overlap with one.
    outages: Cell<u64>,
    log_down: Cell<bool>,
    stopping: Cell<bool>,
}

impl Publisher {
    /// Creates operators for the given offices.
    pub fn new(nodes: Rc<Nodes>, offices: Vec<Office>, seed: u64) -> Rc<Self> {
        Rc::new(Publisher {
            client: client::client(),
            nodes,
            offices,
            versions: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            results: RefCell::default(),
            outages: Cell::new(0),
            log_down: Cell::new(false),
            stopping: Cell::new(false),
        })
    }

    /// Results so far.
    pub fn results(&self) -> Publications {
        self.results.borrow().clone()
    }

    /// Stops all periodic tasks.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Records the start or end of a log outage.
    pub fn set_log_down(&self, down: bool) {
        if down && !self.log_down.get() {
            self.outages.set(self.outages.get() + 1);
        }
        self.log_down.set(down);
    }

    /// Waits until all running nodes serve.
    ///
    /// # Errors
    ///
    /// A node isn't ready after `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> Result<()> {
        let started = Instant::now();
        while started.elapsed() < limit {
            let states = self.nodes.running().into_iter().map(|node| self.status(node));
            let states = futures::future::join_all(states).await;
            if states.iter().all(|s| s.is_some_and(|s| s.serving != Some(false))) {
                return Ok(());
            }
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
        let reason = ErrorKind::Failed("an entry node did not become ready".into());
        Err(Error::new(reason, "see its log; check that it can reach the fake log and VM control"))
    }

    /// Publishes settings in order, each with retries, and waits until it's in force.
    ///
    /// # Errors
    ///
    /// A setting isn't in force after the last attempt.
    pub async fn publish_all(&self, settings: &[SettingValue]) -> Result<()> {
        for (path, value) in settings {
            let mut last = PublishOutcome::Unanswered;
            for attempt in 0..MAX_PUBLISH_ATTEMPTS {
                last = self.publish(path, value).await;
                match last {
                    PublishOutcome::InForce(_) => break,
                    // The rejection contains the version in force, so the next attempt can follow at once.
                    PublishOutcome::Rejected(_) if attempt == 0 => {}
                    _ => tokio::time::sleep(STATUS_POLL_INTERVAL).await,
                }
            }
            if !matches!(last, PublishOutcome::InForce(_)) {
                let reason = ErrorKind::Failed(format!("setting {path}: {last:?}").into());
                return Err(Error::new(reason, "check the settings and the nodes' logs"));
            }
        }
        Ok(())
    }

    /// Publishes one value, with the version that this office knows as the one in force.
    pub async fn publish(&self, path: &SettingPath, value: &CompactString) -> PublishOutcome {
        let expected = self.versions.borrow().get(path).copied().unwrap_or_default();
        let outages = self.outages.get();
        let began_down = self.log_down.get();
        let Some(offset) = self.send(path, value, expected).await else {
            self.results.borrow_mut().unanswered += 1;
            return PublishOutcome::Unanswered;
        };
        let outcome = self.wait_in_force(offset).await;
        let mut results = self.results.borrow_mut();
        match &outcome {
            PublishOutcome::InForce(time) if began_down || self.outages.get() > outages => {
                results.times_log_down.push(*time);
            }
            PublishOutcome::InForce(time) => results.times.push(*time),
            PublishOutcome::Rejected(reason) => {
                results.rejected += 1;
                if let Some(version) = reason.strip_prefix(STALE_REASON)
                    && let Ok(version) = version.parse()
                {
                    self.versions.borrow_mut().insert(path.clone(), version);
                }
            }
            PublishOutcome::Late => results.late += 1,
            PublishOutcome::Unanswered => results.unanswered += 1,
        }
        if matches!(outcome, PublishOutcome::InForce(_)) {
            self.versions.borrow_mut().insert(path.clone(), expected.next());
        }
        outcome
    }

    /// Publishes a new weight of a team periodically.
    pub async fn publish_weights(self: Rc<Self>, path: SettingPath, interval: Duration) {
        let mut weight = 1_u32;
        while !self.stopping.get() {
            tokio::time::sleep(interval).await;
            weight = weight % 3 + 1;
            self.publish(&path, &weight.to_compact_string()).await;
        }
    }

    /// Polls the settings offset of every node and counts those that go down.
    pub async fn watch_versions(self: Rc<Self>) {
        let mut highest: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
        while !self.stopping.get() {
            for node in self.nodes.responsive() {
                let Some(status) = self.status(node).await else { continue };
                let (start, seen) = highest.entry(node.index).or_insert((node.start, 0));
                let restarted = *start != node.start;
                // A restarted node may report a lower offset until it has read the log up to its end and serves.
                if restarted && status.serving != Some(true) && status.settings_offset < *seen {
                    continue;
                }
                if status.settings_offset < *seen {
                    self.results.borrow_mut().reverted += 1;
                    log::error!("node {} reverted to older settings: {status:?}", node.index);
                }
                (*start, *seen) = (node.start, status.settings_offset);
            }
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    async fn status(&self, node: NodeRef) -> Option<Status> {
        client::get_json(&self.client, node.operators, "/status", CALL_TIMEOUT).await
    }

    async fn send(&self, path: &SettingPath, value: &str, expected: Version) -> Option<u64> {
        let office = self.offices.iter().find(|office| office.id == path.office)?;
        let (path, value) = (path.clone(), Some(value.into()));
        let nonce = self.rng.borrow_mut().random();
        let record = SettingRecord { path, value, expected, nonce };
        let body = SignedSetting::sign(&record, &office.key).ok()?.encode().ok()?;
        let node = self.nodes.pick(&mut *self.rng.borrow_mut(), None)?;
        let url = format!("http://{}/settings", node.operators);
        let exchange = async {
            let mut response = self.client.post(url).send_body(body).await.ok()?;
            let body = response.body().await.ok()?;
            let accepted = response.status().is_success();
            accepted.then(|| serde_json::from_slice::<Accepted>(&body).ok()).flatten()
        };
        let accepted = tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok().flatten();
        accepted.map(|accepted| accepted.offset)
    }

    /// Waits until the record is in force on every responsive node, or rejected.
    async fn wait_in_force(&self, offset: u64) -> PublishOutcome {
        let accepted = Instant::now();
        let path = format!("/settings/verdict/{offset}");
        let mut confirmed = BTreeSet::new();
        while accepted.elapsed() < IN_FORCE_TIMEOUT {
            let nodes = self.nodes.responsive();
            let missing =
                nodes.iter().filter(|node| !confirmed.contains(&(node.index, node.start)));
            let asked = missing.map(|node| async {
                let call = client::get_json(&self.client, node.operators, &path, CALL_TIMEOUT);
                (node.index, node.start, call.await)
            });
            let answers: Vec<(usize, u64, Option<Verdict>)> =
                futures::future::join_all(asked).await;
            for (index, start, verdict) in answers {
                match verdict {
                    Some(Verdict::InForce | Verdict::Forgotten) => {
                        confirmed.insert((index, start));
                    }
                    Some(Verdict::Rejected { reason }) => return PublishOutcome::Rejected(reason),
                    Some(Verdict::Pending) | None => {}
                }
            }
            let is_confirmed = |node: &NodeRef| confirmed.contains(&(node.index, node.start));
            if !confirmed.is_empty() && nodes.iter().all(is_confirmed) {
                return PublishOutcome::InForce(accepted.elapsed());
            }
            tokio::time::sleep(VERDICT_POLL_INTERVAL).await;
        }
        PublishOutcome::Late
    }
}
