//! Settings in the fold. Guards against a value that breaks a guarantee, comes from the wrong office, or reverts.

mod common;

use cj_record::*;
use cj_types::*;
use common::*;

#[track_caller]
fn refuse(world: &mut World, path: &str, value: Option<&str>, part: &str) {
    let before = (world.state.fleet.clone(), world.state.settings.clone());
    let reason = world.set(path, value).expect(part);
    assert!(reason.contains(part), "{reason}");
    assert_eq!((&world.state.fleet, &world.state.settings), (&before.0, &before.1));
    world.state.check_invariants().unwrap();
}

#[test]
fn values_that_break_a_guarantee_are_refused() {
    let mut world = World::new();
    for (path, value, part) in [
        ("north/pool/proofs/min_available", Some("5"), "larger than the pool's target"),
        ("north/pool/proofs/min_available", Some("-1"), "whole number"),
        ("north/pool/proofs/min_availible", Some("1"), "did you mean `min_available`"),
        ("north/pools/proofs/target", Some("1"), "did you mean `pool`"),
        ("north/pool/proofs/target", None, "still has 4 VMs"),
        ("north/pool/proofs/precedence", None, "not set"),
        ("north/class/urgent/cap", Some("50%"), "larger than the cap"),
        ("north/class/batch/share", Some("41%"), "add up to 101%"),
        ("north/wave/night/forbidden", Some("00:00-24:00"), "no gap"),
        ("north/wave/night/forbidden", Some("08:10-08:00"), "no gap"),
        ("south/pool/proofs/target", Some("9"), "office `north`"),
        ("south/team/prints/quota", Some("9%"), "office `north`"),
    ] {
        refuse(&mut world, path, value, part);
    }
    assert_eq!(world.set("north/pool/proofs/target", Some("9")), None);
    refuse(&mut world, "north/pool/proofs/min_available", Some("5"), "exceeds 4 VMs");
    let lend = world.move_entry("s1", "proofs");
    world.accept(lend);
    refuse(&mut world, "north/pool/proofs/min_available", Some("5"), "exceeds 4 VMs");
    assert_eq!(world.set("north/pool/proofs/min_available", Some("4")), None);
}

#[test]
fn an_object_is_in_force_once_it_is_complete() {
    let mut world = World::new();
    assert_eq!(world.set("south/team/tide/quota", Some("9%")), None);
    assert!(!world.state.fleet.teams.contains_key(&id("tide")));
    assert_eq!(world.set("south/team/tide/weight", Some("2")), None);
    assert_eq!(world.state.fleet.teams[&id("tide")].office, id("south"));
    assert_eq!(world.set("south/team/tide/quota", None), None);
    assert!(!world.state.fleet.teams.contains_key(&id("tide")));
    world.state.check_invariants().unwrap();
}

#[test]
fn records_need_the_signature_and_version_of_their_office() {
    let mut world = World::new();
    let mut record = world.signed("north/team/prints/weight", Some("3"));
    let copy = |world: &mut World, record: &SettingRecord, signer: &str| {
        let payload = SignedSetting::sign(record, &key(signer)).unwrap().encode().unwrap();
        world.copy(payload).unwrap_or_default()
    };
    assert!(copy(&mut world, &record, "south").contains("signature"));
    let mut foreign = SignedSetting::sign(&record, &key("south")).unwrap();
    foreign.office = id("south");
    assert!(
        world.copy(foreign.encode().unwrap()).unwrap().contains("outside the office's subtree")
    );
    foreign.office = id("west");
    assert!(world.copy(foreign.encode().unwrap()).unwrap().contains("has no key"));
    for payload in [vec![], vec![0xff; 40], vec![0; 16 * 1024 + 1]] {
        assert!(world.copy(payload).is_some());
    }
    assert_eq!(copy(&mut world, &record, "north"), "");
    assert!(copy(&mut world, &record, "north").contains("version in force is 2"));
    record.expected = Version(3);
    assert!(copy(&mut world, &record, "north").contains("version in force is 2"));
    assert_eq!(world.state.fleet.teams[&id("prints")].weight, 3);
}

/// A stale proposer copies records again or ahead; only the next one may count.
#[test]
fn copies_count_once_and_in_order() {
    let mut world = World::new();
    let record = world.signed("north/team/prints/weight", Some("3"));
    let payload = SignedSetting::sign(&record, &key("north")).unwrap().encode().unwrap();
    let next = world.state.settings_next.0;
    for offset in [next - 1, next + 1] {
        let entry = Entry::SettingsCopy { offset: Offset(offset), payload: payload.clone() };
        assert!(world.put(entry).unwrap_err().contains("next settings offset"));
    }
    assert_eq!(world.copy(payload), None);
}

#[test]
fn a_key_is_rotated_by_its_old_key() {
    let mut world = World::new();
    let hex = |key: &ed25519_dalek::SigningKey| {
        key.verifying_key().to_bytes().iter().map(|b| format!("{b:02x}")).collect::<String>()
    };
    let (old, new) = (key("north"), key("north, second key"));
    let weak = "00".repeat(32);
    refuse(&mut world, "north/key/main/public", Some(&weak), "ed25519 public key");
    refuse(&mut world, "north/key/main/public", Some(&hex(&key("south"))), "in use");
    refuse(&mut world, "north/key/main/public", None, "not removed");
    assert_eq!(world.set("north/key/main/public", Some(&hex(&new))), None);
    assert_eq!(world.state.keys[&id("north")], [new.verifying_key().to_bytes()]);
    let record = world.signed("north/team/prints/weight", Some("3"));
    for (signer, valid) in [(old, false), (new, true)] {
        let payload = SignedSetting::sign(&record, &signer).unwrap().encode().unwrap();
        assert_eq!(world.copy(payload).is_none(), valid);
    }
}

/// The example files are published value by value; no order of the paths may leave an object out.
#[test]
fn published_files_are_in_force_as_checked() {
    for (text, more) in [
        (
            include_str!("../../../examples/kartica.ini"),
            include_str!("../../../examples/kartica-maintenance.ini"),
        ),
        (
            include_str!("../../../examples/saltangsverket.ini"),
            include_str!("../../../examples/saltangsverket-maintenance.ini"),
        ),
    ] {
        let mut world = World::empty();
        let mut values = cj_settings::read_fleet_ini("f.ini", text, &id("north")).unwrap();
        values.extend(cj_settings::read_fleet_ini("m.ini", more, &id("south")).unwrap());
        for (path, value) in values.iter().rev() {
            assert_eq!(world.set(&path.to_string(), Some(value)), None, "{path}");
        }
        assert_eq!(
            Ok(&world.state.fleet),
            cj_settings::FleetSettings::try_from_values(&values).as_ref()
        );
        world.state.check_invariants().unwrap();
    }
}
