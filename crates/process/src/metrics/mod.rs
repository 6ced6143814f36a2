//! Metrics, recorded with OpenTelemetry and exported in the Prometheus text
//! format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// The metrics exporter could not be registered.
#[derive(Debug, Snafu)]
#[snafu(display("cannot register the metrics exporter: {source}"))]
pub struct MetricsError {
    source: opentelemetry_sdk::error::OTelSdkError,
}

/// Metric registry and meter provider of the process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the registry and registers the Prometheus exporter.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn start() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context(MetricsSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter used to create instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("clementinehub")
    }

    /// Returns all metrics in the Prometheus text format, or nothing if they
    /// cannot be encoded.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if TextEncoder::new().encode(&self.registry.gather(), &mut text).is_err() {
            text.clear();
        }
        text
    }
}
