//! Parsing and validation of settings: the INI file of a node and the published settings of the fleet.

pub mod fields;
pub mod fleet;
pub mod ini;
pub mod node;
pub mod object;
mod values;

pub use fields::{FieldError, ObjectValues};
pub use fleet::*;
pub use ini::{FleetFile, read_fleet_files, read_fleet_ini};
pub use node::{NodeSettings, read_node_ini};
pub use object::{OBJECT_KINDS, SettingsObject};
