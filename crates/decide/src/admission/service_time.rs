//! Moving average of the service time.

use clementine_objects::Millis;

/// Smoothing factor: weight of the newest observation.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Exponentially weighted moving average of the service time of a work item.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean_ms: Option<f64>,
}

impl ServiceTime {
    /// Adds the service time of a finished work item.
    pub fn observe(&mut self, duration: Millis) {
        let duration = duration.0 as f64;
        let mean = self.mean_ms.unwrap_or(duration);
        self.mean_ms = Some(mean + SMOOTHING_FACTOR * (duration - mean));
    }

    /// Whether any service time has been observed.
    pub const fn is_known(&self) -> bool {
        self.mean_ms.is_some()
    }

    /// The average, zero before the first observation.
    pub fn mean(&self) -> Millis {
        Millis(self.mean_ms.unwrap_or(0.0).round() as u64)
    }
}
