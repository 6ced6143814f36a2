//! Startup errors.

use std::net::SocketAddr;

use clementine_process::settings::SettingsError;
use snafu::Snafu;

/// Reason why a stand-in cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum StandinError {
    /// Some settings are invalid.
    #[snafu(transparent)]
    Settings {
        /// Invalid settings.
        source: SettingsError,
    },
    /// The listen address cannot be bound.
    #[snafu(display("cannot bind {listen}: {source}"))]
    Bind {
        /// The address.
        listen: SocketAddr,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The record file cannot be opened.
    #[snafu(display("cannot open the record file: {source}"))]
    Record {
        /// Underlying error.
        source: std::io::Error,
    },
}
