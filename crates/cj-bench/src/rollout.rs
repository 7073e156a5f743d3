//! Time and moves of a maintenance wave over a whole fleet, without failures and with 5% of the VMs failing.
//!
//! The lower bound is ceil(n / slack) x (drain + reboot) of the slowest pool. With the failure-domain rule a pool needs
//! at least the sum over its domains of ceil(VMs in the domain / slack) rounds; where that is more, the ratio to the
//! bound with the rule is what a planner can reach.

use std::time::Duration;

use rand::{Rng, seq::IteratorRandom};
use serde_json::{Value, json};

use cj_fleet::{Evidence, Proposal, plan};
use cj_fold::{State, VmPhase};
use cj_record::{Entry, Purpose};
use cj_settings::DomainRule;
use cj_types::{Error, ErrorKind, PoolId, Result, UnixMillis, VmId};

use crate::{
    Options,
    fleet::{Faults, Layout, Planner, Run},
};

/// Share of the VMs that fail in the runs with failures.
const FAILING: f64 = 0.05;

/// Share of repairs that need a second reboot in the runs with failures.
const REPAIR_FAILS: f64 = 0.1;

/// Part by which drains and reboots vary in the runs with jitter.
const JITTER: f64 = 0.1;

/// VMs in all runs with failures of one figure together; each run has its own seed.
const FAILURE_VMS: u64 = 6000;

/// Largest number of runs with failures per figure.
const FAILURE_RUNS: u64 = 20;

/// A run that takes longer than this many times its bound has got stuck.
const STUCK: u32 = 100;

/// 12:00 UTC on some day.
const START: UnixMillis = UnixMillis(1_800_014_400_000);

/// Runs the wave at 48 and at 3,000 VMs, or at the given number of workers.
pub fn run(options: &Options) -> Result<Value> {
    let sizes = options.workers.map_or(vec![48, 3000], |n| vec![n]);
    let reports = sizes.iter().map(|&n| {
        let layout = Layout { wave: Some(START), ..Layout::sized(n) };
        Ok((format!("vms_{}", layout.size()), size_report(&layout, options.seed)?))
    });
    let reports: Vec<(String, Value)> = reports.collect::<Result<_>>()?;
    let targets = json!({
        "rollout_ratio": 1.05, "moves_ratio": 1.05, "budget_breaches": 0, "window_breaches": 0,
        "with_failures.rollout_ratio": 1.25,
    });
    let mut report = json!({ "seed": options.seed, "targets": targets });
    for (name, value) in reports {
        report[name] = value;
    }
    Ok(report)
}

fn size_report(layout: &Layout, seed: u64) -> Result<Value> {
    let quiet = Faults::default();
    let jitter = Faults { jitter: JITTER, ..quiet.clone() };
    let failing = Faults { repair_fails: REPAIR_FAILS, ..quiet.clone() };
    let mut report = wave(layout, &quiet, plan, 0.0, seed)?;
    report["pools"] = json!(layout.pools.iter().map(|p| p.count).sum::<u32>());
    report["drain_s"] = json!(quiet.drain.as_secs());
    report["reboot_s"] = json!(quiet.reboot.as_secs());
    report["with_failures"] = with_failures(layout, &failing, seed)?;
    report["with_jitter"] = wave(layout, &jitter, plan, 0.0, seed)?;
    let wide = Layout { pools: layout.pools.clone(), ..layout.clone() };
    report["wide_slack"] = wave(&widen(wide), &quiet, plan, 0.0, seed)?;
    let any = Layout { domain: DomainRule::Any, ..widen(layout.clone()) };
    report["wide_slack_any_domain"] = wave(&any, &quiet, plan, 0.0, seed)?;
    // The window starts 20 minutes after the wave.
    let windowed = Layout { forbidden: "12:20-13:20".into(), ..layout.clone() };
    report["with_window"] = wave(&windowed, &quiet, plan, 0.0, seed)?;
    report["one_at_a_time"] = wave(layout, &quiet, one_at_a_time, 0.0, seed)?;
    report["fixed_batch"] = wave(layout, &quiet, fixed_batch, 0.0, seed)?;
    report["fixed_batch"]["with_jitter"] = wave(layout, &jitter, fixed_batch, 0.0, seed)?;
    report["fixed_batch"]["with_failures"] = wave(layout, &failing, fixed_batch, FAILING, seed)?;
    Ok(report)
}

