//! Settings from flags and environment variables. All invalid settings are
//! reported together.

mod common;
mod reader;
mod tls;

pub use common::{AdminSettings, ProcessSettings, process_args};
pub use reader::{SettingsError, SettingsReader, setting};
pub use tls::{internal_tls_args, read_internal_tls, read_tls};
