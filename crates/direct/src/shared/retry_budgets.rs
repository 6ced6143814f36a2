//! Retries of requests, from the budgets that all entries share.

use clementine_decide::ids::Tick;
use clementine_decide::peers::UrgentMessage;
use clementine_decide::retry::{AttemptCounts, Contact, RetryPriority, SlackAnswer, WindowLimits};
use clementine_platform::settings::InstanceBounds;
use spdlog::info;

use super::{RequestContext, SharedState};

/// Budget of a pool for all entries together.
pub(super) const fn retry_limits(bounds: &InstanceBounds) -> WindowLimits {
    WindowLimits {
        window: bounds.retry_window,
        ratio: bounds.retry_share,
        slack: bounds.retry_reserve,
    }
}

/// Permission for another attempt at a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RetryGrant {
    /// The request has arrived at no backend server yet, so this is no repeat.
    FirstArrival,
    /// Taken from the budget at this time.
    Taken(Tick),
}

impl SharedState {
    /// Takes another attempt at a request from the budget of its pool, if the request may
    /// have arrived in an earlier one. Returns `None` if the budget does not allow it.
    pub(crate) fn take_retry(
        &self,
        ctx: &RequestContext,
        earlier: AttemptCounts,
        priority: RetryPriority,
    ) -> Option<RetryGrant> {
        if !earlier.may_have_arrived() {
            return Some(RetryGrant::FirstArrival);
        }
        let (now, contact) = (self.now(), self.contact());
        let mut budgets = self.retry_budgets.borrow_mut();
        let decision = budgets.try_retry((&ctx.pool).into(), priority, contact, now);
        let entries = budgets.entry_count();
        let report = if decision.must_report { budgets.report(now) } else { None };
        drop(budgets);
        if let Some(report) = report {
            self.outbox.push(UrgentMessage::Slack(report));
        }
        self.metrics.count_retry_decision(decision.granted);
        info!(
            "retry: id={} pool={} granted={} priority={:?} retries={} requests={} allowed={:.1} \
             inherited={:.1} entries={} contact={:?}",
            ctx.req.id,
            ctx.pool,
            decision.granted,
            priority,
            decision.usage.retries,
            decision.usage.requests,
            decision.usage.allowed,
            decision.inherited,
            entries,
            contact
        );
        decision.granted.then_some(RetryGrant::Taken(now))
    }

    /// Records that an attempt is sent for which permission was granted earlier.
    pub(crate) fn record_retry_sent(&self, ctx: &RequestContext, grant: RetryGrant) {
        let RetryGrant::Taken(taken_at) = grant else { return };
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.record_sent((&ctx.pool).into(), taken_at, self.now());
    }

    /// Applies what another entry tells of the slack that this one used before it started.
    pub(crate) fn record_slack_answer(&self, answer: &SlackAnswer) {
        self.observe_entries(answer.entries as usize);
        let now = self.now();
        if self.retry_budgets.borrow_mut().record_answer(answer, now) {
            info!(
                "retry: slack used before the start marks={:?} told_by={} age_ms={} after_ms={}",
                answer.marks,
                answer.from,
                answer.age.0,
                now.uptime().0
            );
        }
    }

    /// Records the number of entries that are known, including this one.
    pub(crate) fn observe_entries(&self, known: usize) {
        let mut count = self.entry_count.get();
        count.observe(known, self.now());
        self.entry_count.set(count);
        self.retry_budgets.borrow_mut().set_entry_count(count.get());
    }

    /// Whether others hear this entry. One that knows of no others may be cut off.
    fn contact(&self) -> Contact {
        let is_alone = self.entry_count.get().get() == 1;
        if is_alone || self.peers.borrow().live_count() > 1 {
            Contact::Heard
        } else {
            Contact::Isolated
        }
    }
}
