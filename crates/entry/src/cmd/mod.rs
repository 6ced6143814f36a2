//! Subcommands.

pub(crate) mod check;
pub(crate) mod direct;
