//! The project's error type. Every error states what went wrong and how to resolve it.

use compact_str::CompactString;
use derive_more::{Display, Error as DeriveError};

/// Result type with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Kind of error. Messages name the object concerned.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A value has an invalid format.
    #[display("invalid {what} `{value}`")]
    Invalid {
        /// Kind of value, such as "VM id".
        what: &'static str,
        /// The rejected text.
        value: CompactString,
    },
    /// A setting is invalid.
    #[display("{file}:{line}: `{key}`: {problem}")]
    Setting {
        /// Path of the settings file.
        file: CompactString,
        /// Line number from 1, or 0 when the line isn't known.
        line: usize,
        /// Section and key of the setting.
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
    /// A call got no response; it may or may not have taken effect.
    #[display("no answer from {service}: {reason}")]
    Unanswered {
        /// Name of the service.
        service: &'static str,
        /// Cause reported by the transport.
        reason: CompactString,
    },
    /// Records between two offsets are no longer retained.
    #[display("records {wanted} to {oldest} of stream `{stream}` are no longer retained")]
    Gap {
        /// Stream name.
        stream: CompactString,
        /// First requested offset.
        wanted: u64,
        /// Oldest retained offset.
        oldest: u64,
    },
    /// The command line is invalid.
    #[display("{_0}")]
    Usage(CompactString),
    /// Reading or writing failed.
    #[display("{_0}")]
    Io(CompactString),
    /// A check or a guarantee of the system failed.
    #[display("{_0}")]
    Failed(CompactString),
}

/// An error with advice on how to resolve it.
#[derive(Clone, Debug, Display, DeriveError, PartialEq, Eq)]
#[display("{kind}; {help}")]
pub struct Error {
    /// The kind of error with its details.
    pub kind: ErrorKind,
    /// How to resolve the error.
    pub help: CompactString,
}

impl Error {
    /// Creates an error from its kind and advice.
    pub fn new(kind: ErrorKind, help: impl Into<CompactString>) -> Self {
        Error { kind, help: help.into() }
    }

    /// Creates an [`ErrorKind::Invalid`] error.
    pub fn invalid(
        what: &'static str,
        value: impl Into<CompactString>,
        help: impl Into<CompactString>,
    ) -> Self {
        Error::new(ErrorKind::Invalid { what, value: value.into() }, help)
    }

    /// Creates an [`ErrorKind::Decode`] error.
    pub fn decode(what: &'static str, problem: impl Into<CompactString>) -> Self {
        let help = "the record is skipped; check that all nodes run compatible versions";
        Error::new(ErrorKind::Decode { what, problem: problem.into() }, help)
    }

    /// True when the call got no response but may have taken effect.
    pub fn is_unanswered(&self) -> bool {
        matches!(self.kind, ErrorKind::Unanswered { .. })
    }
}
