//! One request of a trace.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Sort of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum TraceKind {
    /// A streamed chat.
    Chat,
    /// A safe lookup.
    Lookup,
    /// An operation that may run at most once.
    Order,
}

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TraceEvent {
    /// Time since the start, in ms.
    pub(crate) at_ms: u64,
    /// Sort of the request.
    pub(crate) kind: TraceKind,
    /// Model or path.
    pub(crate) target: CompactString,
    /// Number of a shared prefix of prompts, for chats.
    #[serde(default)]
    pub(crate) prefix: u32,
    /// Length of the prompt in words, for chats.
    #[serde(default)]
    pub(crate) prompt_words: u32,
    /// Tokens to generate, for chats.
    #[serde(default)]
    pub(crate) tokens: u32,
}
