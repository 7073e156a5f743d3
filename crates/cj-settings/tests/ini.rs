//! Tests of errors in settings files. They guard against a mistake that isn't detected, or that is reported without its
//! file, line and key.

use std::{collections::BTreeMap, time::Duration};

use cj_settings::*;
use cj_types::*;
use quickcheck::{Gen, QuickCheck};

fn office(name: &str) -> OfficeId {
    name.parse().unwrap()
}

/// Error texts, in the order of their lines.
fn errors(text: &str) -> Vec<String> {
    let office = office("north");
    let files = [FleetFile { file: "f.ini", text, office: &office }];
    let errors = read_fleet_files(&files).err().unwrap_or_default();
    errors.iter().map(ToString::to_string).collect()
}

#[track_caller]
fn check(errors: &[String], expected: &[&str]) {
    assert_eq!(errors.len(), expected.len(), "{errors:#?}");
    for (error, part) in errors.iter().zip(expected) {
        assert!(error.contains(part), "{error}, expected {part}");
    }
}

const TEAM: &str = "[team tide]\nquota = 9%\nweight = 2\n";

#[test]
fn every_mistake_is_reported_at_its_place() {
    let text = "
[team tide]
quota = 109%
wieght = 2

[pol proofs]
target = 3

[wave]
start = soon

[service tallies]
pool = tallies
slots = 0
connections = 64

[class urgent]
deadline = 5 parsecs
";
    check(
        &errors(text),
        &[
            "f.ini:3: `[team tide] quota`: invalid value `109%`; use a percentage",
            "f.ini:3: `[team tide] weight`: is missing; add `weight = VALUE`",
            "f.ini:4: `[team tide] wieght`: unknown key; did you mean `weight`?",
            "f.ini:7: `[pol proofs] target`: unknown kind of section; did you mean `pool`?",
            "f.ini:10: `[wave] start`: the section needs a kind and a name",
            "f.ini:14: `[service tallies] slots`: invalid value `0`; use a whole number from 1",
            "f.ini:18: `[class urgent] cap`: is missing",
            "f.ini:18: `[class urgent] deadline`: invalid value `5 parsecs`; use a duration",
            "f.ini:18: `[class urgent] idempotent`: is missing",
            "f.ini:18: `[class urgent] must_not_drop`: is missing",
            "f.ini:18: `[class urgent] share`: is missing",
            "f.ini:18: `[class urgent] task`: is missing",
            "f.ini:18: `[class urgent] urgency`: is missing",
        ],
    );
}

#[test]
fn references_lead_to_objects_of_the_right_kind() {
    let pool = "[pool proofs]\nowner = tide\nmin_available = 1\ntarget = 2\n";
    check(&errors(&format!("{TEAM}{pool}")), &[]);
    for (more, expected) in [
        ("classes = urgent\n", "f.ini:8: `[pool proofs] classes`: class `urgent` does not exist"),
        ("borrows = proofs\n", "f.ini:8: `[pool proofs] borrows`: `proofs` is not a spare pool"),
        (
            "[service s]\npool = prints\nslots = 8\nconnections = 64\n",
            "f.ini:9: `[service s] pool`: pool `prints` does not exist",
        ),
    ] {
        check(&errors(&format!("{TEAM}{pool}{more}")), &[expected]);
    }
    check(&errors(pool), &["f.ini:2: `[pool proofs] owner`: team `tide` does not exist"]);
}

#[test]
fn an_object_has_one_office() {
    let (north, south) = (office("north"), office("south"));
    let file = |file, office| FleetFile { file, text: TEAM, office };
    let errors = read_fleet_files(&[file("n.ini", &north), file("s.ini", &south)]).unwrap_err();
    let text = errors[0].to_string();
    assert!(text.starts_with("s.ini:2: `[team tide] name`: team `tide` belongs to"), "{text}");
}

