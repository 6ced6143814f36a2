//! Code shared by all clementinehub processes: settings, logging, metrics, the
//! HTTP server, the administration server and graceful shutdown.

pub mod admin;
pub mod clock;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod shutdown;
pub mod start;
