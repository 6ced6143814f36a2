//! The commands, one file each.

pub(crate) mod engine;
pub(crate) mod platform;
pub(crate) mod service;
