//! Why a process can't start.

use std::net::SocketAddr;

use clementine_net::TlsError;
use snafu::Snafu;

use crate::admin::AdminError;
use crate::logging::LoggingError;
use crate::metrics::MetricsError;
use crate::settings::SettingsError;

/// Why a process can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// Some settings can't be used.
    #[snafu(transparent)]
    Settings {
        /// All faults.
        source: SettingsError,
    },
    /// The log can't be set up.
    #[snafu(transparent)]
    Logging {
        /// Cause.
        source: LoggingError,
    },
    /// The metrics can't be set up.
    #[snafu(transparent)]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
    /// The certificates can't be used.
    #[snafu(transparent)]
    Tls {
        /// Cause.
        source: TlsError,
    },
    /// The administration address can't be served.
    #[snafu(transparent)]
    Admin {
        /// Cause.
        source: AdminError,
    },
    /// The address can't be bound.
    #[snafu(display("{listen} can't be bound: {source}"))]
    Bind {
        /// The address.
        listen: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The signal handlers can't be installed.
    #[snafu(display("the signal handlers can't be installed: {source}"))]
    Signals {
        /// Cause.
        source: std::io::Error,
    },
}
