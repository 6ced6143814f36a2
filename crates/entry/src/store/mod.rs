//! Claims and configuration in the platform's table service.

mod claims;
mod config_rows;

pub(crate) use claims::ClaimTable;
pub(crate) use config_rows::ConfigRows;
