//! Records the work of workspaces, from which their shares are derived.

use clementine_decide::fleet::EngineSpec;
use clementine_decide::shares::{Standing, WorkCost};
use clementine_objects::Millis;
use clementine_platform::requests::PromptSize;
use spdlog::info;

use super::{RequestContext, SharedState};

/// Minimum interval between log lines about requests over their share.
const LOG_INTERVAL: Millis = Millis(1_000);

impl SharedState {
    /// Records a request that has arrived, and whether it is over its workspace's share.
    pub(crate) fn record_offered(&self, ctx: &RequestContext) {
        let (key, now) = (ctx.share_key(), self.now());
        let mut shares = self.shares.borrow_mut();
        shares.record_offered(key, ctx.cost, now);
        let Some(summary) = shares.summary(key, now) else { return };
        drop(shares);
        if summary.standing != Standing::Over {
            return;
        }
        self.metrics.count_over_share();
        if self.shares_log.admit(now, LOG_INTERVAL).is_none() {
            return;
        }
        info!(
            "shares: id={} pool={} workspace={} over its share demand={:.0} admitted={:.0} share={:.0}",
            ctx.req.id,
            ctx.pool,
            ctx.workspace_name(),
            summary.demand,
            summary.admitted,
            summary.share()
        );
    }

    /// Records that a request has found capacity for its first attempt.
    pub(crate) fn record_admitted(&self, ctx: &RequestContext) {
        self.shares.borrow_mut().record_admitted(ctx.share_key(), ctx.cost, self.now());
    }

    /// Records that a request has found no capacity.
    pub(crate) fn record_scarce(&self, ctx: &RequestContext) {
        self.shares.borrow_mut().record_scarce(ctx.share_key().pool, self.now());
    }
}

/// Cost of a request to a pool with this engine: its tokens x layers.
pub(crate) fn request_cost(engine: Option<&EngineSpec>, size: Option<PromptSize>) -> WorkCost {
    let Some(engine) = engine.filter(|engine| engine.layers > 0) else { return WorkCost::REQUEST };
    let typical =
        || f64::from(engine.typical_prompt_tokens) + f64::from(engine.typical_output_tokens);
    let tokens = size.map_or_else(typical, |size| {
        let max = size.max_output_tokens;
        let output = size.estimated_output_tokens.unwrap_or(max).min(max);
        f64::from(size.prompt_tokens) + f64::from(output)
    });
    WorkCost::of_run(tokens, engine.layers).unwrap_or(WorkCost::REQUEST)
}
