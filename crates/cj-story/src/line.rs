//! Parses and formats a log line: `key=value` pairs, separated by spaces; values with spaces are in double quotes.

use std::fmt;

/// A parsed log line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Line {
    /// Unix time in ms.
    pub at: u64,
    /// The pairs in their order, `at` included.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line. Text before `at=` is ignored, because log collectors put their own time and source there. `None` if the line
    /// has no time or doesn't consist of pairs.
    pub fn parse(text: &str) -> Option<Line> {
        let start = if text.starts_with("at=") { 0 } else { text.find(" at=")? + 1 };
        let mut rest = text[start..].trim_end();
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let (key, after) = rest.split_once('=')?;
            let (value, remaining) = match after.strip_prefix('"') {
                Some(quoted) => quoted.split_once('"')?,
                None => after.split_once(' ').unwrap_or((after, "")),
            };
            if key.is_empty() || key.contains(' ') {
                return None;
            }
            fields.push((key.to_owned(), value.to_owned()));
            rest = remaining.trim_start();
        }
        let at = fields.first()?.1.parse().ok()?;
        Some(Line { at, fields })
    }

    /// Value of a key; the first one if the key occurs several times.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }

    /// Whether the key has this value.
    pub fn has(&self, key: &str, value: &str) -> bool {
        self.get(key) == Some(value)
    }

    /// Value of a key as a number.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.get(key)?.parse().ok()
    }

    /// The node that wrote the line; `?` if the line doesn't name it.
    pub fn node(&self) -> &str {
        self.get("node").unwrap_or("?")
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (key, value)) in self.fields.iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            if value.contains(' ') || value.is_empty() {
                write!(f, "{separator}{key}=\"{value}\"")?;
            } else {
                write!(f, "{separator}{key}={value}")?;
            }
        }
        Ok(())
    }
}
