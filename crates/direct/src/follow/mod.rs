//! Follows the configuration and the list of backend servers.

mod backends;
mod config;
mod table;

pub(crate) use backends::follow_backends;
pub(crate) use config::follow_config;
