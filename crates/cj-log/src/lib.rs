//! Access to the platform's append-only log.

pub mod service;

pub use service::{LogService, ReadPage};
