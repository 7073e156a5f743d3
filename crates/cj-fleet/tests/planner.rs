//! Table tests of the planner: each row has the failure it guards against, a state with observations, and the expected
//! plan.

use std::{collections::BTreeMap, time::Duration};

use cj_fleet::{Evidence, Plan, Probe, plan_with_notices};
use cj_fold::{State, Vm, VmPhase};
use cj_record::{Entry, Purpose, VmFacts, VmKind};
use cj_settings::{DailyWindow, DomainRule, PoolSettings, WaveSettings};
use cj_types::{BootId, Generation, OpId, PoolId, Resources, UnixMillis, VmId};

const MINUTE: Duration = Duration::from_secs(60);
/// A day at 12:00 UTC, in milliseconds since the Unix epoch.
const NOW: UnixMillis = UnixMillis(1_800_014_400_000);

/// State and observations of one case. Pools `a` and `b` have 4 VMs each (`a0` to `b3`, two per rack, at least 2 must
/// be available), and the spare pool `s` has 2. `b` precedes `a`. A wave that includes `a` has started.
struct Case {
    state: State,
    evidence: Evidence,
}

fn id<T>(text: &str) -> T
where
    T: for<'a> TryFrom<&'a str>,
    for<'a> <T as TryFrom<&'a str>>::Error: std::fmt::Debug,
{
    T::try_from(text).expect("valid id")
}

fn pool(spare: bool, size: u32, min: u32, precedence: u32) -> PoolSettings {
    PoolSettings {
        office: id("office"),
        min_available: min,
        target: size,
        classes: Vec::new(),
        spare,
        borrows: (!spare).then(|| id("s")),
        precedence,
        hysteresis: 10 * MINUTE,
        owner: id("team"),
    }
}

fn facts(name: &str) -> VmFacts {
    let pool = &name[..1];
    let number: u32 = name[1..].parse().expect("a number");
    VmFacts {
        vm: id(name),
        address: "10.0.0.1:80".into(),
        pool: id(pool),
        rack: id(&format!("rack-{pool}{}", number / 2)),
        centre: id("dc"),
        kind: VmKind::Worker,
        capacity: Resources::default(),
        boot: BootId(1),
    }
}

fn vm(facts: VmFacts) -> Vm {
    Vm {
        address: facts.address,
        pool: facts.pool,
        home: None,
        rack: facts.rack,
        centre: facts.centre,
        kind: facts.kind,
        capacity: facts.capacity,
        boot: facts.boot,
        generation: Generation(2),
        phase: VmPhase::Active,
        maintained: UnixMillis(0),
        moved: UnixMillis(0),
        previous: None,
        billed: UnixMillis(0),
        failures: Vec::new(),
    }
}

impl Case {
    fn new() -> Self {
        let mut state = State::new(BTreeMap::new());
        state.now = NOW;
        let pools = [("a", false, 4, 2, 1), ("b", false, 4, 2, 0), ("s", true, 2, 0, 0)];
        let mut evidence = Evidence::default();
        for (name, spare, size, min, precedence) in pools {
            state.fleet.pools.insert(id(name), pool(spare, size, min, precedence));
            for i in 0..size {
                let facts = facts(&format!("{name}{i}"));
                evidence.listed.push(facts.clone());
                state.vms.insert(facts.vm.clone(), vm(facts));
            }
        }
        let wave = WaveSettings {
            office: id("office"),
            pools: vec![id("a")],
            start: NOW - MINUTE,
            forbidden: Vec::new(),
            drain_limit: 2 * MINUTE,
            reboot_limit: 3 * MINUTE,
            domain: DomainRule::Rack,
        };
        state.fleet.waves.insert(id("w"), wave);
        Case { state, evidence }
    }

    fn vm(&mut self, name: &str) -> &mut Vm {
        self.state.vms.get_mut(&id::<VmId>(name)).expect("known VM")
    }

