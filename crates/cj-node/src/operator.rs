//! Operator API: status, decision history of jobs and VMs, and publication of settings.

use std::{rc::Rc, time::Duration};

use actix_http::{Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use serde_json::{Value, json};

use cj_fold::{JobPhase, State, VmPhase};
use cj_log::LogService;
use cj_record::SignedSetting;
use cj_types::{Clock, Offset, StreamId};

use crate::{context::NodeContext, http::read_body};

/// Name of the stream of published settings.
const SETTINGS_STREAM: &str = "settings";
/// Time limit for appending a settings record.
const APPEND_LIMIT: Duration = Duration::from_secs(3);

/// Handles a request on the operator address.
pub async fn handle<L, C>(
    node: Rc<NodeContext<L, C>>,
    log: Rc<L>,
    mut request: Request,
) -> Response<Bytes>
where
    L: LogService,
    C: Clock + 'static,
{
    let path = request.path().to_owned();
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let (status, body) = match (request.method(), &segments[..]) {
        (&Method::GET, ["status"]) => (StatusCode::OK, status(&node)),
        (&Method::GET, ["settings"]) => (StatusCode::OK, settings(&node.replica.state())),
        (&Method::GET, ["settings", "verdict", offset]) => verdict(&node.replica.state(), offset),
        (&Method::POST, ["settings"]) => publish(&*log, &mut request).await,
        (&Method::GET, ["explain", rest @ ..]) => explain(&node.replica.state(), &rest.join("/")),
        _ => {
            let help = "use GET /status, GET /settings, GET /settings/verdict/N, GET /explain/ID or POST /settings";
            (StatusCode::NOT_FOUND, json!({ "error": "unknown path", "help": help }))
        }
    };
    json_response(status, &body)
}

/// A response with a JSON body.
fn json_response(status: StatusCode, body: &Value) -> Response<Bytes> {
    let mut response = Response::with_body(status, Bytes::from(body.to_string()));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    response
}

fn status<L, C>(node: &NodeContext<L, C>) -> Value
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let lag = node.replica.lag();
    let view = node.peers.view();
    let peers: Vec<Value> = view
        .live(node.now())
        .into_iter()
        .map(|p| {
            let report = &p.report;
            json!({ "node": report.node.node, "applied": report.applied, "settings_offset": report.settings })
        })
        .collect();
    json!({
        "node": node.id(),
        "incarnation": format!("{}", node.replica.node()),
        "version": env!("CARGO_PKG_VERSION"),
        "applied": state.next,
        "routed": node.routed_offset.get(),
        "end": lag.end,
        "log_reachable": lag.reachable,
        "log_age_ms": lag.read_age.as_millis() as u64,
        "fault": node.replica.fault().map(|f| format!("{f:?}")),
        "settings_offset": state.settings_next,
        "state_hash": blake3::Hash::from(state.hash).to_hex().as_str(),
        "fold_time_ms": state.now,
        "peers": peers,
        "pools": pools(&state),
        "jobs": jobs(&state),
        "lent_seconds": state.lent.iter().map(|(t, d)| (t.to_string(), json!(d.as_secs()))).collect::<serde_json::Map<_, _>>(),
        "records": json!({
            "batches": state.counters.batches,
            "accepted": state.counters.accepted,
            "rejected": state.counters.rejected,
            "duplicates": state.counters.duplicates,
            "corrupt": state.counters.corrupt,
            "unknown": state.counters.unknown,
        }),
    })
}

fn pools(state: &State) -> Value {
    let mut pools = serde_json::Map::new();
    for (id, pool) in &state.fleet.pools {
        let total = state.vms.values().filter(|vm| vm.pool == *id).count();
        let borrowed = state.vms.values().filter(|vm| vm.pool == *id && vm.home.is_some()).count();
        let active = state.active_vms(id).count();
        pools.insert(
            id.to_string(),
            json!({
                "active": active,
                "total": total,
                "borrowed": borrowed,
                "min_available": pool.min_available,
                "target": pool.target,
                "budget_met": active >= pool.min_available as usize,
            }),
        );
    }
    Value::Object(pools)
}

/// Name of a job's phase, as used in status and metrics.
pub fn job_phase(phase: &JobPhase) -> &'static str {
    match phase {
        JobPhase::Queued => "queued",
        JobPhase::Claimed(_) => "claimed",
        JobPhase::Done { .. } => "done",
        JobPhase::Cancelled { .. } => "cancelled",
        JobPhase::Parked { .. } => "parked",
        JobPhase::OutcomeUnknown { .. } => "unknown",
    }
}

