//! Metrics of the process.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

/// Histogram bucket boundaries, in seconds.
const BUCKETS_S: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0, 20.0];

/// Metrics of the process.
#[derive(Debug)]
pub(crate) struct DirectMetrics {
    requests: Counter<u64>,
    first_event: Histogram<f64>,
    longest_pause: Histogram<f64>,
    buffered_response: Histogram<f64>,
    admissions: Counter<u64>,
    capacity_wait: Histogram<f64>,
    told_to_return: Counter<u64>,
    caller_returns: Counter<u64>,
    retries: Counter<u64>,
    retry_decisions: Counter<u64>,
    repaths: Counter<u64>,
    paths_beyond_bound: Counter<u64>,
    shortages: Counter<u64>,
    backends_down: Counter<u64>,
    crashes: Counter<u64>,
    quarantined_requests: Counter<u64>,
    quarantined_parts: Counter<u64>,
    quarantine_probes: Counter<u64>,
    store_calls: Counter<u64>,
    store_failures: Counter<u64>,
    engine_calls: Counter<u64>,
    malformed_messages: Counter<u64>,
    malformed_signals: Counter<u64>,
    over_share: Counter<u64>,
    prefix_tokens_saved: Counter<u64>,
    prefix_placements: Counter<u64>,
}

impl DirectMetrics {
    /// Registers the metrics.
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, help: &'static str| {
            meter.u64_counter(name).with_description(help).build()
        };
        let seconds = |name: &'static str, help: &'static str| {
            let built = meter.f64_histogram(name).with_description(help).with_unit("s");
            built.with_boundaries(BUCKETS_S.to_vec()).build()
        };
        Self {
            requests: counter("direct_requests", "Callers' requests, by route and outcome"),
            first_event: seconds("direct_stream_first_event", "Time to a stream's first event"),
            longest_pause: seconds("direct_stream_longest_pause", "Longest pause within a stream"),
            buffered_response: seconds(
                "direct_whole_answer",
                "Time to an answer that is read whole",
            ),
            admissions: counter(
                "direct_admissions",
                "Requests that found no capacity when they arrived, by decision",
            ),
            capacity_wait: seconds("direct_capacity_wait", "Time in the queue for capacity"),
            told_to_return: counter(
                "direct_callers_told_to_return",
                "Refused callers that were told when a slot is expected for them",
            ),
            caller_returns: counter(
                "direct_callers_returned",
                "Refused callers that returned when they were told to, or early",
            ),
            retries: counter("direct_retries", "Requests sent once more, by reason"),
            retry_decisions: counter(
                "direct_retry_budget_decisions",
                "Retries asked of the budget, by whether it allowed them",
            ),
            repaths: counter("direct_paths_changed", "Runs moved around a lost engine"),
            paths_beyond_bound: counter(
                "direct_paths_beyond_loss_bound",
                "Paths with an engine whose loss can't be repaired within the target gap, by \
                 relaxation of the bound",
            ),
            shortages: counter(
                "direct_path_shortages",
                "Resources that a failure domain lacked when a request found no path, by resource",
            ),
            backends_down: counter("direct_backends_down", "Backend servers found down, by reason"),
            crashes: counter(
                "direct_crashes",
                "Backend servers that crashed while they ran a request",
            ),
            quarantined_requests: counter(
                "direct_requests_quarantined",
                "Requests that are refused because backend servers crashed under them",
            ),
            quarantined_parts: counter(
                "direct_prompt_parts_quarantined",
                "Parts of prompts that are refused because backend servers crashed under them",
            ),
            quarantine_probes: counter(
                "direct_quarantine_probes",
                "Requests let through to learn whether a part that is refused is the cause",
            ),
            store_calls: counter("direct_store_calls", "Calls to the store, by purpose"),
            store_failures: counter(
                "direct_store_failures",
                "Calls to the store that failed, by table",
            ),
            over_share: counter(
                "direct_requests_over_share",
                "Requests that arrived beyond the share of their workspace in scarce capacity",
            ),
            engine_calls: counter(
                "direct_engine_calls",
                "Reports, orders and health checks; those for engines that are paused are not sent",
            ),
            malformed_signals: counter(
                "direct_malformed_signals",
                "Headers of backend servers that could not be read, by signal",
            ),
            malformed_messages: counter(
                "direct_malformed_messages",
                "Messages of other entries that could not be decoded",
            ),
            prefix_tokens_saved: counter(
                "direct_prefix_tokens_saved",
                "Prompt tokens expected not to be prefilled, because engines hold them",
            ),
            prefix_placements: counter(
                "direct_prefix_placements",
                "Paths that would be others if engines held no leading parts of prompts",
            ),
        }
    }

    /// Counts a completed request.
    pub(crate) fn count_request(&self, route: &str, outcome: &'static str) {
        let labels = [KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
    }

    /// Records the time to the first event and the longest pause of a stream that
    /// delivered at least one event.
    pub(crate) fn record_stream(&self, first_event: Duration, longest_pause: Duration) {
        self.first_event.record(first_event.as_secs_f64(), &[]);
        self.longest_pause.record(longest_pause.as_secs_f64(), &[]);
    }

    /// Records the time until a buffered response was complete.
    pub(crate) fn record_buffered_response(&self, elapsed: Duration) {
        self.buffered_response.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts a decision on a request that found no capacity when it arrived.
    pub(crate) fn count_admission(&self, decision: &'static str) {
        self.admissions.add(1, &[KeyValue::new("decision", decision)]);
    }

    /// Records the time that a request waited for capacity.
    pub(crate) fn record_capacity_wait(&self, waited: Duration) {
        self.capacity_wait.record(waited.as_secs_f64(), &[]);
    }

    /// Counts a refused caller that was told when a slot is expected for it.
    pub(crate) fn count_told_to_return(&self) {
        self.told_to_return.add(1, &[]);
    }

    /// Counts a refused caller that returned.
    pub(crate) fn count_caller_return(&self, time: &'static str) {
        self.caller_returns.add(1, &[KeyValue::new("time", time)]);
    }

    /// Counts a decision of the retry budget.
    pub(crate) fn count_retry_decision(&self, granted: bool) {
        self.retry_decisions.add(1, &[KeyValue::new("granted", granted)]);
    }

    /// Counts a retry.
    pub(crate) fn count_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a run that was moved to another path after an engine failed.
    pub(crate) fn count_repath(&self) {
        self.repaths.add(1, &[]);
    }

    /// Counts a path that was chosen with a relaxed loss bound.
    pub(crate) fn count_path_beyond_bound(&self, relaxation: &'static str) {
        self.paths_beyond_bound.add(1, &[KeyValue::new("relaxation", relaxation)]);
    }

    /// Counts a resource that a failure domain lacked when a request found no path.
    pub(crate) fn count_shortage(&self, resource: &'static str) {
        self.shortages.add(1, &[KeyValue::new("resource", resource)]);
    }

    /// Counts a backend server that was marked as down.
    pub(crate) fn count_backend_down(&self, reason: &'static str) {
        self.backends_down.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a backend server that crashed while it ran a request.
    pub(crate) fn count_crash(&self) {
        self.crashes.add(1, &[]);
    }

    /// Counts a request that has been put in quarantine.
    pub(crate) fn count_quarantined_request(&self) {
        self.quarantined_requests.add(1, &[]);
    }

    /// Counts a part of a prompt that has been put in quarantine.
    pub(crate) fn count_quarantined_part(&self) {
        self.quarantined_parts.add(1, &[]);
    }

    /// Counts a request that is let through although a part of its prompt is refused.
    pub(crate) fn count_quarantine_probe(&self) {
        self.quarantine_probes.add(1, &[]);
    }

    /// Counter of calls to the store.
    pub(crate) fn store_calls(&self) -> Counter<u64> {
        self.store_calls.clone()
    }

    /// Counts a failed call to the store.
    pub(crate) fn count_store_failure(&self, table: &'static str) {
        self.store_failures.add(1, &[KeyValue::new("table", table)]);
    }

    /// Counts a call to an engine that is no request of a caller, and whether the engine
    /// had asked to be left alone.
    pub(crate) fn count_engine_call(&self, call: &'static str, paused: bool) {
        self.engine_calls.add(1, &[KeyValue::new("call", call), KeyValue::new("paused", paused)]);
    }

    /// Counts a header of a backend server that could not be read.
    pub(crate) fn count_malformed_signal(&self, signal: &'static str) {
        self.malformed_signals.add(1, &[KeyValue::new("signal", signal)]);
    }

    /// Counts a request beyond the share of its workspace.
    pub(crate) fn count_over_share(&self) {
        self.over_share.add(1, &[]);
    }

    /// Counts prompt tokens that are expected not to be prefilled.
    pub(crate) fn count_prefix_tokens_saved(&self, tokens: f64) {
        self.prefix_tokens_saved.add(tokens.round() as u64, &[]);
    }

    /// Counts a path that was chosen because engines hold leading parts of the prompt.
    pub(crate) fn count_prefix_placement(&self) {
        self.prefix_placements.add(1, &[]);
    }

    /// Counts a message of another entry that could not be decoded.
    pub(crate) fn count_malformed_message(&self) {
        self.malformed_messages.add(1, &[]);
    }
}
