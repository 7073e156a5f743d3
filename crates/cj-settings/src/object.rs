//! Parsing and validation of one settings object: a pool, class, team, service, wave or key.

use std::time::Duration;

use compact_str::{CompactString, format_compact};

use cj_types::{ClassId, OfficeId, PoolId, ServiceId, TeamId, WaveId};

use crate::{
    fields::*,
    fleet::{
        ClassSettings, DailyWindow, DomainRule, FleetSettings, PoolSettings, ServiceSettings,
        TeamSettings, WaveSettings,
    },
};

/// Kinds of objects with their keys in alphabetical order. The last key of every kind is a required one, so that an
/// object that is published key by key in this order comes into force only when it is complete.
pub const OBJECT_KINDS: &[(&str, &[&str])] = &[
    ("class", &["cap", "deadline", "idempotent", "must_not_drop", "share", "task", "urgency"]),
    ("key", &["public"]),
    (
        "pool",
        &[
            "borrows",
            "classes",
            "hysteresis",
            "min_available",
            "owner",
            "precedence",
            "spare",
            "target",
        ],
    ),
    ("service", &["connections", "pool", "slots"]),
    ("team", &["quota", "weight"]),
    ("wave", &["domain", "drain_limit", "forbidden", "pools", "reboot_limit", "start"]),
];

/// Hysteresis of a pool without this key.
pub const DEFAULT_HYSTERESIS: Duration = Duration::from_secs(600);

const DAY_SECS: u64 = 86_400;

/// A valid settings object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsObject {
    /// A class of work.
    Class(ClassId, ClassSettings),
    /// A public key of an office.
    Key([u8; 32]),
    /// A pool.
    Pool(PoolId, PoolSettings),
    /// A service.
    Service(ServiceId, ServiceSettings),
    /// A team.
    Team(TeamId, TeamSettings),
    /// A maintenance wave.
    Wave(WaveId, WaveSettings),
}

impl SettingsObject {
    /// Parses and validates one object. Returns `Ok(None)` when required keys are still missing and all others are
    /// valid.
    pub fn parse_if_complete(
        office: &OfficeId,
        kind: &str,
        name: &str,
        values: &ObjectValues<'_>,
    ) -> Result<Option<SettingsObject>, Vec<FieldError>> {
        match Self::parse_complete(office, kind, name, values) {
            Ok(object) => Ok(Some(object)),
            Err(errors) if errors.iter().all(|e| e.missing) => Ok(None),
            Err(errors) => Err(errors.into_iter().filter(|e| !e.missing).collect()),
        }
    }

    /// Like [`SettingsObject::parse_if_complete`], but missing required keys are errors.
    pub fn parse_complete(
        office: &OfficeId,
        kind: &str,
        name: &str,
        values: &ObjectValues<'_>,
    ) -> Result<SettingsObject, Vec<FieldError>> {
        let mut fields = FieldParser::new(values);
        check_keys(&mut fields, kind, values);
        let object = parse_kind(&mut fields, office, kind, name);
        match object {
            Some(object) if fields.errors.is_empty() => Ok(object),
            _ => Err(fields.errors),
        }
    }
}

/// Candidate most similar to `word`, if `word` is likely to be a misspelling of it.
pub(crate) fn closest_match<'a, I>(word: &str, candidates: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let score = |c: &str| strsim::jaro_winkler(word, c);
    let best = candidates.into_iter().max_by(|a, b| score(a).total_cmp(&score(b)))?;
    (score(best) > 0.7).then_some(best)
}

/// Help text that suggests the likely intended candidate, or lists all of them.
pub(crate) fn suggestion<'a, I>(word: &str, candidates: I) -> CompactString
where
    I: IntoIterator<Item = &'a str> + Clone,
{
    match closest_match(word, candidates.clone()) {
        Some(name) => format_compact!("did you mean `{name}`?"),
        None => {
            let known: Vec<&str> = candidates.into_iter().collect();
            format_compact!("use one of {}", known.join(", "))
        }
    }
}

/// Keys of a kind. Fails with a help text when the kind is unknown.
pub(crate) fn keys_of(kind: &str) -> Result<&'static [&'static str], CompactString> {
    let found = OBJECT_KINDS.iter().find(|(known, _)| *known == kind);
    found
        .map(|(_, keys)| *keys)
        .ok_or_else(|| suggestion(kind, OBJECT_KINDS.iter().map(|(k, _)| *k)))
}

