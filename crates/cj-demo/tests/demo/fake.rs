//! A minimal fake entry node with faults that the driver must detect. All nodes share one state instead of a log.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use actix_http::{Method, StatusCode};
use awc::Client;
use bytes::Bytes;
use serde_json::json;

use cj_demo::NodeHandle;
use cj_record::{SettingPath, SettingRecord, SignedSetting};
use cj_standin::{
    Platform, VmKind, VmRow,
    http::{Call, Reply, Server},
};
use cj_types::Result;

/// A fault of the fake node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeFault {
    None,
    RunsTwice,
    RefusesAfterRun,
    ForgetsJobs,
    ForeignAnswers,
    ShortAnswers,
    RevertsSettings,
    /// Not a fault of the node: the settings were published before, so that the publisher starts with outdated versions.
    LaterVersions,
}

#[derive(Default)]
pub(crate) struct State {
    answers: BTreeMap<String, Bytes>,
    tasks: BTreeMap<String, SocketAddr>,
    last: Option<Bytes>,
    settings: u64,
    versions: BTreeMap<SettingPath, u64>,
    /// Number of polls of each verdict, and the verdict.
    verdicts: Vec<(u32, serde_json::Value)>,
    statuses: u64,
}

#[derive(Clone)]
pub(crate) struct FakeNode {
    platform: Arc<Platform>,
    state: Arc<Mutex<State>>,
    fault: NodeFault,
}

impl FakeNode {
    pub(crate) fn new(platform: Arc<Platform>, flaw: NodeFault) -> Self {
        FakeNode { platform, state: Arc::default(), fault: flaw }
    }

    /// Starts one node.
    pub(crate) fn start(&self) -> Result<NodeHandle> {
        let arbiter = actix_rt::Arbiter::current();
        let fake = self.clone();
        let server = Server::start(
            &arbiter,
            0,
            Arc::new(move |call| {
                let fake = fake.clone();
                Box::pin(async move { Some(fake.answer(call).await) })
            }),
        )?;
        let address = server.address();
        let server = Rc::new(server);
        let stopped = server.clone();
        Ok(NodeHandle {
            callers: address,
            operators: address,
            kill: Box::new(move || server.kill()),
            pause: Box::new(|_| {}),
            stop: Box::new(move || Box::pin(async move { stopped.kill() })),
        })
    }

