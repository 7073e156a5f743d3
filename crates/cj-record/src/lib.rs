//! Record formats of the log: batches of entries, and signed settings records.

pub mod batch;
mod encoding;
pub mod entry;
pub mod settings;

pub use batch::{Batch, BatchHeader, MAX_BATCH_BYTES};
pub use entry::*;
pub use settings::{SettingPath, SettingRecord, SignedSetting};
