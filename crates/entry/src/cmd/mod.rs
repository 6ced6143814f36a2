//! Subcommands.

pub(crate) mod direct;
