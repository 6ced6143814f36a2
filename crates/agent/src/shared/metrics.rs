//! Metrics of the agent.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// Request counters of the agent.
#[derive(Debug)]
pub(crate) struct AgentMetrics {
    runs: Counter<u64>,
    refusals: Counter<u64>,
}

impl AgentMetrics {
    /// Registers the counters.
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, help: &'static str| {
            meter.u64_counter(name).with_description(help).build()
        };
        Self {
            runs: counter("agent_runs", "Requests given to the backend server, by end"),
            refusals: counter("agent_refusals", "Requests refused as not run, by reason"),
        }
    }

    /// Counts a request that was sent to the backend server.
    pub(crate) fn count_run(&self, outcome: &'static str) {
        self.runs.add(1, &[KeyValue::new("end", outcome)]);
    }

    /// Counts a request that was not executed.
    pub(crate) fn count_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }
}
