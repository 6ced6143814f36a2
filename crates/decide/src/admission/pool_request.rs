//! A request that waits for capacity, and its position in the order of the queue.

use clementine_objects::Millis;

use crate::ids::Tick;

/// Wait that outweighs one priority level, so that low-priority requests do not
/// starve.
const WAIT_PER_LEVEL: Millis = Millis(2_000);

/// Whether a caller was refused before and told when to return. The order is that in
/// which requests of a level are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum CallerReturn {
    /// It returns when it was told to.
    AsTold,
    /// It was not told to return, or too long ago, or without a slot for it.
    #[default]
    New,
    /// It returns before it is due. Behind all others, so that callers gain nothing
    /// by retrying immediately and often.
    Early,
}

/// A request as the queue of a pool sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolRequest {
    /// Whether the caller has already received events of the stream, which now
    /// needs another path.
    pub begun: bool,
    /// Priority level from 0 (highest) to 9 (lowest).
    pub level: u8,
    /// Whether the caller was refused before.
    pub returned: CallerReturn,
    /// Whether the request's workspace is over its share of the capacity.
    pub over_share: bool,
    /// When the request arrived.
    pub arrived: Tick,
    /// Target latency of the response or of the first event.
    pub target: Millis,
    /// Time after which the request is useless.
    pub deadline: Tick,
}

/// Position in the order of the queue at one moment; the least is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueOrder {
    not_begun: bool,
    level: u8,
    returned: CallerReturn,
    over_share: bool,
    latest_start: Tick,
    deadline: Tick,
    ticket: u64,
}

impl PoolRequest {
    /// Whether the request may wait for capacity. One whose workspace is over its share
    /// gets capacity that is free at the moment and does not wait for more: with a few
    /// waiting requests at each of many entries, their order alone does not make the
    /// shares.
    pub const fn may_wait(&self) -> bool {
        self.begun || matches!(self.returned, CallerReturn::AsTold) || !self.over_share
    }

    /// Latest time at which the request has to start to meet its target, given the
    /// usual time to the first response.
    pub(super) fn latest_start(&self, first_response: Millis) -> Tick {
        let usable = Millis(self.target.0.saturating_sub(first_response.0));
        self.arrived.after(usable).min(self.deadline)
    }

    /// The request's position at `now`, with the order of arrival as the last
    /// criterion.
    pub(super) fn order(&self, latest_start: Tick, ticket: u64, now: Tick) -> QueueOrder {
        let levels_waited = now.since(self.arrived).0 / WAIT_PER_LEVEL.0;
        QueueOrder {
            not_begun: !self.begun,
            level: self.level.saturating_sub(u8::try_from(levels_waited).unwrap_or(u8::MAX)),
            returned: self.returned,
            over_share: self.over_share,
            latest_start,
            deadline: self.deadline,
            ticket,
        }
    }
}
