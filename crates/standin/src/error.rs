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
        /// All invalid settings.
        source: SettingsError,
    },
    /// The listening address cannot be bound.
    #[snafu(display("cannot listen on {listen}: {source}"))]
    Bind {
        /// The listening address.
        listen: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The record file cannot be opened.
    #[snafu(display("cannot open the record file: {source}"))]
    Record {
        /// The underlying error.
        source: std::io::Error,
    },
}
