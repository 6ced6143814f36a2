//! What all processes of clementinehub share: settings, logs, metrics, HTTP
//! serving, the administration address and shutdown.

pub mod admin;
pub mod clock;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod shutdown;
pub mod start;
