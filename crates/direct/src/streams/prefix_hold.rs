//! Leading parts of a prompt that the engines of a path hold.

use std::cell::Cell;
use std::rc::Rc;

use clementine_decide::paths::{ChosenPath, PathSearch, PathStage};
use clementine_decide::prefixes::{CachedPath, EngineCache, PromptPrefix};
use clementine_objects::Millis;
use spdlog::info;

use super::route::format_path;
use crate::shared::{RequestContext, SharedState};

/// Minimum interval between log lines about paths chosen because of cached parts.
const LOG_INTERVAL: Millis = Millis(500);

/// Records that the engines of a path have the leading parts of a request's prompt: while
/// the request runs there, and for the pool's retention period after it is dropped.
pub(super) struct PrefixHold {
    shared: Rc<SharedState>,
    prefix: Rc<PromptPrefix>,
    caches: Vec<EngineCache>,
    /// The pool's retention period.
    retention: Millis,
    /// Whether all engines of the path have prefilled the request.
    is_prefilled: Cell<bool>,
}

impl PrefixHold {
    /// Begins the record, unless affinity doesn't apply to the request.
    pub(super) fn begin(
        shared: &Rc<SharedState>,
        ctx: &RequestContext,
        path: &[PathStage],
    ) -> Option<Self> {
        if ctx.prefix.is_empty() {
            return None;
        }
        let retention = shared.routing_table()?.pools.get(&ctx.pool)?.prompt_retention;
        let fleet = shared.fleet.borrow();
        let caches = path.iter().filter_map(|stage| {
            let generation = fleet.get(&stage.id)?.cache_generation();
            Some(EngineCache { engine: stage.id.clone(), generation, layers: stage.layers })
        });
        let (caches, prefix): (Vec<_>, _) = (caches.collect(), Rc::clone(&ctx.prefix));
        shared.prefixes.borrow_mut().begin(&prefix, &caches, shared.now());
        let (shared, is_prefilled) = (Rc::clone(shared), Cell::new(false));
        Some(Self { shared, prefix, caches, retention, is_prefilled })
    }

    /// Records an event of the request, which all engines have prefilled then.
    pub(super) fn record_event(&self) {
        if !self.is_prefilled.replace(true) {
            let now = self.shared.now();
            self.shared.prefixes.borrow_mut().set_held(&self.prefix, &self.caches, now);
        }
    }
}

impl Drop for PrefixHold {
    fn drop(&mut self) {
        let retention = if self.is_prefilled.get() { self.retention } else { Millis(0) };
        let now = self.shared.now();
        self.shared.prefixes.borrow_mut().end(&self.prefix, &self.caches, retention, now);
    }
}

/// Chooses a path with the leading parts of the prompt taken into account.
/// `is_any_cached` tells whether a candidate holds any.
pub(super) fn choose_path(
    shared: &SharedState,
    ctx: &RequestContext,
    search: &PathSearch<'_>,
    is_any_cached: bool,
) -> Option<ChosenPath> {
    let rng = &mut *shared.rng.borrow_mut();
    if !is_any_cached {
        return search.choose_path(rng);
    }
    let chosen = search.choose_cached_path(rng)?;
    shared.metrics.count_prefix_tokens_saved(chosen.saved_tokens);
    if chosen.is_displaced {
        shared.metrics.count_prefix_placement();
        log_placement(shared, ctx, &chosen);
    }
    Some(chosen.path)
}

/// Logs a path that was chosen because of cached parts, with the number of lines held
/// back since the last one.
fn log_placement(shared: &SharedState, ctx: &RequestContext, chosen: &CachedPath) {
    let Some(held_back) = shared.prefix_log.admit(shared.now(), LOG_INTERVAL) else { return };
    info!(
        "prefixes: id={} placed by cached parts tokens_saved={:.0} path={} lines_held_back={}",
        ctx.req.id,
        chosen.saved_tokens,
        format_path(&chosen.path.stages, shared),
        held_back
    );
}
