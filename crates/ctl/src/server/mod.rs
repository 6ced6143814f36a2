//! The administration API of entries.

mod client;
mod config;

pub(crate) use client::{ChangeOutcome, Revisions, ServerClient};
pub(crate) use config::ServerConfig;
