//! Settings in the fold. Guards against values that break a guarantee, come from the wrong office, or revert to an
//! older version.

mod common;

use cj_record::*;
use cj_types::*;
use common::*;

#[track_caller]
fn assert_rejected(region: &mut TestRegion, path: &str, value: Option<&str>, part: &str) {
    let before = (region.state.fleet.clone(), region.state.settings.clone());
    let reason = region.publish(path, value).expect(part);
    assert!(reason.contains(part), "{reason}");
    assert_eq!((&region.state.fleet, &region.state.settings), (&before.0, &before.1));
    region.state.check_invariants().unwrap();
}

#[test]
fn values_that_break_a_guarantee_are_refused() {
    let mut region = TestRegion::new();
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
        assert_rejected(&mut region, path, value, part);
    }
    assert_eq!(region.publish("north/pool/proofs/target", Some("9")), None);
    assert_rejected(&mut region, "north/pool/proofs/min_available", Some("5"), "exceeds 4 VMs");
    let lend = region.move_entry("s1", "proofs");
    region.accept(lend);
    assert_rejected(&mut region, "north/pool/proofs/min_available", Some("5"), "exceeds 4 VMs");
    assert_eq!(region.publish("north/pool/proofs/min_available", Some("4")), None);
}

#[test]
fn an_object_is_in_force_once_it_is_complete() {
    let mut region = TestRegion::new();
    assert_eq!(region.publish("south/team/tide/quota", Some("9%")), None);
    assert!(!region.state.fleet.teams.contains_key(&id("tide")));
    assert_eq!(region.publish("south/team/tide/weight", Some("2")), None);
    assert_eq!(region.state.fleet.teams[&id("tide")].office, id("south"));
    assert_eq!(region.publish("south/team/tide/quota", None), None);
    assert!(!region.state.fleet.teams.contains_key(&id("tide")));
    region.state.check_invariants().unwrap();
}

#[test]
fn records_need_the_signature_and_version_of_their_office() {
    let mut region = TestRegion::new();
    let mut record = region.setting_record("north/team/prints/weight", Some("3"));
    let copy = |region: &mut TestRegion, record: &SettingRecord, signer: &str| {
        let payload = SignedSetting::sign(record, &key(signer)).unwrap().encode().unwrap();
        region.copy_setting(payload).unwrap_or_default()
    };
    assert!(copy(&mut region, &record, "south").contains("signature"));
    let mut foreign = SignedSetting::sign(&record, &key("south")).unwrap();
    foreign.office = id("south");
    assert!(
        region
            .copy_setting(foreign.encode().unwrap())
            .unwrap()
            .contains("outside the office's subtree")
    );
    foreign.office = id("west");
    assert!(region.copy_setting(foreign.encode().unwrap()).unwrap().contains("has no key"));
    for payload in [vec![], vec![0xff; 40], vec![0; 16 * 1024 + 1]] {
        assert!(region.copy_setting(payload).is_some());
    }
    assert_eq!(copy(&mut region, &record, "north"), "");
    assert!(copy(&mut region, &record, "north").contains("version in force is 2"));
    record.expected = Version(3);
    assert!(copy(&mut region, &record, "north").contains("version in force is 2"));
    assert_eq!(region.state.fleet.teams[&id("prints")].weight, 3);
}

/// A proposer with a stale state may copy a record twice or skip one; only the copy of the next record may be accepted.
#[test]
fn copies_are_accepted_once_and_in_order() {
    let mut region = TestRegion::new();
    let record = region.setting_record("north/team/prints/weight", Some("3"));
    let payload = SignedSetting::sign(&record, &key("north")).unwrap().encode().unwrap();
    let next = region.state.settings_next.0;
    for offset in [next - 1, next + 1] {
        let entry = Entry::SettingsCopy { offset: Offset(offset), payload: payload.clone() };
        assert!(region.propose(entry).unwrap_err().contains("next settings offset"));
    }
    assert_eq!(region.copy_setting(payload), None);
}

#[test]
fn a_key_is_rotated_by_its_old_key() {
    let mut region = TestRegion::new();
    let hex = |key: &ed25519_dalek::SigningKey| {
        key.verifying_key().to_bytes().iter().map(|b| format!("{b:02x}")).collect::<String>()
    };
    let (old, new) = (key("north"), key("north, second key"));
    let weak = "00".repeat(32);
    assert_rejected(&mut region, "north/key/main/public", Some(&weak), "ed25519 public key");
    assert_rejected(&mut region, "north/key/main/public", Some(&hex(&key("south"))), "in use");
    assert_rejected(&mut region, "north/key/main/public", None, "not removed");
    assert_eq!(region.publish("north/key/main/public", Some(&hex(&new))), None);
    assert_eq!(region.state.keys[&id("north")], [new.verifying_key().to_bytes()]);
    let record = region.setting_record("north/team/prints/weight", Some("3"));
    for (signer, valid) in [(old, false), (new, true)] {
        let payload = SignedSetting::sign(&record, &signer).unwrap().encode().unwrap();
        assert_eq!(region.copy_setting(payload).is_none(), valid);
    }
}

/// The example files are published value by value. Every object must be in force at the end, whatever the order of
/// paths.
#[test]
fn published_files_are_in_force_as_validated() {
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
        let mut region = TestRegion::empty();
        let mut values = cj_settings::read_fleet_ini("f.ini", text, &id("north")).unwrap();
        values.extend(cj_settings::read_fleet_ini("m.ini", more, &id("south")).unwrap());
        for (path, value) in values.iter().rev() {
            assert_eq!(region.publish(&path.to_string(), Some(value)), None, "{path}");
        }
        assert_eq!(
            Ok(&region.state.fleet),
            cj_settings::FleetSettings::try_from_values(&values).as_ref()
        );
        region.state.check_invariants().unwrap();
    }
}
