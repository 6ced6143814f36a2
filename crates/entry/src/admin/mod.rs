//! The administration API.

mod api;
mod messages;

pub(crate) use api::admin_handler;
