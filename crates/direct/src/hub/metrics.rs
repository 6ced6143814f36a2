//! Counters and histograms of the process.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

/// Buckets of times from a caller's request on, in seconds.
const SECONDS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0, 20.0];

/// Counters and histograms of the process.
#[derive(Debug)]
pub(crate) struct DirectMetrics {
    requests: Counter<u64>,
    first: Histogram<f64>,
    pause: Histogram<f64>,
    whole: Histogram<f64>,
    retries: Counter<u64>,
    paths_changed: Counter<u64>,
    backends_lost: Counter<u64>,
    store_failures: Counter<u64>,
}

impl DirectMetrics {
    /// Registers the instruments.
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, help: &'static str| {
            meter.u64_counter(name).with_description(help).build()
        };
        let seconds = |name: &'static str, help: &'static str| {
            let built = meter.f64_histogram(name).with_description(help).with_unit("s");
            built.with_boundaries(SECONDS.to_vec()).build()
        };
        Self {
            requests: counter("direct_requests", "Callers' requests, by route and outcome"),
            first: seconds("direct_stream_first_event", "Time to a stream's first event"),
            pause: seconds("direct_stream_longest_pause", "Longest pause within a stream"),
            whole: seconds("direct_whole_answer", "Time to an answer that is read whole"),
            retries: counter("direct_retries", "Requests sent once more, by reason"),
            paths_changed: counter("direct_paths_changed", "Runs moved around a lost engine"),
            backends_lost: counter("direct_backends_down", "Backend servers found down, by reason"),
            store_failures: counter(
                "direct_store_failures",
                "Calls to the store that failed, by table",
            ),
        }
    }

    /// Counts a request that has ended.
    pub(crate) fn count_request(&self, route: &str, outcome: &'static str) {
        let labels = [KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
    }

    /// Records the times of a stream that brought an event.
    pub(crate) fn record_stream(&self, first: Duration, longest_pause: Duration) {
        self.first.record(first.as_secs_f64(), &[]);
        self.pause.record(longest_pause.as_secs_f64(), &[]);
    }

    /// Records the time of an answer that was read whole.
    pub(crate) fn record_whole(&self, took: Duration) {
        self.whole.record(took.as_secs_f64(), &[]);
    }

    /// Counts a request that is sent once more.
    pub(crate) fn count_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a run that was moved around a lost engine.
    pub(crate) fn count_path_changed(&self) {
        self.paths_changed.add(1, &[]);
    }

    /// Counts a backend server that was found down.
    pub(crate) fn count_backend_lost(&self, reason: &'static str) {
        self.backends_lost.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a call to the store that failed.
    pub(crate) fn count_store_failure(&self, table: &'static str) {
        self.store_failures.add(1, &[KeyValue::new("table", table)]);
    }
}