    fn phase(mut self, name: &str, phase: VmPhase) -> Self {
        self.vm(name).phase = phase;
        self
    }

    fn failed(self, names: &[&str]) -> Self {
        names.iter().fold(self, |mut case, name| {
            case.vm(name).failures = vec![NOW - MINUTE];
            case.phase(name, VmPhase::Failed { since: NOW - MINUTE })
        })
    }

    fn draining(self, name: &str, purpose: Purpose) -> Self {
        self.phase(name, VmPhase::Draining { op: OpId(1), purpose, since: NOW - MINUTE })
    }

    fn drained(self, name: &str, purpose: Purpose) -> Self {
        self.phase(name, VmPhase::Drained { op: OpId(1), purpose, since: NOW - MINUTE })
    }

    fn rebooting(self, name: &str, since: UnixMillis) -> Self {
        self.phase(name, VmPhase::Rebooting { op: OpId(1), purpose: wave_purpose(), since })
    }

    fn without_wave(mut self) -> Self {
        self.state.fleet.waves.clear();
        self
    }

    fn window(mut self, from_minutes: u32) -> Self {
        let from = 12 * 3600 + from_minutes * 60;
        for wave in self.state.fleet.waves.values_mut() {
            wave.forbidden = vec![DailyWindow { from, to: from + 3600 }];
        }
        self
    }

    fn probe(mut self, name: &str, healthy: bool, boot: u64) -> Self {
        let boot = healthy.then_some(BootId(boot));
        self.evidence.probes.insert(id(name), Probe { at: NOW, healthy, boot });
        self
    }

    fn in_flight(mut self, name: &str, count: u32) -> Self {
        self.evidence.in_flight.insert(id(name), count);
        self
    }

    fn unlisted(mut self, names: &[&str]) -> Self {
        self.evidence.listed.retain(|f| !names.contains(&f.vm.as_str()));
        self
    }

    fn demand(mut self, pool: &str, vms: u32) -> Self {
        self.evidence.demand.insert(id(pool), vms);
        self
    }

    fn borrowed(mut self, name: &str, to: &str, moved: UnixMillis) -> Self {
        let home = self.vm(name).pool.clone();
        let vm = self.vm(name);
        (vm.pool, vm.home, vm.previous, vm.moved) = (id(to), Some(home.clone()), Some(home), moved);
        self
    }

    fn edit<F>(mut self, change: F) -> Self
    where
        F: FnOnce(&mut Case),
    {
        change(&mut self);
        self
    }
}

fn wave_purpose() -> Purpose {
    Purpose::Wave(id("w"))
}

fn move_to(pool: &str) -> Purpose {
    Purpose::Move(id::<PoolId>(pool))
}

fn entry_text(entry: &Entry) -> String {
    match entry {
        Entry::Tick => "tick".into(),
        Entry::Register(facts) => format!("register {}", facts.vm),
        Entry::Drain { vm, purpose: Purpose::Wave(_), .. } => format!("drain {vm}"),
        Entry::Drain { vm, purpose: Purpose::Move(pool), .. } => format!("drain {vm} to {pool}"),
        Entry::Drain { vm, purpose: Purpose::Repair, .. } => format!("repair {vm}"),
        Entry::Drained { vm, .. } => format!("drained {vm}"),
        Entry::Reboot { vm, .. } => format!("reboot {vm}"),
        Entry::Rebooted { vm, .. } => format!("rebooted {vm}"),
        Entry::Move { vm, to, .. } => format!("move {vm} to {to}"),
        Entry::Undrain { vm, .. } => format!("undrain {vm}"),
        Entry::Health { vm, healthy, .. } => {
            format!("{} {vm}", if *healthy { "healthy" } else { "failed" })
        }
        Entry::TakeOut { vm, .. } => format!("out {vm}"),
        Entry::Remove { vm, .. } => format!("remove {vm}"),
        other => format!("{other:?}"),
    }
}