    fn state<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn answer(&self, call: Call) -> Reply {
        let segments = call.segments();
        let path: Vec<&str> = segments.iter().map(String::as_str).collect();
        match (&call.method, &path[..]) {
            (&Method::GET, ["status"]) => {
                let (offset, statuses) = self.state(|state| {
                    state.statuses += 1;
                    (state.settings, state.statuses)
                });
                let reverts =
                    self.fault == NodeFault::RevertsSettings && statuses.is_multiple_of(5);
                let offset = if reverts { offset / 2 } else { offset };
                Reply::json(StatusCode::OK, &json!({ "settings_offset": offset }))
            }
            (&Method::POST, ["settings"]) => {
                let offset = self.publish(&call.body);
                Reply::json(StatusCode::ACCEPTED, &json!({ "offset": offset }))
            }
            (&Method::GET, ["settings", "verdict", offset]) => {
                Reply::json(StatusCode::OK, &self.verdict(offset.parse().expect("an offset")))
            }
            (&Method::POST, ["v1", service, class]) => self.work(&call, service, class).await,
            (&Method::GET, ["v1", "jobs", caller, key]) => {
                self.job(&format!("{caller}/{key}")).await
            }
            (&Method::DELETE, ["v1", "jobs", caller, key]) => {
                self.job(&format!("{caller}/{key}")).await
            }
            _ => Reply::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Stores a settings record and its verdict; returns the record's offset.
    fn publish(&self, body: &[u8]) -> usize {
        let signed = SignedSetting::decode(body).expect("a record");
        let record: SettingRecord = postcard::from_bytes(&signed.body).expect("a record");
        self.state(|state| {
            let first = if self.fault == NodeFault::LaterVersions { 3 } else { 0 };
            let version = state.versions.entry(record.path).or_insert(first);
            let verdict = if record.expected.0 == *version {
                *version += 1;
                json!({ "verdict": "in-force" })
            } else {
                let reason = format!("stale: the version in force is {version}");
                json!({ "verdict": "rejected", "reason": reason })
            };
            state.verdicts.push((0, verdict));
            state.settings += 1;
            state.verdicts.len() - 1
        })
    }

    /// The verdict; pending at the first poll.
    fn verdict(&self, offset: usize) -> serde_json::Value {
        self.state(|state| {
            let (asked, verdict) = &mut state.verdicts[offset];
            *asked += 1;
            if *asked == 1 { json!({ "verdict": "pending" }) } else { verdict.clone() }
        })
    }

    async fn work(&self, call: &Call, service: &str, class: &str) -> Reply {
        let header = |name: &str| call.header(name).unwrap_or_default().to_owned();
        let job = format!("{}/{}", header("x-caller"), header("idempotency-key"));
        if class == "separations" {
            return self.start_task(call, &job).await;
        }
        let recorded = !matches!(class, "proofs" | "yields");
        if let Some(answer) = self.state(|state| state.answers.get(&job).cloned()) {
            return done(answer);
        }
        let key = recorded.then_some(job.as_str());
        let Some(answer) = self.forward(service, key, &call.body).await else {
            return not_run();
        };
        match self.fault {
            NodeFault::RunsTwice => drop(self.forward(service, key, &call.body).await),
            NodeFault::RefusesAfterRun => return not_run(),
            NodeFault::ShortAnswers => return done(answer.slice(..answer.len() - 1)),
            NodeFault::ForeignAnswers => {
                let other = self.state(|state| state.last.replace(answer.clone()));
                return done(other.unwrap_or(answer));
            }
            _ => {}
        }
        self.state(|state| state.answers.insert(job, answer.clone()));
        done(answer)
    }

    fn vms(&self, fits: impl Fn(&VmRow) -> bool) -> Vec<VmRow> {
        self.platform.vms().into_iter().filter(fits).collect()
    }

    /// Sends the request to one minion after another until one accepts it.
    async fn forward(&self, service: &str, key: Option<&str>, body: &Bytes) -> Option<Bytes> {
        let minions = self.vms(|vm| vm.service.as_ref().is_some_and(|s| s.as_str() == service));
        for minion in minions {
            let url = format!("http://{}/{service}", minion.address);
            let mut request = Client::default().post(url);
            if let Some(key) = key {
                request = request.insert_header(("x-job-key", key));
            }
            let Ok(mut answer) = request.send_body(body.clone()).await else { continue };
            if answer.status() == StatusCode::OK {
                return answer.body().await.ok();
            }
        }
        None
    }

    async fn start_task(&self, call: &Call, job: &str) -> Reply {
        let workers = self.vms(|vm| vm.kind == VmKind::Worker && vm.pool.as_str() == "presses");
        let spec = String::from_utf8_lossy(&call.body).into_owned();
        let start = json!({
            "task": job, "token": 1, "lease_ms": 60_000, "cores": 100, "memory": 16, "accelerators": 0,
            "run_ms": 20, "spec": spec,
        });
        for worker in workers {
            let url = format!("http://{}/v1/tasks", worker.address);
            let Ok(answer) = Client::default().post(url).send_json(&start).await else { continue };
            if answer.status() == StatusCode::CREATED {
                self.state(|state| state.tasks.insert(job.to_owned(), worker.address));
                return pending();
            }
        }
        not_run()
    }

    async fn job(&self, job: &str) -> Reply {
        let missing = Reply::error(StatusCode::NOT_FOUND, "no such job");
        if self.fault == NodeFault::ForgetsJobs {
            return missing;
        }
        if let Some(answer) = self.state(|state| state.answers.get(job).cloned()) {
            return done(answer);
        }
        let Some(address) = self.state(|state| state.tasks.get(job).copied()) else {
            return missing;
        };
        let url = format!("http://{address}/v1/tasks/{job}");
        let Ok(mut answer) = Client::default().get(url).send().await else { return pending() };
        let row: serde_json::Value = answer.json().await.unwrap_or_default();
        match row["answer"].as_str() {
            Some(answer) => done(answer.to_owned().into()),
            None => pending(),
        }
    }
}

fn done(answer: Bytes) -> Reply {
    Reply::new(StatusCode::OK, answer).with("x-outcome", "done")
}

fn pending() -> Reply {
    let body = json!({ "outcome": "pending", "reason": "accepted, started" });
    Reply::json(StatusCode::ACCEPTED, &body).with("x-outcome", "pending")
}

fn not_run() -> Reply {
    let body = json!({ "outcome": "not-run", "reason": "no capacity", "retry_after_ms": 100 });
    Reply::json(StatusCode::SERVICE_UNAVAILABLE, &body).with("x-outcome", "not-run")
}

/// Duration that is long enough for the fake nodes and short for a test.
pub(crate) const SHORT_DURATION: Duration = Duration::from_millis(1500);
