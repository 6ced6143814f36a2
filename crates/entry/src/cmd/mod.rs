//! Subcommands, one per module.

pub(crate) mod check;
pub(crate) mod completions;
pub(crate) mod direct;
pub(crate) mod explain;
