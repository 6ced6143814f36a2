//! The text that the stand-in generates.

use xxhash_rust::xxh3::xxh3_64;

const WORDS: [&str; 16] = [
    "key", "blank", "cut", "brass", "steel", "route", "stage", "gravel", "rider", "fuel", "gate",
    "desk", "rule", "lock", "price", "stock",
];

/// Digest of a prompt, from which all tokens of its answer follow.
pub(crate) fn prompt_digest(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Token `index` of the answer to a prompt: a word and a space.
pub(crate) fn token(prompt_digest: u64, index: u32) -> String {
    let hash = xxh3_64(&[prompt_digest.to_be_bytes(), u64::from(index).to_be_bytes()].concat());
    format!("{}{index} ", WORDS[(hash % WORDS.len() as u64) as usize])
}

/// Number of tokens in a text that the stand-in generated.
pub(crate) fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}