fn plan_text(plan: &Plan) -> String {
    assert!(plan.proposals.iter().all(|p| !p.reason.is_empty()), "every proposal has a reason");
    let entries: Vec<String> = plan.proposals.iter().map(|p| entry_text(&p.entry)).collect();
    let notices: String = plan.notices.iter().map(|n| format!(" !{n}")).collect();
    (entries.join(", ") + &notices).trim().to_owned()
}

fn check_plans(cases: Vec<(&str, Case, &str)>) {
    let mismatches = cases.into_iter().filter_map(|(guards_against, case, expected)| {
        let planned = plan_text(&plan_with_notices(&case.state, &case.evidence, NOW));
        (planned != expected).then(|| format!("{guards_against}:\n  {planned}\n  {expected}\n"))
    });
    let mismatches: String = mismatches.collect();
    assert!(mismatches.is_empty(), "failure guarded against, plan, expected plan:\n{mismatches}");
}

#[test]
fn waves() {
    let repeat = |n| vec![NOW - MINUTE; n];
    check_plans(vec![
        ("unused slack, and two racks at once", Case::new(), "drain a0, drain a1"),
        (
            "a second rack while the first is in progress",
            Case::new().draining("a0", wave_purpose()).edit(|c| c.vm("a1").maintained = NOW),
            "",
        ),
        (
            "a wave that uses up the budget left by a failure",
            Case::new().failed(&["a0", "a1"]),
            "move s0 to a, move s1 to a, repair a0 \
             !rack-a0: all VMs failed; one of them is repaired first",
        ),
        (
            "a wave that can never start and is not reported",
            Case::new().edit(|c| {
                c.state.fleet.pools.get_mut(&id::<PoolId>("a")).expect("pool").min_available = 4;
            }),
            "!pool a: wave w can't start, all 4 VMs have to be available",
        ),
        ("a wave that runs into a forbidden window", Case::new().window(5), ""),
        (
            "a wave that waits although the window is far away",
            Case::new().window(6),
            "drain a0, drain a1",
        ),
        (
            "a reboot that would overlap a forbidden window",
            Case::new().drained("a0", wave_purpose()).probe("a0", true, 1).window(3),
            "undrain a0",
        ),
        (
            "a drain completed while work is in flight",
            Case::new().draining("a0", wave_purpose()).in_flight("a0", 1),
            "drain a1",
        ),
        (
            "a drain over its limit that is not reported",
            Case::new().in_flight("a0", 1).phase(
                "a0",
                VmPhase::Draining { op: OpId(1), purpose: wave_purpose(), since: NOW - 3 * MINUTE },
            ),
            "drain a1 !a0: drain 1 has taken 180 s, limit 120 s",
        ),
        (
            "a drain that ends while the work in flight is unknown",
            Case::new().draining("a0", wave_purpose()),
            "drain a1",
        ),
        (
            "a reboot of a VM that was not drained",
            Case::new().draining("a0", wave_purpose()).in_flight("a0", 0),
            "drained a0, drain a1",
        ),
        (
            "a reboot of a VM that was not probed",
            Case::new().drained("a0", wave_purpose()),
            "drain a1",
        ),
        (
            "a second restart of a VM that restarted by itself",
            Case::new().drained("a0", wave_purpose()).probe("a0", true, 2),
            "undrain a0, drain a1",
        ),
        (
            "a reboot recorded as completed although the boot id is unchanged",
            Case::new().rebooting("a0", NOW - MINUTE).probe("a0", true, 1),
            "drain a1",
        ),
        (
            "a reboot that is never recorded as completed",
            Case::new().rebooting("a0", NOW - MINUTE).probe("a0", true, 2),
            "rebooted a0, drain a1",
        ),
        (
            "a reboot that is never completed after its node stopped",
            Case::new().rebooting("a0", NOW - 4 * MINUTE).probe("a0", true, 1),
            "failed a0, drain a1 !a0: reboot 1 has taken 240 s, limit 180 s",
        ),
        (
            "a planned drain that continues while the budget is broken",
            Case::new()
                .draining("a0", wave_purpose())
                .failed(&["a1", "a2"])
                .phase("s0", VmPhase::OutOfRotation { since: NOW })
                .phase("s1", VmPhase::OutOfRotation { since: NOW }),
            "undrain a0, repair a1, repair a2 !pool a: 1 VMs missing and no suitable spare VM",
        ),
        (
            "a drain cancelled although a loan restores the budget",
            Case::new().draining("a0", wave_purpose()).failed(&["a1", "a2"]),
            "move s0 to a, repair a1, repair a2",
        ),
        (
            "a drain for a wave that was removed",
            Case::new().draining("a0", wave_purpose()).without_wave(),
            "undrain a0",
        ),
        (
            "decisions based on ages while fold time lags",
            Case::new().edit(|c| c.state.now = NOW - 5 * MINUTE),
            "tick",
        ),
        (
            "decisions by a node that met an unknown entry kind",
            Case::new().edit(|c| c.state.behind = true),
            "",
        ),
        (
            "endless repairs of one VM",
            Case::new().without_wave().failed(&["a0"]).edit(|c| c.vm("a0").failures = repeat(3)),
            "move s0 to a, out a0",
        ),
        (
            "a pool that loses too many VMs by taking them out of rotation",
            Case::new()
                .without_wave()
                .failed(&["a0"])
                .phase("a2", VmPhase::OutOfRotation { since: NOW })
                .edit(|c| c.vm("a0").failures = repeat(3)),
            "move s0 to a, move s1 to a, repair a0 \
             !a0: failed repeatedly, but pool a has 1 VMs out of rotation already",
        ),
    ]);
}

