//! Administration server: health checks, metrics and the state dump.

mod server;

pub use server::{AdminError, AdminHandler, AdminProcess, serve_admin};
