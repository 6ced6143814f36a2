//! The queue of requests that wait for capacity of a pool.

use clementine_objects::Millis;
use rand::Rng;

use super::pool_capacity::PoolCapacity;
use super::pool_request::QueueOrder;
use super::promises::Promises;
use super::{CallerReturn, PoolLoad, PoolRequest};
use crate::ids::Tick;
use crate::overload::max_capacity_wait;
use crate::quarantine::Fingerprint;

/// Maximum number of requests that wait for a pool at one entry.
pub const MAX_WAITING: usize = 256;
/// Number of consecutive waiting requests that may fail to use a freed slot before
/// the search is given up. A large request at the head must not keep the slot from
/// smaller ones, and each try costs a path search.
const MAX_FAILED_TRIES: u32 = 8;

/// Fraction of its remaining time for which a caller waits when it is told to return
/// later.
const RETRY_TIME_DIVISOR: u64 = 3;

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueTicket(u64);

/// Why a request is refused before it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// Capacity is not expected in time for the request.
    TooLate,
    /// The request's workspace is over its share; see [`PoolRequest::may_wait`].
    OverShare,
    /// The caller was refused and returns before the time that it was told. Were it
    /// queued, retrying often would gain it a place that others do not get.
    NotDue,
    /// The queue is full of requests that go before this one.
    QueueFull,
}

/// Decision on a request that finds no capacity.
#[derive(Debug, PartialEq, Eq)]
pub enum PoolDecision<T> {
    /// The request waits.
    Queued {
        /// Its place in the queue.
        ticket: QueueTicket,
        /// When it is refused at the latest.
        until: Tick,
        /// A request that has to leave the full queue for it, and is refused.
        displaced: Option<T>,
    },
    /// The request is refused at once.
    Refused(RefusalReason),
}

#[derive(Debug)]
struct Waiting<T> {
    ticket: u64,
    request: PoolRequest,
    latest_start: Tick,
    /// Number of the last change of the capacity with which it was tried.
    tried: u64,
    item: T,
}

impl<T> Waiting<T> {
    fn order(&self, now: Tick) -> QueueOrder {
        self.request.order(self.latest_start, self.ticket, now)
    }
}

/// Queue of the requests of one entry that wait for capacity of a pool.
///
/// Handles bursts that exceed the capacity for less than the target latency, and
/// overload in which most requests have to be refused. Whether a request fits can
/// only be found out by trying: `next_ready` names one request at a time, and
/// `record_try` says what came of it. A freed slot is thus offered to the waiting
/// requests in order, and each of them tries at most once per change of the
/// capacity.
///
/// Invariants: at most [`MAX_WAITING`] requests wait (about 100 bytes each); at most
/// one try is in progress.
#[derive(Debug)]
pub struct PoolQueue<T> {
    waiting: Vec<Waiting<T>>,
    next_ticket: u64,
    /// Number of times that the capacity has grown.
    changes: u64,
    /// Tries that may still fail before the search for a request that can use the
    /// capacity is given up.
    tries_left: u32,
    /// The request that is trying.
    trying: Option<QueueTicket>,
    capacity: PoolCapacity,
    promises: Promises,
}

impl<T> Default for PoolQueue<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            next_ticket: 0,
            changes: 1,
            tries_left: 0,
            trying: None,
            capacity: PoolCapacity::default(),
            promises: Promises::default(),
        }
    }
}

impl<T> PoolQueue<T> {
    /// Whether no request waits.
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of waiting requests.
    pub const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Number of runs of this entry in the pool.
    pub const fn running(&self) -> u32 {
        self.capacity.running()
    }

    /// Mean service time of the runs, `None` before the first one has ended.
    pub fn service_time(&self) -> Option<Millis> {
        self.capacity.service_time()
    }

    /// Records that a run begins on a number of servers.
    pub fn record_start(&mut self, servers: usize) {
        self.capacity.record_start(servers);
    }

    /// Records that a run has ended, with its duration if the request was served.
    /// The slot is offered to waiting requests only with [`Self::record_freed`].
    pub fn record_end(&mut self, duration: Option<Millis>, now: Tick) {
        self.capacity.record_end(duration, now);
    }