fn check_keys(fields: &mut FieldParser<'_>, kind: &str, values: &ObjectValues<'_>) {
    match keys_of(kind) {
        Ok(known) => {
            for key in values.keys().filter(|key| !known.contains(*key)) {
                fields.add_error(key, "unknown key", suggestion(key, known.iter().copied()));
            }
        }
        Err(help) => {
            fields.add_error(kind, format_compact!("unknown kind of section `{kind}`"), help);
        }
    }
}

fn parse_kind(
    f: &mut FieldParser<'_>,
    office: &OfficeId,
    kind: &str,
    name: &str,
) -> Option<SettingsObject> {
    let office = office.clone();
    match kind {
        "class" => Some(SettingsObject::Class(object_id(f, name)?, class(f, office)?)),
        "key" => Some(SettingsObject::Key(f.required("public", public_key)?)),
        "pool" => Some(SettingsObject::Pool(object_id(f, name)?, pool(f, office)?)),
        "service" => Some(SettingsObject::Service(object_id(f, name)?, service(f, office)?)),
        "team" => Some(SettingsObject::Team(object_id(f, name)?, team(f, office)?)),
        "wave" => Some(SettingsObject::Wave(object_id(f, name)?, wave(f, office)?)),
        _ => None,
    }
}

fn object_id<T>(f: &mut FieldParser<'_>, name: &str) -> Option<T>
where
    T: std::str::FromStr<Err = cj_types::Error>,
{
    let problem = || format_compact!("invalid section name `{name}`");
    typed(name).map_err(|help| f.add_error("name", problem(), help)).ok()
}

fn class(f: &mut FieldParser<'_>, office: OfficeId) -> Option<ClassSettings> {
    let cap = f.required("cap", percent);
    let deadline = f.required("deadline", duration);
    let idempotent = f.required("idempotent", boolean);
    let must_not_drop = f.required("must_not_drop", boolean);
    let share = f.required("share", percent);
    let task = f.required("task", boolean);
    let urgency = f.required("urgency", number);
    if let (Some(share), Some(cap)) = (share, cap)
        && share > cap
    {
        let problem = format_compact!("guaranteed share {share} is larger than the cap {cap}");
        f.add_error("share", problem, "lower `share` or raise `cap`");
    }
    Some(ClassSettings {
        office,
        urgency: urgency?,
        deadline: deadline?,
        idempotent: idempotent?,
        must_not_drop: must_not_drop?,
        task: task?,
        share: share?,
        cap: cap?,
    })
}

fn pool(f: &mut FieldParser<'_>, office: OfficeId) -> Option<PoolSettings> {
    let borrows = f.optional("borrows", typed);
    let classes = f.optional("classes", list).unwrap_or_default();
    let hysteresis = f.optional("hysteresis", duration).unwrap_or(DEFAULT_HYSTERESIS);
    let min_available = f.required("min_available", number);
    let owner = f.required("owner", typed);
    let precedence = f.optional("precedence", number).unwrap_or(0);
    let spare = f.optional("spare", boolean).unwrap_or(false);
    let target = f.required("target", number);
    if spare && borrows.is_some() {
        f.add_error("borrows", "a spare pool can't borrow", "remove `borrows` or `spare`");
    }
    if let (Some(min), Some(target)) = (min_available, target)
        && min > target
    {
        let problem = format_compact!("{min} is larger than the pool's target {target}");
        f.add_error("min_available", problem, "lower `min_available` or raise `target`");
    }
    Some(PoolSettings {
        office,
        min_available: min_available?,
        target: target?,
        classes,
        spare,
        borrows,
        precedence,
        hysteresis,
        owner: owner?,
    })
}

fn service(f: &mut FieldParser<'_>, office: OfficeId) -> Option<ServiceSettings> {
    let connections = f.required("connections", positive);
    let pool = f.required("pool", typed);
    let slots = f.required("slots", positive);
    Some(ServiceSettings { office, pool: pool?, slots: slots?, connections: connections? })
}

fn team(f: &mut FieldParser<'_>, office: OfficeId) -> Option<TeamSettings> {
    let quota = f.required("quota", percent);
    let weight = f.required("weight", positive);
    Some(TeamSettings { office, quota: quota?, weight: weight? })
}

fn wave(f: &mut FieldParser<'_>, office: OfficeId) -> Option<WaveSettings> {
    let domain = f.optional("domain", domain_rule).unwrap_or_default();
    let drain_limit = f.required("drain_limit", duration);
    let forbidden = f.optional("forbidden", windows).unwrap_or_default();
    let pools = f.required("pools", list);
    let reboot_limit = f.required("reboot_limit", duration);
    let start = f.required("start", time);
    if let (Some(drain), Some(reboot)) = (drain_limit, reboot_limit)
        && longest_gap(&forbidden) <= (drain + reboot).as_secs()
    {
        let help = "shorten the windows, `drain_limit` or `reboot_limit`";
        f.add_error("forbidden", "no gap is long enough for a drain and a reboot", help);
    }
    Some(WaveSettings {
        office,
        pools: pools?,
        start: start?,
        forbidden,
        drain_limit: drain_limit?,
        reboot_limit: reboot_limit?,
        domain,
    })
}

fn domain_rule(text: &str) -> Result<DomainRule, CompactString> {
    match text.trim() {
        "any" => Ok(DomainRule::Any),
        "rack" => Ok(DomainRule::Rack),
        "data-centre" => Ok(DomainRule::DataCentre),
        _ => Err("use `any`, `rack` or `data-centre`".into()),
    }
}

/// Longest time in seconds between two windows of the daily cycle; the maximum value when there are no windows.
fn longest_gap(windows: &[DailyWindow]) -> u64 {
    let mut spans: Vec<(u64, u64)> = Vec::new();
    for window in windows {
        let (from, mut to) = (u64::from(window.from), u64::from(window.to));
        if to <= from {
            to += DAY_SECS;
        }
        // The windows of two further days make every gap of the cycle appear in a linear scan.
        spans.extend([0, 1, 2].map(|day| (from + day * DAY_SECS, to + day * DAY_SECS)));
    }
    spans.sort_unstable();
    let Some(&(_, mut end)) = spans.first() else {
        return u64::MAX;
    };
    let mut gap = 0;
    for (from, to) in spans {
        gap = gap.max(from.saturating_sub(end));
        end = end.max(to);
    }
    gap
}

impl FleetSettings {
    /// Inserts or replaces an object. Key objects are ignored, because keys aren't part of these settings.
    pub fn insert(&mut self, object: SettingsObject) {
        match object {
            SettingsObject::Class(id, class) => drop(self.classes.insert(id, class)),
            SettingsObject::Key(_) => {}
            SettingsObject::Pool(id, pool) => drop(self.pools.insert(id, pool)),
            SettingsObject::Service(id, service) => drop(self.services.insert(id, service)),
            SettingsObject::Team(id, team) => drop(self.teams.insert(id, team)),
            SettingsObject::Wave(id, wave) => drop(self.waves.insert(id, wave)),
        }
    }

    /// Removes an object, which is used when it is no longer complete.
    pub fn remove(&mut self, kind: &str, name: &str) {
        match kind {
            "class" => drop(name.parse().map(|id: ClassId| self.classes.remove(&id))),
            "pool" => drop(name.parse().map(|id: PoolId| self.pools.remove(&id))),
            "service" => drop(name.parse().map(|id: ServiceId| self.services.remove(&id))),
            "team" => drop(name.parse().map(|id: TeamId| self.teams.remove(&id))),
            "wave" => drop(name.parse().map(|id: WaveId| self.waves.remove(&id))),
            _ => {}
        }
    }

    /// Office that owns the object of this kind and name, if it is in force. The names of a kind are unique over all
    /// offices.
    pub fn owning_office(&self, kind: &str, name: &str) -> Option<&OfficeId> {
        match kind {
            "class" => self.classes.get(&name.parse().ok()?).map(|c| &c.office),
            "pool" => self.pools.get(&name.parse().ok()?).map(|p| &p.office),
            "service" => self.services.get(&name.parse().ok()?).map(|s| &s.office),
            "team" => self.teams.get(&name.parse().ok()?).map(|t| &t.office),
            "wave" => self.waves.get(&name.parse().ok()?).map(|w| &w.office),
            _ => None,
        }
    }
}
