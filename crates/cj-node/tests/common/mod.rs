//! A test cluster of a simulated platform and entry nodes, and callers that send HTTP over plain TCP connections.

// Every test file compiles this module but uses only parts of it.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use cj_demo::{Office, Site, SiteSize};
use cj_node::NodeThread;
use cj_record::{SettingPath, SettingRecord, SignedSetting};
use cj_settings::{
    NodeSettings,
    node::{LogTarget, PeerKey},
};
use cj_standin::{Execution, Fault, Platform};
use cj_types::Version;

/// Seed of the offices' signing keys, also used as the nonce of published settings.
const SEED: u64 = 11;
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for a condition to be met; far above every lease and deadline of the tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Several minions per service, so that one can fail.
const SITE_SIZE: SiteSize = SiteSize { minions: 3, workers: 2, spare: 1, slack: 1 };

/// A running platform with entry nodes and the settings of the site.
pub struct TestCluster {
    pub platform: Arc<Platform>,
    pub nodes: Vec<NodeThread>,
    offices: Vec<Office>,
}

/// An HTTP answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Reply {
    pub fn outcome(&self) -> &str {
        self.headers.get("x-outcome").map_or("", String::as_str)
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Asserts that the reply is a refusal: `not-run` in header and body, with a reason.
    pub fn assert_refused(&self, case: &str) {
        assert_eq!(self.outcome(), "not-run", "{case}: {self:?}");
        assert_eq!(self.json()["outcome"], "not-run", "{case}: {self:?}");
        assert!(self.json()["reason"].as_str().is_some_and(|r| !r.is_empty()), "{case}: {self:?}");
    }
}

impl TestCluster {
    /// Starts the platform and `count` nodes, publishes the settings and waits until all VMs are in service.
    pub async fn start(count: usize, service_time: Duration) -> TestCluster {
        let mut site = Site::new(SITE_SIZE, SEED).expect("a site");
        site.platform.service_time = service_time;
        site.platform.service_times.clear();
        let platform = Arc::new(Platform::start(site.platform.clone()).expect("a platform"));
        let mut cluster =
            TestCluster { platform, nodes: Vec::new(), offices: site.offices.clone() };
        for _ in 0..count {
            cluster.add_node().await.expect("a node");
        }
        let mut last = 0;
        for (path, value) in &site.settings {
            let reply = cluster.publish(0, path, value, 0).await;
            last = reply.json()["offset"].as_u64().unwrap_or_else(|| panic!("{path}: {reply:?}"));
        }
        for node in 0..count {
            let verdict = format!("/settings/verdict/{last}");
            wait_until("the settings to be in force", async || {
                let reply = cluster.get_operator(node, &verdict).await;
                assert_ne!(reply["verdict"], "rejected", "{reply}");
                reply["verdict"] == "in-force"
            })
            .await;
            let mut status = Value::Null;
            let in_service = wait_met(async || {
                status = cluster.get_operator(node, "/status").await;
                let pools = status["pools"].as_object().cloned().unwrap_or_default();
                !pools.is_empty() && pools.values().all(|p| p["active"] == p["target"])
            });
            assert!(in_service.await, "not all VMs came into service: {status}");
            // The router gets its new view a moment after the state has changed.
            let applied = status["applied"].as_u64();
            wait_until("the router to know the VMs", async || {
                cluster.get_operator(node, "/status").await["routed"].as_u64() >= applied
            })
            .await;
        }
        cluster
    }

