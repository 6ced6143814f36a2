//! Moving average of the time that work takes.

use clementine_objects::Millis;

/// Weight of the newest observation in the average.
const NEWEST_WEIGHT: f64 = 0.1;

/// Exponentially weighted mean of the time that one piece of work takes.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean_ms: Option<f64>,
}

impl ServiceTime {
    /// Takes in the time of a finished piece of work.
    pub fn observe(&mut self, took: Millis) {
        let took = took.0 as f64;
        let mean = self.mean_ms.unwrap_or(took);
        self.mean_ms = Some(mean + NEWEST_WEIGHT * (took - mean));
    }

    /// The mean, zero before the first observation.
    pub fn mean(&self) -> Millis {
        Millis(self.mean_ms.unwrap_or(0.0).round() as u64)
    }
}
