//! Metrics of the entry process.

use clementine_decide::outcome::Outcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// Counters of the entry process.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    responses: Counter<u64>,
    retries: Counter<u64>,
    reconnects: Counter<u64>,
    claims: Counter<u64>,
    limit_refusals: Counter<u64>,
}

impl EntryMetrics {
    /// Registers the counters.
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, help: &'static str| {
            meter.u64_counter(name).with_description(help).build()
        };
        Self {
            responses: counter("entry_answers", "Answers to callers, by outcome and error code"),
            retries: counter("entry_retries", "Requests sent to another backend server, by cause"),
            reconnects: counter("entry_reconnects", "Reads resumed on a new connection"),
            limit_refusals: counter(
                "entry_limit_refusals",
                "Requests refused by a limit of their workspace, by limit",
            ),
            claims: counter("entry_claims", "Settled operations, by source of the answer"),
        }
    }

    /// Counts a response to a caller; `code` is the error code, or `ok`.
    pub(crate) fn count_response(&self, outcome: Outcome, code: &'static str) {
        let labels = [KeyValue::new("outcome", outcome.to_string()), KeyValue::new("code", code)];
        self.responses.add(1, &labels);
    }

    /// Counts a retry; `cause` is the error code of the failed attempt.
    pub(crate) fn count_retry(&self, cause: &'static str) {
        self.retries.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a request that exceeds a limit of its workspace.
    pub(crate) fn count_limit_refusal(&self, limit: &str) {
        self.limit_refusals.add(1, &[KeyValue::new("limit", limit.to_owned())]);
    }

    /// Counts a read that is retried on a new connection.
    pub(crate) fn count_reconnect(&self) {
        self.reconnects.add(1, &[]);
    }

    /// Counts a completed at-most-once operation; `source` is the source of its
    /// response, or its error code.
    pub(crate) fn count_claim(&self, source: &'static str) {
        self.claims.add(1, &[KeyValue::new("source", source)]);
    }
}