    /// Records the time from the start of an attempt to its first event or response.
    pub fn record_first_response(&mut self, duration: Millis) {
        self.capacity.record_first_response(duration);
    }

    /// Records that the capacity has grown.
    pub const fn record_freed(&mut self) {
        self.changes += 1;
        self.tries_left = MAX_FAILED_TRIES;
    }

    /// Whether a new request may try to use the capacity before it is queued: all
    /// requests that go before it have tried in vain.
    pub fn may_try(&self, request: &PoolRequest, now: Tick) -> bool {
        let order = self.order_of_new(request, now);
        let untried = self.waiting.iter().filter(|waiting| waiting.tried < self.changes);
        untried.map(|waiting| waiting.order(now)).all(|waiting| order < waiting)
    }

    /// Decides on a request that finds no capacity, or may not try yet.
    pub fn offer(
        &mut self,
        request: PoolRequest,
        item: T,
        load: &PoolLoad,
        now: Tick,
    ) -> PoolDecision<T> {
        let until = match self.wait_until(&request, load, now) {
            Ok(until) => until,
            Err(reason) => return PoolDecision::Refused(reason),
        };
        let displaced = match self.make_room(&request, now) {
            Ok(displaced) => displaced,
            Err(reason) => return PoolDecision::Refused(reason),
        };
        let tried = if self.may_try(&request, now) { self.changes } else { 0 };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let latest_start = request.latest_start(self.capacity.first_response());
        self.waiting.push(Waiting { ticket, request, latest_start, tried, item });
        if tried == 0 {
            self.tries_left = self.tries_left.max(1);
        }
        PoolDecision::Queued { ticket: QueueTicket(ticket), until, displaced }
    }

    /// The next request that should try to use the capacity, if the capacity has
    /// grown since it tried and no other one is trying.
    pub fn next_ready(&mut self, now: Tick) -> Option<&T> {
        if self.trying.is_some() || self.tries_left == 0 {
            return None;
        }
        let untried = self.waiting.iter().filter(|waiting| waiting.tried < self.changes);
        let next = untried.min_by_key(|waiting| waiting.order(now))?;
        self.trying = Some(QueueTicket(next.ticket));
        Some(&next.item)
    }

    /// Records whether a waiting request has found capacity. One that has leaves
    /// the queue.
    pub fn record_try(&mut self, ticket: QueueTicket, found: bool) {
        if found {
            self.leave(ticket);
            self.tries_left = MAX_FAILED_TRIES;
            return;
        }
        self.end_try(ticket);
        self.tries_left = self.tries_left.saturating_sub(1);
        if let Some(waiting) = self.waiting.iter_mut().find(|waiting| waiting.ticket == ticket.0) {
            waiting.tried = self.changes;
        }
    }

    /// Removes a request from the queue. Returns `None` if it does not wait any more.
    pub fn leave(&mut self, ticket: QueueTicket) -> Option<T> {
        self.end_try(ticket);
        let at = self.waiting.iter().position(|waiting| waiting.ticket == ticket.0)?;
        Some(self.waiting.swap_remove(at).item)
    }

    /// Whether a request still waits.
    pub fn is_waiting(&self, ticket: QueueTicket) -> bool {
        self.waiting.iter().any(|waiting| waiting.ticket == ticket.0)
    }

    /// Expected time until a new request finds capacity; `None` if nothing is
    /// known. Each entry is assumed to have as many requests waiting, and as many
    /// callers returning meanwhile, as go before this one here.
    pub fn expected_wait(
        &self,
        request: &PoolRequest,
        load: &PoolLoad,
        now: Tick,
    ) -> Option<Millis> {
        let order = self.order_of_new(request, now);
        let ahead = self.waiting.iter().filter(|waiting| waiting.order(now) < order).count();
        let entries = f64::from(load.entries.max(1));
        let wait_behind =
            |ahead: usize| self.capacity.time_until(ahead as f64 * entries + 1.0, load, now);
        let wait = wait_behind(ahead)?;
        if request.begun {
            return Some(wait);
        }
        wait_behind(ahead + self.promises.due_by(now.after(wait), now))
    }