/// Half as much slack again, so that it doesn't divide the racks evenly.
fn widen(mut layout: Layout) -> Layout {
    for pool in &mut layout.pools {
        pool.slack += pool.slack / 2;
    }
    layout
}

/// The slowest of several waves with failures, which VMs fail and when being random, and the mean ratio.
fn with_failures(layout: &Layout, faults: &Faults, seed: u64) -> Result<Value> {
    let count = (FAILURE_VMS / u64::from(layout.size())).clamp(1, FAILURE_RUNS);
    let runs = (0..count).map(|i| wave(layout, faults, plan, FAILING, seed + i));
    let runs: Vec<Value> = runs.collect::<Result<_>>()?;
    let ratio = |run: &Value| run["rollout_ratio"].as_f64().unwrap_or(f64::INFINITY);
    let sum = |key: &str| runs.iter().filter_map(|run| run[key].as_u64()).sum::<u64>();
    let mean = runs.iter().map(ratio).sum::<f64>() / runs.len() as f64;
    let checks =
        ["budget_breaches", "window_breaches", "domain_breaches", "hasty_moves", "work_cut_off"];
    let sums: Vec<(&str, u64)> = checks.iter().map(|key| (*key, sum(key))).collect();
    let slowest = runs.iter().max_by(|a, b| ratio(a).total_cmp(&ratio(b)));
    let mut report = slowest.cloned().unwrap_or_default();
    report["mean_rollout_ratio"] = json!(mean);
    report["runs"] = json!(count);
    for (key, sum) in sums {
        report[key] = json!(sum);
    }
    Ok(report)
}

/// One wave over all pools.
fn wave(
    layout: &Layout,
    faults: &Faults,
    planner: Planner,
    failing: f64,
    seed: u64,
) -> Result<Value> {
    let mut run = Run::new(layout, faults.clone(), 1, START, seed)?;
    let (rounds, rule_rounds) = layout.rounds()?;
    let round = faults.drain + faults.reboot;
    let (bound, rule_bound) = (round * rounds, round * rule_rounds);
    let mut failures = failures(&mut run, failing, rule_bound);
    let mut failed = 0;
    while !finished(&run.state) {
        while let Some((_, vm)) = failures.pop_if(|(at, _)| *at <= run.now) {
            run.platform.fail(&vm);
            failed += 1;
        }
        let next = failures.last().map_or(UnixMillis(u64::MAX), |(at, _)| *at);
        run.step_until(planner, next)?;
        if run.now.since(START) > rule_bound * STUCK {
            let kind = ErrorKind::Failed(format!("wave stuck: {}", progress(&run.state)).into());
            return Err(Error::new(kind, "run again with this seed and read the notices"));
        }
    }
    let taken = run.now.since(START);
    let (total, plans) = run.plan_time;
    let moves = run.audit.lends + run.audit.returns;
    // Every lend leaves its spare pool short by one VM, which the return covers.
    let deficits = run.audit.deficits + run.audit.lends;
    let ratio = |a: Duration, b: Duration| a.as_secs_f64() / b.as_secs_f64();
    Ok(json!({
        "rollout_s": taken.as_secs_f64(),
        "bound_s": bound.as_secs(),
        "rule_bound_s": rule_bound.as_secs(),
        "rollout_ratio": ratio(taken, bound),
        "rule_rollout_ratio": ratio(taken, rule_bound),
        "moves": moves,
        "lends": run.audit.lends,
        "deficits": run.audit.deficits,
        "moves_ratio": if moves == 0 { 0.0 } else { moves as f64 / deficits.max(1) as f64 },
        "moves_to_borrower_deficits": moves as f64 / run.audit.deficits.max(1) as f64,
        "lends_ratio": if moves == 0 { 0.0 } else { run.audit.lends as f64 / run.audit.deficits.max(1) as f64 },
        "hasty_moves": run.audit.hasty_moves,
        "failed_vms": failed,
        "budget_breaches": run.audit.budget_breaches,
        "window_breaches": run.audit.window_breaches,
        "domain_breaches": run.audit.domain_breaches,
        "work_cut_off": run.platform.cut_off,
        "plan_ms": { "mean": total.as_secs_f64() * 1e3 / f64::from(plans), "max": run.slowest_plan.as_secs_f64() * 1e3 },
    }))
}

