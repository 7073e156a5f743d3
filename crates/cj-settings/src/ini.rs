//! Reading of INI text with the place of every value, and the fleet's INI file.

use std::collections::{BTreeMap, VecDeque};

use compact_str::{CompactString, format_compact};
use ini::{Ini, ParseOption};

use cj_record::SettingPath;
use cj_types::{Error, ErrorKind, OfficeId};

use crate::{
    fields::FieldError,
    object::{keys_of, suggest},
    values::check_values,
};

/// One `key = value` of a file with its section and place.
pub(crate) struct Item {
    pub(crate) section: CompactString,
    pub(crate) key: CompactString,
    pub(crate) value: CompactString,
    pub(crate) line: usize,
}

/// Largest settings file in bytes; far above 12,000 settings.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;

/// An error at a place of a file. `key` names section and key.
pub(crate) fn error_at(
    file: &str,
    line: usize,
    section: &str,
    key: &str,
    problem: impl Into<CompactString>,
    help: impl Into<CompactString>,
) -> Error {
    let key = match (section, key) {
        ("", key) => key.into(),
        (section, "") => format_compact!("[{section}]"),
        (section, key) => format_compact!("[{section}] {key}"),
    };
    Error::new(ErrorKind::Setting { file: file.into(), line, key, problem: problem.into() }, help)
}

/// Reads all items of a file. Fails on wrong syntax; reports keys outside a section and repeated keys.
pub(crate) fn items(file: &str, text: &str) -> Result<Vec<Item>, Vec<Error>> {
    if text.len() > MAX_FILE_BYTES {
        let help = "split the file by office";
        return Err(vec![error_at(file, 0, "", "file", "larger than 4 MiB", help)]);
    }
    // Values hold no control characters, so that a backslash stands for itself.
    let options = ParseOption { enabled_escape: false, ..ParseOption::default() };
    let ini = Ini::load_from_str_opt(text, options).map_err(|e| {
        let help = "write `[section]` and `key = value` lines; comments start with `;` or `#`";
        vec![error_at(file, e.line + 1, "", "syntax", e.msg.as_ref(), help)]
    })?;
    let mut lines = key_lines(text);
    let mut items: Vec<Item> = Vec::new();
    for (section, properties) in ini.iter() {
        let section = CompactString::from(section.unwrap_or_default().trim());
        for (key, value) in properties.iter() {
            let (key, value) = (CompactString::from(key.trim()), value.into());
            let place = lines.get_mut(&(section.clone(), key.clone()));
            let line = place.and_then(VecDeque::pop_front).unwrap_or(0);
            items.push(Item { section: section.clone(), key, value, line });
        }
    }
    let errors = misplaced(file, &items);
    if errors.is_empty() { Ok(items) } else { Err(errors) }
}

/// Line numbers of every section and key. The INI library reports no places.
fn key_lines(text: &str) -> BTreeMap<(CompactString, CompactString), VecDeque<usize>> {
    let mut lines: BTreeMap<_, VecDeque<usize>> = BTreeMap::new();
    let mut section = CompactString::default();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(rest) = line.strip_prefix('[') {
            section = rest.split(']').next().unwrap_or_default().trim().into();
        } else if let Some((key, _)) = line.split_once(['=', ':'])
            && !line.starts_with([';', '#'])
        {
            lines.entry((section.clone(), key.trim().into())).or_default().push_back(index + 1);
        }
    }
    lines
}

fn misplaced(file: &str, items: &[Item]) -> Vec<Error> {
    let mut seen = BTreeMap::new();
    let mut errors = Vec::new();
    for item in items {
        let Item { section, key, line, .. } = item;
        if section.is_empty() {
            let help = "put a line such as `[pool proofs]` above it";
            errors.push(error_at(file, *line, "", key, "outside a section", help));
        }
        if let Some(first) = seen.insert((section, key), *line) {
            let problem = format_compact!("already set on line {first}");
            errors.push(error_at(file, *line, section, key, problem, "remove one of the lines"));
        }
    }
    errors
}

/// Reads an office's part of the fleet settings, with sections such as `[pool proofs]`. Every value is checked; every
/// problem is reported with file, line, section, key and remedy. References to objects of the other office are checked
/// by [`crate::FleetSettings::try_from_values`] on the values of both.
pub fn read_fleet_ini(
    file: &str,
    text: &str,
    office: &OfficeId,
) -> Result<BTreeMap<SettingPath, CompactString>, Vec<Error>> {
    let items = items(file, text)?;
    let mut values = BTreeMap::new();
    let mut lines = BTreeMap::new();
    let mut errors = Vec::new();
    for item in &items {
        match path_of(office, item) {
            Ok(path) => {
                lines.insert(path.clone(), item.line);
                values.insert(path, item.value.clone());
            }
            Err((problem, help)) => {
                errors.push(error_at(file, item.line, &item.section, &item.key, problem, help));
            }
        }
    }
    errors.extend(object_errors(file, &values, &lines));
    errors.sort_by_key(line_of);
    if errors.is_empty() { Ok(values) } else { Err(errors) }
}

fn line_of(error: &Error) -> usize {
    match &error.kind {
        ErrorKind::Setting { line, .. } => *line,
        _ => 0,
    }
}

type Problem = (CompactString, CompactString);

fn path_of(office: &OfficeId, item: &Item) -> Result<SettingPath, Problem> {
    let header = item.section.split_whitespace().collect::<Vec<_>>();
    let [kind, name] = header[..] else {
        let help = "write the kind and one name, such as `[pool proofs]`";
        return Err(("the section needs a kind and a name".into(), help.into()));
    };
    let known = keys_of(kind).map_err(|help| ("unknown kind of section".into(), help))?;
    if !known.contains(&item.key.as_str()) {
        return Err(("unknown key".into(), suggest(&item.key, known.iter().copied())));
    }
    Ok(SettingPath {
        office: office.clone(),
        kind: kind.into(),
        name: name.into(),
        key: item.key.clone(),
    })
}

fn object_errors(
    file: &str,
    values: &BTreeMap<SettingPath, CompactString>,
    lines: &BTreeMap<SettingPath, usize>,
) -> Vec<Error> {
    let Err(errors) = check_values(values) else {
        return Vec::new();
    };
    let located = errors.into_iter().map(|found| {
        let path = found.path;
        let FieldError { key, problem, help, .. } = found.error;
        // A missing key is reported at the first line of its section.
        let same = |other: &SettingPath| other.kind == path.kind && other.name == path.name;
        let first = || lines.iter().filter(|(p, _)| same(p)).map(|(_, line)| *line).min();
        let line = lines.get(&path).copied().or_else(first).unwrap_or(0);
        error_at(file, line, &format_compact!("{} {}", path.kind, path.name), &key, problem, help)
    });
    located.collect()
}
