//! Leading parts of prompts whose KV cache engines already have.

mod affinity;
mod cache;
mod holders;
mod index;
mod prompt;

pub use affinity::{CachedPath, MAX_CACHE_FILL, PrefixAffinity, PrefixAffinityError};
pub use cache::{CacheGeneration, EngineCache};
pub use holders::MAX_HOLDERS_PER_PREFIX;
pub use index::{MAX_HOLDERS, MAX_PREFIXES, MAX_RETENTION, PrefixIndex};
pub use prompt::{LeadingPart, PromptPrefix};
