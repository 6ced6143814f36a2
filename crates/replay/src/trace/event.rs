//! A single request of a trace.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Type of a request. The variant names, in lower case, are keys of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum TraceKind {
    /// A streaming chat completion.
    Chat,
    /// A read without side effects, which may be retried.
    Lookup,
    /// An operation with at-most-once semantics, sent with an idempotency key.
    Order,
}

/// A request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TraceEvent {
    /// Send time in ms since the start of the trace.
    pub(crate) at_ms: u64,
    /// Type of the request.
    pub(crate) kind: TraceKind,
    /// Model name for chats, URL path for other requests.
    pub(crate) target: CompactString,
    /// Number of the prompt prefix; chats with the same number share it.
    #[serde(default)]
    pub(crate) prefix: u32,
    /// Length of the prompt after the prefix, in words. Chats only.
    #[serde(default)]
    pub(crate) prompt_words: u32,
    /// Number of tokens to generate. Chats only.
    #[serde(default)]
    pub(crate) tokens: u32,
}
