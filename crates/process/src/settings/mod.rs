//! Settings from flags and environment variables, checked together.

mod common;
mod reader;

pub use common::{AdminSettings, ProcessSettings, process_args};
pub use reader::{SettingFaults, SettingsReader, setting};
