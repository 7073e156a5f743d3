//! The error type of the project. Every error names what went wrong and what the reader can do about it.

use compact_str::CompactString;
use derive_more::{Display, Error as DeriveError};

/// Result with the project's error type.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What went wrong. Messages name the object concerned.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A value doesn't have the required form.
    #[display("invalid {what} `{value}`")]
    Invalid {
        /// Kind of value, such as "VM id".
        what: &'static str,
        /// The rejected text.
        value: CompactString,
    },
    /// A line of a settings file is wrong.
    #[display("{file}:{line}: `{key}`: {problem}")]
    Setting {
        /// Path of the settings file.
        file: CompactString,
        /// Line number, from 1.
        line: usize,
        /// Section and key.
        key: CompactString,
        /// What is wrong with it.
        problem: CompactString,
    },
    /// A record can't be decoded.
    #[display("cannot decode {what}: {problem}")]
    Decode {
        /// Kind of record.
        what: &'static str,
        /// What is wrong with it.
        problem: CompactString,
    },
    /// A remote service refused the call; the call had no effect.
    #[display("{service} refused the call: {reason}")]
    Refused {
        /// Name of the service.
        service: &'static str,
        /// Reason given by the service.
        reason: CompactString,
    },
    /// A call got no answer; it may or may not have taken effect.
    #[display("no answer from {service}: {reason}")]
    Unanswered {
        /// Name of the service.
        service: &'static str,
        /// Transport error.
        reason: CompactString,
    },
    /// Records between two offsets are no longer retained.
    #[display("records {wanted} to {oldest} of stream `{stream}` are no longer retained")]
    Gap {
        /// Stream name.
        stream: CompactString,
        /// First offset wanted.
        wanted: u64,
        /// Oldest offset still retained.
        oldest: u64,
    },
    /// The command line was used wrongly.
    #[display("{_0}")]
    Usage(CompactString),
    /// Reading or writing failed.
    #[display("{_0}")]
    Io(CompactString),
    /// A check or a promise failed.
    #[display("{_0}")]
    Failed(CompactString),
}

/// An error with the remedy for the reader.
#[derive(Clone, Debug, Display, DeriveError, PartialEq, Eq)]
#[display("{kind}; {help}")]
pub struct Error {
    /// What went wrong.
    pub kind: ErrorKind,
    /// What the reader can do about it.
    pub help: CompactString,
}

impl Error {
    /// Creates an error from its kind and remedy.
    pub fn new(kind: ErrorKind, help: impl Into<CompactString>) -> Self {
        Error { kind, help: help.into() }
    }

    /// A value of the wrong form.
    pub fn invalid(
        what: &'static str,
        value: impl Into<CompactString>,
        help: impl Into<CompactString>,
    ) -> Self {
        Error::new(ErrorKind::Invalid { what, value: value.into() }, help)
    }

    /// A record that can't be decoded.
    pub fn decode(what: &'static str, problem: impl Into<CompactString>) -> Self {
        let help = "the record is skipped; check that all nodes run compatible versions";
        Error::new(ErrorKind::Decode { what, problem: problem.into() }, help)
    }

    /// True when the call may have taken effect although no answer came.
    pub fn is_unanswered(&self) -> bool {
        matches!(self.kind, ErrorKind::Unanswered { .. })
    }
}