#[test]
fn wrong_syntax_and_repeated_keys_are_errors() {
    check(
        &errors("[team tide\nquota = 9%\n\nweight\n= 3\na: b\n"),
        &["f.ini:1: `syntax`", "f.ini:4: `syntax`", "f.ini:5: `syntax`", "f.ini:6: `syntax`"],
    );
    check(&errors("quota = 9%\n"), &["f.ini:1: `quota`: outside a section"]);
    check(&errors(&format!("{TEAM}weight = 3\n")), &["f.ini:4: `[team tide] weight`: already set"]);
    check(&errors(&format!("{TEAM}\n[team tide]\nquota = 8%\n")), &["f.ini:6:"]);
}

#[test]
fn node_files_report_every_mistake() {
    let text = "
[node]
id = entry 1
regoin = adria
[listen]
caller = localhost
[offices]
north = 12
[logs]
level = info
";
    let errors = read_node_ini("n.ini", text).unwrap_err();
    let all = errors.iter().map(|e| format!("{e}\n")).collect::<String>();
    for part in [
        "n.ini:3: `[node] id`: invalid value `entry 1`",
        "n.ini:4: `[node] regoin`: unknown key; did you mean `region`?",
        "n.ini:3: `[node] region`: is missing",
        "n.ini:6: `[listen] caller`: invalid value `localhost`; use IP:PORT",
        "n.ini:6: `[listen] peer`: is missing",
        "n.ini:8: `[offices] north`: invalid office or key `12`; use 64 hexadecimal digits",
        "n.ini:10: `[logs] level`: unknown section; did you mean `logging`?",
        "n.ini:0: `[platform] log`: is missing",
    ] {
        assert!(all.contains(part), "{part} is not in\n{all}");
    }
}

#[test]
fn arbitrary_files_never_panic() {
    fn read(bytes: Vec<u8>, text: String, place: usize) {
        let north = office("north");
        let example = include_str!("../../../examples/kartica.ini");
        let node = include_str!("../../../examples/node.ini");
        let mut texts = vec![String::from_utf8_lossy(&bytes).into_owned(), text.clone()];
        for valid in [example, node] {
            let place = (place % valid.len()..).find(|i| valid.is_char_boundary(*i)).unwrap();
            texts.push(format!("{}{text}{}", &valid[..place], &valid[place..]));
        }
        for text in texts {
            let _ = read_fleet_ini("f.ini", &text, &north);
            let _ = read_node_ini("n.ini", &text);
        }
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(60, 17)).tests(300);
    check.quickcheck(read as fn(Vec<u8>, String, usize));
}

#[test]
fn values_of_another_version_are_errors() {
    let path = "north/team/tide/colour".parse().unwrap();
    let errors = FleetSettings::try_from_values(&BTreeMap::from([(path, "red".into())]));
    let errors = errors.unwrap_err().iter().map(ToString::to_string).collect::<String>();
    assert!(errors.contains("north/team/tide/colour"), "{errors}");
}

/// Compares the overlap calculation with a check of every minute.
#[test]
fn windows_overlap_exactly_when_a_minute_lies_in_both() {
    fn overlap(from: u32, to: u32, start: u32, minutes: u32) {
        let (from, to) = (from % 1440, to % 1440);
        let (start, minutes) = (u64::from(start % 4320), minutes % 1500);
        let window = DailyWindow { from: from * 60, to: to * 60 };
        let inside = |minute: u64| {
            let minute = (minute % 1440) as u32;
            if from < to { (from..to).contains(&minute) } else { minute >= from || minute < to }
        };
        let walked = (start..=start + u64::from(minutes)).any(inside);
        let first = UnixMillis(start * 60_000);
        let last = first + Duration::from_secs(60) * minutes;
        assert_eq!(window.overlaps(first, last), walked, "{from}-{to}, {start} +{minutes}");
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(5000, 23)).tests(5000);
    check.quickcheck(overlap as fn(u32, u32, u32, u32));
}
