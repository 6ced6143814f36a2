//! Leading parts of one prompt.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::PromptPart;

/// A part of a prompt that other requests may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadingPart {
    /// Identifies the text of the part.
    pub id: PromptPart,
    /// Length in tokens.
    pub tokens: u32,
}

/// Identifies a run of parts from the beginning of a prompt. The KV cache of a part
/// depends on all tokens before it, so a part on its own identifies no cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PrefixKey(u64);

/// The shared leading parts of one prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Key and length in tokens of each run of leading parts, the shortest first.
    runs: Vec<(PrefixKey, u64)>,
}

impl PromptPrefix {
    /// Creates the prefix of a prompt from its shared parts, in order.
    pub fn new(parts: &[LeadingPart]) -> Self {
        let (mut key, mut tokens) = (0, 0);
        let runs = parts.iter().map(|part| {
            let mut bytes = [0; 12];
            bytes[..8].copy_from_slice(&part.id.0.to_le_bytes());
            bytes[8..].copy_from_slice(&part.tokens.to_le_bytes());
            key = xxh3_64_with_seed(&bytes, key);
            tokens += u64::from(part.tokens);
            (PrefixKey(key), tokens)
        });
        Self { runs: runs.collect() }
    }

    /// Whether the prompt has no shared parts.
    pub const fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The runs of leading parts with their lengths in tokens, the shortest first.
    pub(super) fn runs(&self) -> impl Iterator<Item = (PrefixKey, u64)> {
        self.runs.iter().copied()
    }
}