/// Name of a VM's phase, as used in status and metrics.
pub fn vm_phase(phase: &VmPhase) -> &'static str {
    match phase {
        VmPhase::Active => "active",
        VmPhase::Draining { .. } => "draining",
        VmPhase::Drained { .. } => "drained",
        VmPhase::Rebooting { .. } => "rebooting",
        VmPhase::Failed { .. } => "failed",
        VmPhase::OutOfRotation { .. } => "out-of-rotation",
    }
}

fn jobs(state: &State) -> Value {
    let mut counts = std::collections::BTreeMap::<&str, u64>::new();
    for job in state.jobs.values() {
        *counts.entry(job_phase(&job.phase)).or_default() += 1;
    }
    json!(counts)
}

fn settings(state: &State) -> Value {
    let values: Vec<Value> = state
        .settings
        .iter()
        .map(|(path, value)| {
            json!({ "path": path.to_string(), "value": value.value, "version": value.version, "offset": value.offset })
        })
        .collect();
    json!({ "settings_offset": state.settings_next, "values": values })
}

fn verdict(state: &State, offset: &str) -> (StatusCode, Value) {
    let Ok(offset) = offset.parse::<Offset>() else {
        let help = "use the offset that POST /settings returned";
        return (StatusCode::BAD_REQUEST, json!({ "error": "invalid offset", "help": help }));
    };
    let found = state.verdicts.iter().find(|v| v.offset == offset);
    let body = match found {
        Some(v) => match &v.rejected {
            Some(reason) => json!({ "verdict": "rejected", "reason": reason, "offset": offset }),
            None => json!({ "verdict": "in-force", "offset": offset }),
        },
        None if offset < state.settings_next => json!({ "verdict": "forgotten", "offset": offset }),
        None => json!({ "verdict": "pending", "offset": offset }),
    };
    (StatusCode::OK, body)
}

async fn publish<L>(log: &L, request: &mut Request) -> (StatusCode, Value)
where
    L: LogService,
{
    let body = match read_body(request).await {
        Ok(body) => body,
        Err(answer) => return (answer.status, json!({ "error": "cannot read the request body" })),
    };
    if let Err(e) = SignedSetting::decode(&body) {
        return (StatusCode::BAD_REQUEST, json!({ "error": e.to_string(), "outcome": "not-run" }));
    }
    let Ok(stream) = SETTINGS_STREAM.parse::<StreamId>() else {
        return (
            StatusCode::INTERNAL_SERVER_ERROR,
            json!({ "error": "invalid name of the settings stream" }),
        );
    };
    let unknown = |reason: String| {
        let help = "publish the same record again; a second copy changes nothing";
        (
            StatusCode::GATEWAY_TIMEOUT,
            json!({ "error": reason, "outcome": "unknown", "help": help }),
        )
    };
    match tokio::time::timeout(APPEND_LIMIT, log.append(&stream, body.to_vec())).await {
        Ok(Ok(offset)) => (StatusCode::ACCEPTED, json!({ "offset": offset })),
        Ok(Err(e)) if e.is_unanswered() => unknown(e.to_string()),
        Ok(Err(e)) => (
            StatusCode::SERVICE_UNAVAILABLE,
            json!({ "error": e.to_string(), "outcome": "not-run" }),
        ),
        Err(_) => unknown("no answer from the log within 3 s".into()),
    }
}

fn explain(state: &State, id: &str) -> (StatusCode, Value) {
    let decisions: Vec<Value> = state
        .history
        .iter()
        .filter(|d| d.subject == id)
        .map(|d| json!({ "offset": d.offset, "at_ms": d.at, "node": d.node.to_string(), "decision": d.text }))
        .collect();
    let job = id.parse().ok().and_then(|j| state.jobs.get(&j)).map(|j| {
        json!({
            "service": j.service, "class": j.class, "team": j.team, "pool": j.pool, "attempts": j.attempts,
            "phase": job_phase(&j.phase),
            "failures": j.failures.iter().map(|(vm, why)| json!({ "vm": vm, "reason": why })).collect::<Vec<_>>(),
        })
    });
    let vm = id.parse().ok().and_then(|v| state.vms.get(&v)).map(|v| {
        json!({
            "pool": v.pool, "home": v.home, "rack": v.rack, "data_centre": v.centre, "phase": vm_phase(&v.phase),
            "generation": v.generation, "maintained_ms": v.maintained, "moved_ms": v.moved,
            "failures": v.failures.len(),
        })
    });
    if job.is_none() && vm.is_none() && decisions.is_empty() {
        let help = "use a VM id or CALLER/KEY of recorded work; idempotent requests are in the decision log lines only";
        return (
            StatusCode::NOT_FOUND,
            json!({ "error": format!("no job, VM or decision has the id `{id}`"), "help": help }),
        );
    }
    (StatusCode::OK, json!({ "id": id, "job": job, "vm": vm, "decisions": decisions }))
}