#[test]
fn failures() {
    let case = || Case::new().without_wave();
    check_plans(vec![
        ("a failed probe that is not reported", case().probe("a0", false, 0), "failed a0"),
        ("one missing VM that is ignored", case().unlisted(&["a0"]), "failed a0"),
        (
            "mass repair after a lost list",
            case().unlisted(&["a0", "a1", "a2"]),
            "!pool a: 3 of 4 VMs are missing from the list; waiting for probes",
        ),
        (
            "mass repair after a list that loses one VM after another",
            case().failed(&["a0", "a2"]).unlisted(&["a0", "a1", "a2"]),
            "repair a0, repair a2 !pool a: 3 of 4 VMs are missing from the list; waiting for probes",
        ),
        (
            "a VM that fails and recovers repeatedly but stays in rotation",
            case()
                .failed(&["a0"])
                .probe("a0", true, 1)
                .edit(|c| c.vm("a0").failures = vec![NOW - MINUTE; 3]),
            "move s0 to a, out a0",
        ),
        (
            "a reboot while a suspected failure takes the budget",
            Case::new()
                .drained("a0", wave_purpose())
                .failed(&["a1"])
                .probe("a0", true, 1)
                .probe("a2", false, 0),
            "failed a2, repair a1",
        ),
        (
            "a mass failure that is ignored although probes confirm it",
            case().unlisted(&["a0", "a1", "a2"]).probe("a0", false, 0).probe("a1", true, 1),
            "failed a0, failed a2",
        ),
        (
            "a draining VM taken for failed, since the platform lists it as leaving",
            case()
                .borrowed("s0", "a", NOW - 9 * MINUTE)
                .draining("s0", move_to("s"))
                .unlisted(&["s0"]),
            "",
        ),
        ("an empty list", case().edit(|c| c.evidence.listed.clear()), ""),
        (
            "a list that is older than the VM's last change",
            case().unlisted(&["a0"]).edit(|c| c.vm("a0").maintained = NOW - MINUTE / 2),
            "",
        ),
        (
            "a VM that was only just registered",
            case().unlisted(&["a0"]).edit(|c| c.vm("a0").generation = Generation(1)),
            "",
        ),
        (
            "a VM that stays failed after it has recovered",
            case().failed(&["a0"]).probe("a0", true, 1),
            "healthy a0",
        ),
        ("an unplanned restart", case().probe("a0", true, 2), "healthy a0"),
        (
            "repair of the less affected pool first",
            case().failed(&["a0", "b0", "b2"]),
            "repair b0, repair b2, repair a0",
        ),
        (
            "a reboot of a VM that answers again",
            case().failed(&["a0"]).drained("a0", Purpose::Repair).probe("a0", true, 1),
            "undrain a0",
        ),
        (
            "replaced VMs that are never removed from the state",
            case()
                .phase("a0", VmPhase::OutOfRotation { since: NOW - 25 * 60 * MINUTE })
                .unlisted(&["a0"])
                .probe("a0", false, 0),
            "remove a0, move s0 to a",
        ),
        (
            "a VM removed while its platform still lists it",
            case()
                .phase("a0", VmPhase::OutOfRotation { since: NOW - 25 * 60 * MINUTE })
                .probe("a0", false, 0),
            "move s0 to a",
        ),
        (
            "new VMs that are never registered",
            case().edit(|c| c.evidence.listed.push(facts("a4"))),
            "register a4",
        ),
        (
            // A VM lent at this moment was returned much later, although the pool never had a deficit.
            "a pool whose VMs are still being registered",
            case().without_wave().edit(|c| drop(c.state.vms.remove(&id::<VmId>("a0")))),
            "register a0",
        ),
        (
            "a VM of a pool without settings",
            case().edit(|c| c.evidence.listed.push(facts("x0"))),
            "!x0: pool x isn't set up",
        ),
    ]);
}