    /// Starts one more node, with the first one as its peer.
    pub async fn add_node(&mut self) -> cj_types::Result<()> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let settings = NodeSettings {
            node: format!("node-{}", self.nodes.len() + 1).parse()?,
            region: "test".parse()?,
            centre: "k1".parse()?,
            cluster: "test".into(),
            caller_address: any,
            peer_address: any,
            operator_address: any,
            metrics_address: any,
            log_address: self.platform.log_address(),
            control_address: self.platform.vm_address(),
            peer_addresses: self.nodes.iter().map(|n| n.addresses().peer).take(1).collect(),
            peer_key: PeerKey([7; 32]),
            office_keys: self.offices.iter().map(|o| (o.id.clone(), o.public_key())).collect(),
            log_level: log::LevelFilter::Off,
            log_target: LogTarget::Stderr,
        };
        self.nodes.push(NodeThread::start(settings).await?);
        Ok(())
    }

    pub fn inject(&self, fault: Fault) {
        self.platform.inject(&fault);
    }

    /// Executions of a job, or of a request without a key by its body.
    pub fn runs(&self, key: &str) -> Execution {
        self.platform.observed().executions.get(key).copied().unwrap_or_default()
    }

    /// Keys of all work that ran.
    pub fn all_runs(&self) -> Vec<String> {
        self.platform.observed().executions.into_keys().collect()
    }

    pub fn caller_address(&self, node: usize) -> SocketAddr {
        self.nodes[node].addresses().caller
    }

    pub async fn get_operator(&self, node: usize, path: &str) -> Value {
        let address = self.nodes[node].addresses().operator;
        let request = format!("GET {path} HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n");
        exchange(address, request.as_bytes()).await.map_or(Value::Null, |reply| reply.json())
    }

    /// Publishes a value; a second call with the same arguments sends the same bytes.
    pub async fn publish(
        &self,
        node: usize,
        path: &SettingPath,
        value: &str,
        expected: u64,
    ) -> Reply {
        let office = self.offices.iter().find(|o| o.id == path.office).expect("an office");
        let record = SettingRecord {
            path: path.clone(),
            value: Some(value.into()),
            expected: Version(expected),
            nonce: SEED,
        };
        let signed = SignedSetting::sign(&record, &office.key).and_then(|s| s.encode());
        let body = signed.expect("a record");
        let head = format!(
            "POST /settings HTTP/1.1\r\nhost: n\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let request = [head.as_bytes(), &body].concat();
        exchange(self.nodes[node].addresses().operator, &request).await.expect("an answer")
    }

    /// Value and version of a setting at a node.
    pub async fn setting(&self, node: usize, path: &SettingPath) -> (String, u64) {
        let settings = self.get_operator(node, "/settings").await;
        let values = settings["values"].as_array().cloned().unwrap_or_default();
        let found = values.iter().find(|v| v["path"] == path.to_string()).cloned();
        let found = found.unwrap_or_default();
        (
            found["value"].as_str().unwrap_or_default().into(),
            found["version"].as_u64().unwrap_or_default(),
        )
    }

    /// Submits work; `None` when the connection was lost before the answer was complete.
    pub async fn submit(&self, node: usize, class: &str, key: &str, body: &str) -> Option<Reply> {
        exchange(self.caller_address(node), submission(class, key, body).as_bytes()).await
    }

    /// Answer to a lookup of a job.
    pub async fn job(&self, node: usize, class: &str, key: &str) -> Reply {
        let path = format!("/v1/jobs/{}/{key}", caller_of(class));
        let request = format!("GET {path} HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n");
        exchange(self.caller_address(node), request.as_bytes()).await.expect("an answer")
    }

    /// Waits until a job has the given outcome.
    pub async fn wait_outcome(&self, node: usize, class: &str, key: &str, outcome: &str) -> Reply {
        wait_until(&format!("{class} {key} to be {outcome}"), async || {
            self.job(node, class, key).await.outcome() == outcome
        })
        .await;
        self.job(node, class, key).await
    }

    /// Waits until the node reports the log as reachable or unreachable.
    pub async fn wait_log(&self, node: usize, reachable: bool) {
        wait_until("the node to notice the state of the log", async || {
            self.get_operator(node, "/status").await["log_reachable"] == reachable
        })
        .await;
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.nodes.clear();
        self.platform.stop();
    }
}

/// Name of the caller that the tests use for a class.
pub fn caller_of(class: &str) -> String {
    format!("caller-{class}")
}

/// A complete request for work of a class whose service has the same name.
pub fn submission(class: &str, key: &str, body: &str) -> String {
    format!(
        "POST /v1/{class}/{class} HTTP/1.1\r\nhost: n\r\nconnection: close\r\nx-caller: {}\r\n\
         x-team: {}\r\nidempotency-key: {key}\r\nx-run-ms: 2000\r\ncontent-length: {}\r\n\r\n{body}",
        caller_of(class),
        if matches!(class, "proofs" | "separations") { "houses" } else { "pans" },
        body.len()
    )
}

/// Sends a request and reads the answer; `None` when the connection ends before the answer is complete.
pub async fn exchange(address: SocketAddr, request: &[u8]) -> Option<Reply> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    // The node may answer and close the connection before it has read everything.
    let _ = stream.write_all(request).await;
    read_reply(&mut stream).await
}

/// Reads one answer.
pub async fn read_reply(stream: &mut TcpStream) -> Option<Reply> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(reply) = parse(&bytes) {
            return Some(reply);
        }
        let read =
            tokio::time::timeout(WAIT_TIMEOUT, stream.read(&mut chunk)).await.expect("an answer");
        match read {
            Ok(count) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

fn parse(bytes: &[u8]) -> Option<Reply> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    (body.len() >= length).then(|| Reply { status, headers, body: body[..length].to_owned() })
}

/// Waits until the condition holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until<F>(what: &str, condition: F)
where
    F: AsyncFnMut() -> bool,
{
    assert!(wait_met(condition).await, "timed out waiting for {what}");
}

/// Waits until the condition holds; returns false after [`WAIT_TIMEOUT`].
async fn wait_met<F>(mut condition: F) -> bool
where
    F: AsyncFnMut() -> bool,
{
    let met = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, met).await.is_ok()
}
