//! Storage of claims and configuration in the platform's table service.

mod claims;
mod config_table;

pub(crate) use claims::ClaimTable;
pub(crate) use config_table::ConfigTable;
