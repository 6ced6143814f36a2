//! Startup errors.

use std::net::SocketAddr;

use clementine_net::TlsError;
use snafu::Snafu;

use crate::admin::AdminError;
use crate::logging::LoggingError;
use crate::metrics::MetricsError;
use crate::settings::SettingsError;

/// Error that prevents a process from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// Some settings are invalid.
    #[snafu(transparent)]
    Settings {
        /// Invalid settings.
        source: SettingsError,
    },
    /// Logging cannot be configured.
    #[snafu(transparent)]
    Logging {
        /// Underlying error.
        source: LoggingError,
    },
    /// Metrics cannot be set up.
    #[snafu(transparent)]
    Metrics {
        /// Underlying error.
        source: MetricsError,
    },
    /// The TLS certificates cannot be loaded.
    #[snafu(transparent)]
    Tls {
        /// Underlying error.
        source: TlsError,
    },
    /// The administration address cannot be bound.
    #[snafu(transparent)]
    Admin {
        /// Underlying error.
        source: AdminError,
    },
    /// The listen address cannot be bound.
    #[snafu(display("cannot bind {listen}: {source}"))]
    Bind {
        /// The address.
        listen: SocketAddr,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// Underlying error.
        source: std::io::Error,
    },
}
