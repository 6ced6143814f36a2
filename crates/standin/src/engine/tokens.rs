//! Deterministic generation of tokens.

use xxhash_rust::xxh3::xxh3_64;

const WORDS: [&str; 16] = [
    "key", "blank", "cut", "brass", "steel", "route", "stage", "gravel", "rider", "fuel", "gate",
    "desk", "rule", "lock", "price", "stock",
];

/// Returns the digest of a prompt, which determines all tokens of the response.
pub(crate) fn prompt_digest(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the token at `index` of the response to a prompt: a word, the index and
/// a space.
pub(crate) fn token(prompt_digest: u64, index: u32) -> String {
    let hash = xxh3_64(&[prompt_digest.to_be_bytes(), u64::from(index).to_be_bytes()].concat());
    format!("{}{index} ", WORDS[(hash % WORDS.len() as u64) as usize])
}

/// Returns the number of tokens in a generated text.
pub(crate) fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}