    /// Time after which a refused caller should return: when a slot is expected for
    /// it behind the requests that wait and the callers that were told to return
    /// before it. `None` if nothing is known.
    ///
    /// Handles overload: the slots expected in each interval of 100 ms are promised one
    /// by one, so that returning callers do not compete with each other. An entry
    /// promises one of as many slots as there are entries, so that all together promise
    /// no more slots than become free. A caller that is refused again before it is due
    /// takes no further slot from others.
    pub fn promise(
        &mut self,
        caller: Fingerprint,
        request: &PoolRequest,
        load: &PoolLoad,
        now: Tick,
        rng: &mut impl Rng,
    ) -> Option<Millis> {
        if self.capacity.is_rate_unknown(load) {
            return None;
        }
        let ahead = self.waiting.len() + self.promises.slots_ahead(caller, now);
        let slots = (ahead + 1) as f64 * f64::from(load.entries.max(1));
        let wait = self.capacity.time_until(slots, load, now)?;
        let max_wait = Millis(request.deadline.since(now).0 / RETRY_TIME_DIVISOR);
        Some(self.promises.add(caller, wait, max_wait, now, rng))
    }

    /// Whether a caller returns when it was told to: no earlier, and within two
    /// intervals. Its promise ends unless it is not due yet.
    pub fn redeem_promise(&mut self, caller: Fingerprint, returned: Tick) -> CallerReturn {
        self.promises.redeem(caller, returned)
    }

    /// Number of callers that have been told to return.
    pub fn told_to_return(&mut self, now: Tick) -> usize {
        self.promises.len(now)
    }

    /// Takes back the promise to a caller that has found capacity.
    pub fn forget_promise(&mut self, caller: Fingerprint) {
        if !self.promises.is_empty() {
            self.promises.remove(caller);
        }
    }

    /// How long a request may wait, or why it may not.
    fn wait_until(
        &self,
        request: &PoolRequest,
        load: &PoolLoad,
        now: Tick,
    ) -> Result<Tick, RefusalReason> {
        if request.begun {
            return Ok(request.deadline);
        }
        let usual = request.arrived.after(max_capacity_wait(request.target)).min(request.deadline);
        let latest_start = request.latest_start(self.capacity.first_response());
        let Some(wait) = self.expected_wait(request, load, now) else { return Ok(usual) };
        // If the shortage is not one of slots, their rate tells nothing. While capacity
        // that has just grown is being offered, there may be enough for this request.
        let is_scarce =
            self.trying.is_none() && !load.is_half_free() && !self.capacity.is_rate_unknown(load);
        let in_time = now.after(wait) <= latest_start;
        match request.returned {
            CallerReturn::AsTold => Ok(latest_start.max(usual)),
            CallerReturn::Early if is_scarce => Err(RefusalReason::NotDue),
            _ if in_time => Ok(latest_start.max(usual)),
            _ if is_scarce => Err(RefusalReason::TooLate),
            _ => Ok(usual),
        }
    }

    /// Makes room for a request in a full queue by removing the last one.
    fn make_room(&mut self, request: &PoolRequest, now: Tick) -> Result<Option<T>, RefusalReason> {
        if self.waiting.len() < MAX_WAITING {
            return Ok(None);
        }
        let order = self.order_of_new(request, now);
        let last = self.waiting.iter().max_by_key(|waiting| waiting.order(now));
        let last = last.filter(|last| order < last.order(now)).map(|last| last.ticket);
        let last = last.ok_or(RefusalReason::QueueFull)?;
        Ok(self.leave(QueueTicket(last)))
    }

    fn order_of_new(&self, request: &PoolRequest, now: Tick) -> QueueOrder {
        let latest_start = request.latest_start(self.capacity.first_response());
        request.order(latest_start, self.next_ticket, now)
    }

    fn end_try(&mut self, ticket: QueueTicket) {
        self.trying.take_if(|trying| *trying == ticket);
    }
}
