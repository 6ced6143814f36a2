//! Client of the administration API of entries.

mod client;
mod config;

pub(crate) use client::{ChangeOutcome, RevisionsResponse, ServerClient};
pub(crate) use config::ServerConfig;
