//! Reads INI text with the line of every value, and the INI files of the fleet settings.

use std::collections::{BTreeMap, VecDeque};

use compact_str::{CompactString, format_compact};
use ini::{Ini, ParseOption};

use cj_record::SettingPath;
use cj_types::{Error, ErrorKind, OfficeId};

use crate::{
    object::{keys_of, suggestion},
    values::{PathError, References, check_values},
};

/// One `key = value` line of a file, with its section and line number.
pub(crate) struct IniItem {
    pub(crate) section: CompactString,
    pub(crate) key: CompactString,
    pub(crate) value: CompactString,
    pub(crate) line: usize,
}

/// Maximum size of a settings file in bytes, far above the size of 12,000 settings.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;

/// Error at a line of a file. An empty `key` reports the section as a whole, and an empty `section` only the key.
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

/// Reads all key-value lines of a file. Fails on malformed lines, keys outside a section and repeated keys.
pub(crate) fn read_items(file: &str, text: &str) -> Result<Vec<IniItem>, Vec<Error>> {
    if text.len() > MAX_FILE_BYTES {
        let help = "split the file by office";
        return Err(vec![error_at(file, 0, "", "file", "larger than 4 MiB", help)]);
    }
    let malformed = malformed_lines(file, text);
    if !malformed.is_empty() {
        return Err(malformed);
    }
    // Values contain no control characters and no line breaks, so backslashes and quotes are taken literally.
    let options =
        ParseOption { enabled_escape: false, enabled_quote: false, ..ParseOption::default() };
    let ini = Ini::load_from_str_opt(text, options)
        .map_err(|e| vec![error_at(file, e.line + 1, "", "syntax", e.msg.as_ref(), SYNTAX_HELP)])?;
    let mut lines = key_lines(text);
    let mut items: Vec<IniItem> = Vec::new();
    for (section, properties) in ini.iter() {
        let section = CompactString::from(section.unwrap_or_default().trim());
        for (key, value) in properties.iter() {
            let (key, value) = (CompactString::from(key.trim()), value.into());
            let numbers = lines.get_mut(&(section.clone(), key.clone()));
            let line = numbers.and_then(VecDeque::pop_front).unwrap_or(0);
            items.push(IniItem { section: section.clone(), key, value, line });
        }
    }
    let errors = placement_errors(file, &items);
    if errors.is_empty() { Ok(items) } else { Err(errors) }
}

const SYNTAX_HELP: &str =
    "write `[section]` and `key = value` lines; comments start with `;` or `#`";

/// Errors for lines that are neither a section, a value nor a comment. The INI library would join such a line with the
/// next one and report the wrong line.
fn malformed_lines(file: &str, text: &str) -> Vec<Error> {
    let valid = |line: &str| match line.trim() {
        "" => true,
        line if line.starts_with([';', '#']) => true,
        line if line.starts_with('[') => line.contains(']'),
        line => line.find(['=', ':']).is_some_and(|i| i > 0 && line[i..].starts_with('=')),
    };
    let malformed = text.lines().zip(1..).filter(|(line, _)| !valid(line));
    malformed
        .map(|(_, number)| error_at(file, number, "", "syntax", "malformed line", SYNTAX_HELP))
        .collect()
}

/// Line numbers of every section and key, which the INI library doesn't report.
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

/// Errors for keys outside a section and for repeated keys.
fn placement_errors(file: &str, items: &[IniItem]) -> Vec<Error> {
    let mut seen = BTreeMap::new();
    let mut errors = Vec::new();
    for item in items {
        let IniItem { section, key, line, .. } = item;
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

/// A file of fleet settings, which belongs to one office.
#[derive(Clone, Copy, Debug)]
pub struct FleetFile<'a> {
    /// File name, shown in errors.
    pub file: &'a str,
    /// Content of the file.
    pub text: &'a str,
    /// Office that owns all settings of the file.
    pub office: &'a OfficeId,
}

/// Reads the fleet settings of one office, with sections such as `[pool proofs]`. Every value is checked, and all
/// errors are returned with file, line, section, key and remedy. References between objects aren't checked, because
/// they may refer to settings of the other office; [`read_fleet_files`] checks them.
pub fn read_fleet_ini(
    file: &str,
    text: &str,
    office: &OfficeId,
) -> Result<BTreeMap<SettingPath, CompactString>, Vec<Error>> {
    read_files(&[FleetFile { file, text, office }], References::Skip)
}

/// Reads the files of all offices and checks them together, including references between objects. Returns all errors.
pub fn read_fleet_files(
    files: &[FleetFile<'_>],
) -> Result<BTreeMap<SettingPath, CompactString>, Vec<Error>> {
    read_files(files, References::Check)
}

fn read_files(
    files: &[FleetFile<'_>],
    references: References,
) -> Result<BTreeMap<SettingPath, CompactString>, Vec<Error>> {
    let mut values = BTreeMap::new();
    let mut locations = Locations::new();
    let mut errors = Vec::new();
    for FleetFile { file, text, office } in files.iter().copied() {
        let items = read_items(file, text).unwrap_or_else(|found| {
            errors.extend(found);
            Vec::new()
        });
        for item in items {
            match setting_path(office, &item) {
                Ok(path) => {
                    locations.insert(path.clone(), (file, item.line));
                    values.insert(path, item.value);
                }
                Err((problem, help)) => {
                    errors.push(error_at(file, item.line, &item.section, &item.key, problem, help));
                }
            }
        }
    }
    // With values missing, valid references would be reported as dangling.
    let references = if errors.is_empty() { references } else { References::Skip };
    if let Err(found) = check_values(&values, references) {
        errors.extend(found.into_iter().map(|error| with_location(error, &locations)));
    }
    errors.sort_by_key(location_of);
    if errors.is_empty() { Ok(values) } else { Err(errors) }
}

/// File and line of every value.
type Locations<'a> = BTreeMap<SettingPath, (&'a str, usize)>;

fn location_of(error: &Error) -> (CompactString, usize) {
    match &error.kind {
        ErrorKind::Setting { file, line, .. } => (file.clone(), *line),
        _ => Default::default(),
    }
}

/// Description of a problem and how to correct it.
type ProblemAndHelp = (CompactString, CompactString);

fn setting_path(office: &OfficeId, item: &IniItem) -> Result<SettingPath, ProblemAndHelp> {
    let header = item.section.split_whitespace().collect::<Vec<_>>();
    let [kind, name] = header[..] else {
        let help = "write the kind and one name, such as `[pool proofs]`";
        return Err(("the section needs a kind and a name".into(), help.into()));
    };
    let known = keys_of(kind).map_err(|help| ("unknown kind of section".into(), help))?;
    if !known.contains(&item.key.as_str()) {
        return Err(("unknown key".into(), suggestion(&item.key, known.iter().copied())));
    }
    Ok(SettingPath {
        office: office.clone(),
        kind: kind.into(),
        name: name.into(),
        key: item.key.clone(),
    })
}

/// Error with the file and line of its setting.
fn with_location(PathError { path, error }: PathError, locations: &Locations<'_>) -> Error {
    // An error of a missing key gets the first line of its section.
    let same = |other: &SettingPath| {
        other.office == path.office && other.kind == path.kind && other.name == path.name
    };
    let section = || locations.iter().filter(|(p, _)| same(p)).map(|(_, location)| *location).min();
    let (file, line) = locations.get(&path).copied().or_else(section).unwrap_or(("", 0));
    let header = format_compact!("{} {}", path.kind, path.name);
    error_at(file, line, &header, &error.key, error.problem, error.help)
}
