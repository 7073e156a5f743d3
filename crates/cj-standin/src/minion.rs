//! A fake minion: an upstream with a fixed number of slots that answers HTTP requests of one service.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{Method, StatusCode};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128_with_seed};

use cj_types::{ServiceId, VmId};

use crate::{
    fleet::VmState,
    http::{Call, Handler, Reply, lock},
    platform::Shared,
};

/// Number of bytes of the request body that an answer repeats at most, so that recorded answers stay below 4 KiB.
const MAX_ECHO_BYTES: usize = 1024;

/// The complete answer of an upstream or task. It depends only on the job key and the body, so that a caller can check
/// that an answer is complete and belongs to its own request.
pub fn expected_answer(key: &str, body: &[u8]) -> String {
    let digest = xxh3_128_with_seed(body, xxh3_64(key.as_bytes()));
    let echo = String::from_utf8_lossy(&body[..body.len().min(MAX_ECHO_BYTES)]);
    format!("{key} {digest:032x} {}\n{echo}\nend {digest:032x}\n", body.len())
}

/// Key under which runs of a request without `x-job-key` are recorded.
pub fn body_key(body: &[u8]) -> String {
    format!("body:{:016x}", xxh3_64(body))
}

/// Service time of one request, between 0.5 and 1.5 times the mean depending on its key.
fn service_time(mean: Duration, key: &str) -> Duration {
    let share = xxh3_64_with_seed(key.as_bytes(), 7) % 1000;
    mean / 2 + mean.mul_f64(share as f64 / 1000.0)
}

/// HTTP handler of a minion.
pub(crate) fn handler(shared: Arc<Shared>, vm: VmId) -> Handler {
    Arc::new(move |call| {
        let (shared, vm) = (shared.clone(), vm.clone());
        Box::pin(async move { Some(answer(shared, vm, call).await) })
    })
}

async fn answer(shared: Arc<Shared>, vm: VmId, call: Call) -> Reply {
    let service = call.segments().pop().and_then(|name| ServiceId::try_from(name.as_str()).ok());
    let (&Method::POST, Some(service)) = (&call.method, service) else {
        return Reply::error(StatusCode::NOT_FOUND, "use POST /{service}").with("x-not-run", 1);
    };
    let job_key = call.header("x-job-key").unwrap_or_default().to_owned();
    let run_key = if job_key.is_empty() { body_key(&call.body) } else { job_key.clone() };
    let slot = match BusySlot::start(&shared, &vm, &service, run_key) {
        Ok(slot) => slot,
        Err(refusal) => return refusal,
    };
    let mean = shared.options.service_times.get(&service).copied();
    let mean = mean.unwrap_or(shared.options.service_time);
    tokio::time::sleep(service_time(mean, &slot.key)).await;
    let load = slot.finish();
    Reply::new(StatusCode::OK, expected_answer(&job_key, &call.body)).with("x-load", load)
}

/// A slot that a request occupies. Dropping it before `finish` frees the slot and counts the request as aborted
/// or abandoned.
struct BusySlot {
    shared: Arc<Shared>,
    vm: VmId,
    key: String,
    finished: bool,
}

impl BusySlot {
    fn start(
        shared: &Arc<Shared>,
        id: &VmId,
        service: &ServiceId,
        key: String,
    ) -> Result<BusySlot, Reply> {
        let now = Instant::now();
        let fleet = &mut *lock(&shared.fleet);
        let observed = &mut fleet.observed;
        let Some(vm) = fleet.vms.get_mut(id) else { return Err(refusal("no such VM", 0)) };
        if vm.is_past_leaving_grace(now) {
            observed.late_to_leaving += 1;
            log::warn!("{id}: request {key} arrived after the VM's grace period for leaving");
        }
        if vm.row.state != VmState::Live {
            observed.refused_leaving += 1;
            return Err(refusal("the VM is leaving", vm.in_flight));
        }
        if vm.row.service.as_ref() != Some(service) {
            observed.vm_in_two_pools += u64::from(vm.is_past_assign_grace(now));
            return Err(refusal("the VM serves another service", vm.in_flight));
        }
        if vm.in_flight >= shared.options.slots {
            observed.refused_full += 1;
            return Err(refusal("no slot is free", vm.in_flight));
        }
        vm.in_flight += 1;
        observed.executions.entry(key.clone()).or_default().starts += 1;
        Ok(BusySlot { shared: shared.clone(), vm: id.clone(), key, finished: false })
    }

    /// Records the end of the run, frees the slot, and returns the number of busy slots.
    fn finish(mut self) -> u32 {
        self.finished = true;
        let fleet = &mut *lock(&self.shared.fleet);
        fleet.observed.executions.entry(self.key.clone()).or_default().ends += 1;
        let Some(vm) = fleet.vms.get_mut(&self.vm) else { return 0 };
        vm.in_flight = vm.in_flight.saturating_sub(1);
        vm.in_flight
    }
}

impl Drop for BusySlot {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let fleet = &mut *lock(&self.shared.fleet);
        let Some(vm) = fleet.vms.get_mut(&self.vm) else { return };
        vm.in_flight = vm.in_flight.saturating_sub(1);
        if vm.failed {
            fleet.observed.cut_by_failure += 1;
        } else if vm.rebooting {
            fleet.observed.cut_off_in_flight += 1;
            log::warn!("{}: request {} was aborted by a reboot", self.vm, self.key);
        } else {
            fleet.observed.abandoned += 1;
        }
    }
}

fn refusal(reason: &str, load: u32) -> Reply {
    Reply::error(StatusCode::SERVICE_UNAVAILABLE, reason).with("x-not-run", 1).with("x-load", load)
}
