//! Subcommands, one per module.

pub(crate) mod engine;
pub(crate) mod platform;
pub(crate) mod service;
