//! Errors of the stand-ins.

use std::net::SocketAddr;

use clementine_process::settings::SettingsError;
use snafu::Snafu;

/// Why a stand-in can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum StandinError {
    /// Some settings can't be used.
    #[snafu(transparent)]
    Settings {
        /// All faults.
        source: SettingsError,
    },
    /// The address can't be bound.
    #[snafu(display("{listen} can't be bound: {source}"))]
    Bind {
        /// The address.
        listen: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The record file can't be opened.
    #[snafu(display("the record file can't be opened: {source}"))]
    Record {
        /// Cause.
        source: std::io::Error,
    },
}
