//! Metrics of the process, kept by OpenTelemetry and shown as Prometheus text.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// The metrics could not be set up.
#[derive(Debug, Snafu)]
#[snafu(display("the metrics can't be set up: {source}"))]
pub struct MetricsError {
    source: opentelemetry_sdk::error::OTelSdkError,
}

/// Metrics of the process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Sets the metrics up.
    ///
    /// # Errors
    ///
    /// Fails when the exporter can't be registered.
    pub fn start() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context(MetricsSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// The meter that makes instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("clementinehub")
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if TextEncoder::new().encode(&self.registry.gather(), &mut text).is_err() {
            text.clear();
        }
        text
    }
}
