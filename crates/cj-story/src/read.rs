//! Reads log files of several nodes.

use std::{fs, path::Path};

use cj_types::{Error, ErrorKind, Result};

use crate::line::Line;

/// Reads the lines of a file, or of all files directly in a folder, sorted by time. Also returns the number of lines of nodes that
/// can't be parsed.
///
/// # Errors
///
/// The file or folder can't be read.
pub fn read_logs(path: &Path) -> Result<(Vec<Line>, usize)> {
    let failed = |e: std::io::Error| {
        let kind = ErrorKind::Io(format!("{}: {e}", path.display()).into());
        Error::new(kind, "name a file of log lines, or a folder of such files")
    };
    let mut files = Vec::new();
    if path.is_dir() {
        for entry in fs::read_dir(path).map_err(failed)? {
            let file = entry.map_err(failed)?.path();
            if file.is_file() {
                files.push(file);
            }
        }
        files.sort();
    } else {
        files.push(path.to_owned());
    }
    let (mut lines, mut unreadable) = (Vec::new(), 0);
    for file in files {
        let text = fs::read(&file).map_err(failed)?;
        for text_line in String::from_utf8_lossy(&text).lines() {
            match Line::parse(text_line) {
                Some(line) => lines.push(line),
                None => unreadable += usize::from(text_line.contains(" node=")),
            }
        }
    }
    lines.sort_by_key(|line| line.at);
    Ok((lines, unreadable))
}
