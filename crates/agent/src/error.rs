//! Errors of the agent.

use std::net::SocketAddr;

use clementine_net::TlsError;
use clementine_process::admin::AdminError;
use clementine_process::logging::LoggingError;
use clementine_process::metrics::MetricsError;
use clementine_process::settings::SettingFaults;
use snafu::Snafu;

/// Why the agent can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum AgentError {
    /// Some settings can't be used.
    #[snafu(transparent)]
    Settings {
        /// All faults.
        source: SettingFaults,
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
    /// The internal address can't be bound.
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
