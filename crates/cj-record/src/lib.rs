//! Records of the log: batches of entries, their encoding, and signed settings records.

pub mod batch;
pub mod entry;
mod form;
pub mod settings;

pub use batch::{Batch, BatchHeader, MAX_BATCH_BYTES};
pub use entry::*;
pub use settings::{SettingPath, SettingRecord, SignedSetting};