/// Failures of random VMs at random times of the wave, the last one first.
fn failures(run: &mut Run, share: f64, span: Duration) -> Vec<(UnixMillis, VmId)> {
    let count = (run.state.vms.len() as f64 * share).ceil() as usize;
    let vms: Vec<VmId> = run.state.vms.keys().cloned().choose_multiple(&mut run.rng, count);
    let mut failures: Vec<(UnixMillis, VmId)> =
        vms.into_iter().map(|vm| (START + span.mul_f64(run.rng.random::<f64>()), vm)).collect();
    failures.sort_by(|a, b| b.cmp(a));
    failures
}

/// True when every VM of the wave was rebooted or taken out.
fn finished(state: &State) -> bool {
    let done = |vm: &cj_fold::Vm| {
        matches!(vm.phase, VmPhase::OutOfRotation { .. })
            || vm.phase.op().is_none() && vm.maintained >= START
    };
    state.vms.values().all(done)
}

fn progress(state: &State) -> String {
    let open = |vm: &cj_fold::Vm| {
        !matches!(vm.phase, VmPhase::Active | VmPhase::OutOfRotation { .. })
            || vm.maintained < START
    };
    let left = state.vms.iter().filter(|(_, vm)| open(vm));
    let left: Vec<String> = left
        .take(5)
        .map(|(id, vm)| format!("{id} {} {:?} {:?}", vm.pool, vm.phase, vm.failures))
        .collect();
    left.join(", ")
}

fn wave_drain(entry: &Entry) -> Option<&VmId> {
    match entry {
        Entry::Drain { vm, purpose: Purpose::Wave(_), .. } => Some(vm),
        _ => None,
    }
}

fn in_wave(state: &State, pool: &PoolId) -> bool {
    state.vms.values().any(|vm| vm.pool == *pool && vm.phase.op().is_some())
}

/// Baseline: one VM per pool after another.
fn one_at_a_time(state: &State, evidence: &Evidence, now: UnixMillis) -> Vec<Proposal> {
    batches(state, evidence, now, Some(1))
}

/// Baseline: as many VMs as the slack allows, then wait until the whole batch is back.
fn fixed_batch(state: &State, evidence: &Evidence, now: UnixMillis) -> Vec<Proposal> {
    batches(state, evidence, now, None)
}

fn batches(
    state: &State,
    evidence: &Evidence,
    now: UnixMillis,
    size: Option<u32>,
) -> Vec<Proposal> {
    let mut started = std::collections::BTreeMap::new();
    let mut proposals = plan(state, evidence, now);
    proposals.retain(|p| {
        let Some(vm) = wave_drain(&p.entry) else { return true };
        let pool = &state.vms[vm].pool;
        let count =
            started.entry(pool).or_insert_with(|| if in_wave(state, pool) { u32::MAX } else { 0 });
        *count = count.saturating_add(1);
        *count <= size.unwrap_or(u32::MAX - 1)
    });
    proposals
}
