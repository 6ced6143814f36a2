//! Fault injection for the platform services.

use std::time::Duration;

use serde::Deserialize;

/// Fault mode of a platform service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ServiceMode {
    /// Responds normally.
    #[default]
    Up,
    /// Responds with 503 and does not execute the call.
    Unavailable,
    /// Never responds and does not execute the call.
    Hang,
    /// Executes the call but responds with 500.
    #[serde(rename = "lose-answers")]
    LoseResponses,
    /// Executes the call after [`SLOW_DELAY`].
    Slow,
}

/// Delay of calls in slow mode.
pub(crate) const SLOW_DELAY: Duration = Duration::from_secs(30);

/// Body of `POST /faults`: the new fault modes. The mode of an omitted service
/// does not change.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FaultRequest {
    pub(crate) table: Option<ServiceMode>,
    pub(crate) objects: Option<ServiceMode>,
    pub(crate) instances: Option<ServiceMode>,
    /// Copy of the table to make, or to come back from.
    #[serde(default)]
    pub(super) table_copy: Option<CopyRequest>,
}

/// What to do with the copy of the table.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum CopyRequest {
    /// Copy the current rows.
    Save,
    /// Restore the rows of the copy and raise the era.
    Restore,
}
