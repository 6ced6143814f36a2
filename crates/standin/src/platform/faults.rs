//! Faults of the platform, on order.

use std::time::Duration;

use serde::Deserialize;

/// How a service of the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ServiceMode {
    /// Answers.
    #[default]
    Up,
    /// Answers 503 without effect.
    Unavailable,
    /// Never answers and has no effect.
    Hang,
    /// Takes effect, but answers 500.
    #[serde(rename = "lose-answers")]
    LoseResponses,
    /// Answers after `SLOW`.
    Slow,
}

/// Delay of a slow service.
pub(crate) const SLOW_DELAY: Duration = Duration::from_secs(30);

/// Faults by service; an absent one stays as it is.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FaultRequest {
    pub(crate) table: Option<ServiceMode>,
    pub(crate) objects: Option<ServiceMode>,
    pub(crate) instances: Option<ServiceMode>,
}
