//! Index of the leading parts of prompts that engines hold.

use std::collections::{BTreeMap, HashMap};

use clementine_objects::{LayerRange, Millis};

use super::holders::Holders;
use super::prompt::PrefixKey;
use super::{EngineCache, PromptPrefix};
use crate::ids::{BackendId, Tick};

/// Maximum number of runs of leading parts in the index.
pub const MAX_PREFIXES: usize = 4_096;
/// Maximum number of caches that are recorded for all runs of leading parts.
pub const MAX_HOLDERS: usize = MAX_PREFIXES * 8;
/// Upper bound of the time for which a record remains after the last request. The
/// entry does not see the requests of others that evict the parts meanwhile.
pub const MAX_RETENTION: Millis = Millis(10_000);

/// Index of the engines that hold leading parts of prompts, as far as requests of
/// this entry have put them there.
///
/// Handles requests that share long leading parts of their prompts, for example
/// instructions or the course of a chat. Each of the engines between which they are
/// spread would prefill these parts again.
///
/// A record is a guess: an engine may have evicted the parts. A wrong one costs the
/// prefill that was to be saved.
///
/// Invariant: at most [`MAX_PREFIXES`] runs of leading parts and [`MAX_HOLDERS`]
/// caches, about 4 MB.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    prefixes: HashMap<PrefixKey, Holders>,
    /// Keys in the order of their last use.
    by_use: BTreeMap<u64, PrefixKey>,
    last_use: u64,
    /// Number of caches of all prefixes.
    holder_count: usize,
}

impl PrefixIndex {
    /// Records that a request was sent to engines.
    pub fn begin(&mut self, prefix: &PromptPrefix, caches: &[EngineCache], now: Tick) {
        for (key, _) in prefix.runs() {
            self.last_use += 1;
            let used = self.last_use;
            let holders = self.prefixes.entry(key).or_default();
            self.by_use.remove(&std::mem::replace(&mut holders.used, used));
            self.by_use.insert(used, key);
            self.holder_count -= holders.len();
            for cache in caches {
                holders.begin(cache, now);
            }
            self.holder_count += holders.len();
        }
        while self.prefixes.len() > MAX_PREFIXES || self.holder_count > MAX_HOLDERS {
            let Some((_, key)) = self.by_use.pop_first() else { break };
            let evicted = self.prefixes.remove(&key);
            self.holder_count -= evicted.map_or(0, |holders| holders.len());
        }
    }

    /// Records that the engines have prefilled a request that runs there.
    pub fn set_held(&mut self, prefix: &PromptPrefix, caches: &[EngineCache], now: Tick) {
        for (key, _) in prefix.runs() {
            if let Some(holders) = self.prefixes.get_mut(&key) {
                for cache in caches {
                    holders.set_held(cache, now);
                }
            }
        }
    }

    /// Records that a request no longer runs on the engines, which keep its prompt
    /// for the pool's `retention` period; zero if the request was not prefilled.
    pub fn end(
        &mut self,
        prefix: &PromptPrefix,
        caches: &[EngineCache],
        retention: Millis,
        now: Tick,
    ) {
        let retention = retention.min(MAX_RETENTION);
        for (key, _) in prefix.runs() {
            let Some(holders) = self.prefixes.get_mut(&key) else { continue };
            self.holder_count -= holders.len();
            for cache in caches {
                holders.end(cache, retention, now);
            }
            self.holder_count += holders.len();
            if holders.len() == 0 {
                let used = holders.used;
                self.prefixes.remove(&key);
                self.by_use.remove(&used);
            }
        }
    }

    /// The engines that hold leading parts of a prompt, each with its layers and number
    /// of tokens for which the most is saved. Caches that `is_current` rejects are left
    /// out.
    pub(super) fn held(
        &self,
        prefix: &PromptPrefix,
        is_current: impl Fn(&EngineCache) -> bool,
        now: Tick,
    ) -> HashMap<&BackendId, (LayerRange, u64)> {
        // Whoever holds a longer run holds the shorter ones too.
        let known =
            prefix.runs().map_while(|(key, tokens)| Some((self.prefixes.get(&key)?, tokens)));
        let known: Vec<(&Holders, u64)> = known.collect();
        let mut held: HashMap<&BackendId, (LayerRange, u64)> = HashMap::new();
        for (holders, tokens) in known.into_iter().rev() {
            for cache in holders.held(now) {
                let saved =
                    |(layers, tokens): (LayerRange, u64)| u64::from(layers.count()) * tokens;
                let new = (cache.layers, tokens);
                let is_better =
                    held.get(&cache.engine).is_none_or(|best| saved(new) > saved(*best));
                if is_better && is_current(cache) {
                    held.insert(&cache.engine, new);
                }
            }
        }
        held
    }

    /// Number of runs of leading parts in the index.
    pub fn prefix_count(&self) -> usize {
        self.prefixes.len()
    }

    /// Number of recorded caches of all runs.
    pub const fn holder_count(&self) -> usize {
        self.holder_count
    }
}
