//! Typed access to the keys of one settings object. Collects all errors instead of stopping at the first one.

use std::{collections::BTreeMap, str::FromStr, time::Duration};

use compact_str::{CompactString, format_compact};

use cj_types::{Percent, UnixMillis};

use crate::fleet::DailyWindow;

/// Values of one settings object by key.
pub type ObjectValues<'a> = BTreeMap<&'a str, &'a str>;

/// Error of one key of a settings object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Key within the object.
    pub key: CompactString,
    /// Description of the problem.
    pub problem: CompactString,
    /// How to correct it.
    pub help: CompactString,
    /// True when the key is missing; the object is then incomplete rather than invalid.
    pub missing: bool,
}

impl FieldError {
    pub(crate) fn new(
        key: &str,
        problem: impl Into<CompactString>,
        help: impl Into<CompactString>,
    ) -> Self {
        FieldError { key: key.into(), problem: problem.into(), help: help.into(), missing: false }
    }
}

/// Parser of the values of one object, which collects the errors.
pub(crate) struct FieldParser<'a> {
    values: &'a ObjectValues<'a>,
    pub(crate) errors: Vec<FieldError>,
}

impl<'a> FieldParser<'a> {
    pub(crate) fn new(values: &'a ObjectValues<'a>) -> Self {
        FieldParser { values, errors: Vec::new() }
    }

    pub(crate) fn add_error(
        &mut self,
        key: &str,
        problem: impl Into<CompactString>,
        help: impl Into<CompactString>,
    ) {
        self.errors.push(FieldError::new(key, problem, help));
    }

    /// Parses the value of a required key. Returns `None` and adds an error when the key is missing or its value is
    /// invalid.
    pub(crate) fn required<T, F>(&mut self, key: &str, parse: F) -> Option<T>
    where
        F: Fn(&str) -> Result<T, CompactString>,
    {
        if !self.values.contains_key(key) {
            let help = format_compact!("add `{key} = VALUE`");
            let error = FieldError { missing: true, ..FieldError::new(key, "is missing", help) };
            self.errors.push(error);
            return None;
        }
        self.optional(key, parse)
    }

    /// Parses the value of an optional key. Returns `None` when the key is absent, or when its value is invalid, which
    /// adds an error.
    pub(crate) fn optional<T, F>(&mut self, key: &str, parse: F) -> Option<T>
    where
        F: Fn(&str) -> Result<T, CompactString>,
    {
        let text = *self.values.get(key)?;
        parse(text)
            .map_err(|help| self.add_error(key, format_compact!("invalid value `{text}`"), help))
            .ok()
    }
}

/// Parses an identifier or quantity of `cj_types`. Fails with its help text.
pub(crate) fn typed<T>(text: &str) -> Result<T, CompactString>
where
    T: FromStr<Err = cj_types::Error>,
{
    text.trim().parse().map_err(|e: cj_types::Error| e.help)
}

/// Parses a comma-separated list; empty items are skipped.
pub(crate) fn list<T>(text: &str) -> Result<Vec<T>, CompactString>
where
    T: FromStr<Err = cj_types::Error>,
{
    text.split(',').map(str::trim).filter(|item| !item.is_empty()).map(typed).collect()
}

pub(crate) fn number(text: &str) -> Result<u32, CompactString> {
    text.trim().parse().map_err(|_| "use a whole number from 0".into())
}

pub(crate) fn positive(text: &str) -> Result<u32, CompactString> {
    number(text).ok().filter(|n| *n > 0).ok_or_else(|| "use a whole number from 1".into())
}

pub(crate) fn percent(text: &str) -> Result<Percent, CompactString> {
    let parsed = typed::<Percent>(text).ok().filter(|p| p.0 <= 100);
    parsed.ok_or_else(|| "use a percentage from 0% to 100%".into())
}

pub(crate) fn boolean(text: &str) -> Result<bool, CompactString> {
    match text.trim() {
        "yes" | "true" => Ok(true),
        "no" | "false" => Ok(false),
        _ => Err("use `yes` or `no`".into()),
    }
}

pub(crate) fn duration(text: &str) -> Result<Duration, CompactString> {
    let parsed = humantime::parse_duration(text.trim()).ok().filter(|d| *d <= MAX_DURATION);
    parsed.ok_or_else(|| "use a duration up to 366 days such as `90s`, `15m` or `2h 30m`".into())
}

const MAX_DURATION: Duration = Duration::from_secs(366 * 86_400);

pub(crate) fn time(text: &str) -> Result<UnixMillis, CompactString> {
    let parsed = humantime::parse_rfc3339_weak(text.trim());
    parsed.map(UnixMillis::from).map_err(|_| "use a UTC time such as `2026-11-02T22:00:00Z`".into())
}

/// Parses a comma-separated list of daily windows in UTC.
pub(crate) fn windows(text: &str) -> Result<Vec<DailyWindow>, CompactString> {
    let help = || CompactString::from("use UTC windows such as `05:30-07:00, 18:00-19:30`");
    let window = |item: &str| {
        let (from, to) = item.split_once('-')?;
        let (from, to) = (time_of_day(from)?, time_of_day(to)?);
        (from != to).then_some(DailyWindow { from, to })
    };
    let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(|item| window(item).ok_or_else(help)).collect()
}

/// Seconds after midnight of a time `HH:MM`, up to `24:00`.
fn time_of_day(text: &str) -> Option<u32> {
    let (hours, minutes) = text.trim().split_once(':')?;
    let (hours, minutes) = (hours.parse::<u32>().ok()?, minutes.parse::<u32>().ok()?);
    let valid = hours < 24 && minutes < 60 || hours == 24 && minutes == 0;
    valid.then_some(hours * 3600 + minutes * 60)
}

/// Parses a key of 32 bytes from hexadecimal digits.
pub(crate) fn hex_key(text: &str) -> Result<[u8; 32], CompactString> {
    let help = || CompactString::from("use 64 hexadecimal digits");
    let text = text.trim();
    if text.len() != 64 || !text.is_ascii() {
        return Err(help());
    }
    let mut key = [0; 32];
    for (byte, digits) in key.iter_mut().zip(text.as_bytes().chunks(2)) {
        let digits = std::str::from_utf8(digits).map_err(|_| help())?;
        if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(help());
        }
        *byte = u8::from_str_radix(digits, 16).map_err(|_| help())?;
    }
    Ok(key)
}

/// Parses an ed25519 public key from hexadecimal digits. Weak keys are rejected.
pub(crate) fn public_key(text: &str) -> Result<[u8; 32], CompactString> {
    let key = hex_key(text)?;
    let parsed = ed25519_dalek::VerifyingKey::from_bytes(&key).ok().filter(|k| !k.is_weak());
    parsed.map(|_| key).ok_or_else(|| "use an ed25519 public key".into())
}
