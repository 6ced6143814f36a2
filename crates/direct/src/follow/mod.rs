//! Follows the configuration and the list of backend servers in the store.

mod backends;
mod config;
mod passed_on;
mod table;

pub(crate) use backends::follow_backends;
pub(crate) use config::follow_config;
