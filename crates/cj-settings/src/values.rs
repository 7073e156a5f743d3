//! Builds the fleet settings from a complete set of values and checks references between objects.

use std::collections::BTreeMap;

use compact_str::{CompactString, format_compact};

use cj_record::SettingPath;
use cj_types::{Error, ErrorKind, OfficeId, PoolId};

use crate::{
    fields::{FieldError, ObjectValues},
    fleet::{FleetSettings, PoolSettings},
    object::SettingsObject,
};

/// Error of one key, before its line in a file is known.
pub(crate) struct PathError {
    pub(crate) path: SettingPath,
    pub(crate) error: FieldError,
}

impl FleetSettings {
    /// Builds the settings from a complete set of values and checks them, including references between objects. Returns
    /// all errors; each has the file `settings` and the whole path as its key.
    pub fn try_from_values(
        values: &BTreeMap<SettingPath, CompactString>,
    ) -> Result<FleetSettings, Vec<Error>> {
        check_values(values, References::Check)
            .map_err(|errors| errors.into_iter().map(to_error).collect())
    }
}

fn to_error(PathError { path, error }: PathError) -> Error {
    let key = format_compact!("{path}");
    let kind = ErrorKind::Setting { file: "settings".into(), line: 0, key, problem: error.problem };
    Error::new(kind, error.help)
}

/// Whether references between objects are checked.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum References {
    Check,
    Skip,
}

/// Builds the settings from values and checks them.
pub(crate) fn check_values(
    values: &BTreeMap<SettingPath, CompactString>,
    references: References,
) -> Result<FleetSettings, Vec<PathError>> {
    let mut fleet = FleetSettings::default();
    let mut errors = Vec::new();
    for ((office, kind, name), fields) in group_by_object(values) {
        if let Some(other) = fleet.owning_office(kind, name).filter(|other| *other != office) {
            let problem = format_compact!("{kind} `{name}` belongs to office `{other}`");
            let error = FieldError::new("name", problem, "choose another name");
            errors.push(PathError { path: path_of(office, kind, name, "name"), error });
            continue;
        }
        match SettingsObject::parse_complete(office, kind, name, &fields) {
            Ok(object) => fleet.insert(object),
            Err(found) => {
                errors.extend(found.into_iter().map(|error| PathError {
                    path: path_of(office, kind, name, &error.key),
                    error,
                }))
            }
        }
    }
    // References are checked only when all objects are valid; otherwise one error would be reported many times.
    if errors.is_empty() && references == References::Check {
        check_references(&fleet, &mut errors);
    }
    if errors.is_empty() { Ok(fleet) } else { Err(errors) }
}

type ObjectKey<'a> = (&'a OfficeId, &'a str, &'a str);

fn group_by_object(
    values: &BTreeMap<SettingPath, CompactString>,
) -> BTreeMap<ObjectKey<'_>, ObjectValues<'_>> {
    let mut objects: BTreeMap<ObjectKey<'_>, ObjectValues<'_>> = BTreeMap::new();
    for (path, value) in values {
        let object = objects.entry((&path.office, &path.kind, &path.name)).or_default();
        object.insert(&path.key, value);
    }
    objects
}

fn path_of(office: &OfficeId, kind: &str, name: &str, key: &str) -> SettingPath {
    SettingPath { office: office.clone(), kind: kind.into(), name: name.into(), key: key.into() }
}

fn check_references(fleet: &FleetSettings, errors: &mut Vec<PathError>) {
    let mut fail = |path, key: &str, problem: CompactString, help: &str| {
        errors.push(PathError { path, error: FieldError::new(key, problem, help) });
    };
    for (id, pool) in &fleet.pools {
        for (key, problem, help) in pool_reference_errors(fleet, pool) {
            fail(path_of(&pool.office, "pool", id.as_str(), key), key, problem, help);
        }
    }
    for (id, service) in &fleet.services {
        if !fleet.pools.contains_key(&service.pool) {
            let path = path_of(&service.office, "service", id.as_str(), "pool");
            fail(path, "pool", unknown_pool(&service.pool), "define the pool or correct the name");
        }
    }
    for (id, wave) in &fleet.waves {
        for pool in wave.pools.iter().filter(|p| !fleet.pools.contains_key(*p)) {
            let path = path_of(&wave.office, "wave", id.as_str(), "pools");
            fail(path, "pools", unknown_pool(pool), "define the pool or correct the name");
        }
    }
}

fn unknown_pool(pool: &PoolId) -> CompactString {
    format_compact!("pool `{pool}` does not exist")
}

/// Key, problem and help text of every wrong reference of a pool.
fn pool_reference_errors(
    fleet: &FleetSettings,
    pool: &PoolSettings,
) -> Vec<(&'static str, CompactString, &'static str)> {
    let mut problems = Vec::new();
    for class in pool.classes.iter().filter(|c| !fleet.classes.contains_key(*c)) {
        let problem = format_compact!("class `{class}` does not exist");
        problems.push(("classes", problem, "define the class or correct the name"));
    }
    let shares = pool.classes.iter().filter_map(|c| fleet.classes.get(c)).map(|c| c.share.0);
    let total: u32 = shares.sum();
    if total > 100 {
        let problem = format_compact!("guaranteed shares of its classes add up to {total}%");
        problems.push(("classes", problem, "lower the shares of the classes to 100% in total"));
    }
    if !fleet.teams.contains_key(&pool.owner) {
        let problem = format_compact!("team `{}` does not exist", pool.owner);
        problems.push(("owner", problem, "define the team or correct the name"));
    }
    if let Some(spare) = &pool.borrows
        && !fleet.pools.get(spare).is_some_and(|p| p.spare)
    {
        let problem = format_compact!("`{spare}` is not a spare pool");
        problems.push(("borrows", problem, "name a pool that has `spare = yes`"));
    }
    problems
}