#[test]
fn spare_pool() {
    let case = || Case::new().without_wave();
    let (late, early) = (NOW - MINUTE, NOW - 11 * MINUTE);
    check_plans(vec![
        (
            "a loan although the budget has slack for a repair in place",
            case().failed(&["a0"]),
            "repair a0",
        ),
        ("a demand that is not met", case().demand("a", 5), "move s0 to a"),
        (
            "a loan to the pool of lower precedence first",
            case().demand("a", 5).demand("b", 6),
            "move s0 to b, move s1 to b !pool a: 1 VMs missing and no suitable spare VM",
        ),
        (
            "a loan from the rack that failed",
            case().demand("a", 5).failed(&["a0"]).edit(|c| {
                c.vm("s0").rack = id("rack-a0");
                c.vm("s1").rack = id("rack-a0");
                c.evidence.listed.clear();
            }),
            "repair a0 !pool a: 1 VMs missing and no suitable spare VM",
        ),
        ("a loan of a busy VM", case().demand("a", 5).in_flight("s0", 1), "move s1 to a"),
        ("a loan that is never returned", case().borrowed("s0", "a", early), "drain s0 to s"),
        ("a return within the hysteresis time", case().borrowed("s0", "a", late), ""),
        (
            "a return and a new loan where one move suffices",
            case().borrowed("s0", "a", late).borrowed("s1", "a", late).demand("b", 5),
            "drain s0 to b",
        ),
        (
            "a second drain when the demand returns",
            case().borrowed("s0", "a", early).draining("s0", move_to("s")).demand("a", 5),
            "undrain s0",
        ),
        (
            "a return whose drain overlaps a forbidden window",
            Case::new().window(0).borrowed("s0", "a", early).draining("s0", move_to("s")),
            "undrain s0",
        ),
        (
            "a return that is never completed",
            case().borrowed("s0", "a", early).drained("s0", move_to("s")),
            "move s0 to s",
        ),
        (
            "a loan that reverts a recent return",
            case().demand("a", 5).edit(|c| {
                for name in ["s0", "s1"] {
                    (c.vm(name).previous, c.vm(name).moved) = (Some(id("a")), late);
                }
            }),
            "!pool a: 1 VMs missing and no suitable spare VM",
        ),
    ]);
}
