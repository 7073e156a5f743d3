//! The commands of the operator command line, one per file.

mod bench;
mod check;
mod command;
mod demo;
mod explain;
mod keygen;
mod publish;
mod status;
mod where_report;
mod where_to;

pub use command::{Command, run};
