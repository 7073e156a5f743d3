//! Tests of the example files. They guard against examples that fail validation, or whose pool sizes no longer match
//! those of the users.

use std::{fs, path::Path};

use cj_settings::*;

fn read(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(folder.join(name)).unwrap()
}

fn fleet(user: &str) -> FleetSettings {
    let names = [format!("{user}.ini"), format!("{user}-maintenance.ini")];
    let texts = names.each_ref().map(|name| read(name));
    let offices = ["capacity", "maintenance"].map(|office| office.parse().unwrap());
    let files = [0, 1].map(|i| FleetFile { file: &names[i], text: &texts[i], office: &offices[i] });
    for FleetFile { file, text, office } in files {
        assert!(read_fleet_ini(file, text, office).is_ok(), "{file} by itself");
    }
    let values = read_fleet_files(&files).unwrap_or_else(|errors| panic!("{errors:#?}"));
    FleetSettings::try_from_values(&values).unwrap_or_else(|errors| panic!("{errors:#?}"))
}

fn check(user: &str, workers: u32, batch_pool: &str) {
    let fleet = fleet(user);
    let pool = |name: &str| &fleet.pools[&name.parse().unwrap()];
    // The batch service runs tasks on workers; the targets of the pools of the five others count minions.
    let (batch, served): (Vec<_>, Vec<_>) =
        fleet.services.iter().partition(|(_, service)| service.pool.as_str() == batch_pool);
    assert_eq!((batch.len(), served.len()), (1, 5));
    assert_eq!(batch[0].0.as_str(), batch_pool);
    for (_, service) in served {
        let minions = pool(service.pool.as_str()).target;
        assert!((8..=12).contains(&minions), "{} has {minions} minions", service.pool);
        assert_eq!((service.slots, service.connections), (8, 64));
    }
    assert!(pool("spare").spare);
    assert_eq!(pool("spare").target, 8);
    assert_eq!(pool("spare").target + pool(batch_pool).target, workers);
    let covered = |name| fleet.waves.values().any(|wave| wave.pools.contains(name));
    assert!(fleet.pools.keys().all(covered));
}

#[test]
fn kartica() {
    check("kartica", 48, "separations");
}

#[test]
fn saltangsverket() {
    check("saltangsverket", 49, "reconciliations");
}

#[test]
fn node() {
    let settings = read_node_ini("node.ini", &read("node.ini")).unwrap();
    assert_eq!((settings.peer_addresses.len(), settings.office_keys.len()), (5, 2));
    assert!(!format!("{settings:?}").contains("0011"), "a key must not reach a log line");
}
