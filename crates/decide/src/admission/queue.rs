//! The admission queue of one backend server.

use std::collections::BTreeMap;

use clementine_objects::Millis;

use super::{AdmissionDecision, Refusal, ServiceTime};
use crate::ids::{Tick, WorkId};

/// Head start that one priority level has over the next.
const LEVEL_HEAD_START: Millis = Millis(2_000);

/// Bounds of an admission queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Pieces of work that run at a time, at least 1.
    pub slots: usize,
    /// Pieces of work that wait at a time.
    pub queue: usize,
}

/// How urgent a piece of work is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Priority level from 0 (first) to 9 (last).
    pub level: u8,
    /// Time by which the answer has to be there.
    pub deadline: Tick,
}

/// Place in the queue: earliest effective deadline first, then order of
/// arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    effective_deadline: Tick,
    arrival: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    work: WorkId,
    deadline: Tick,
    item: T,
}

/// Admission to one backend server.
///
/// Work waits in the order of its deadline, each priority level having a head
/// start over the next, so that a lower level waits longer but never for
/// ever.
///
/// Invariants: work waits only while `running >= slots`; at most
/// `limits.queue` pieces wait.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    limits: AdmissionLimits,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<Place, Waiting<T>>,
    service_time: ServiceTime,
}

impl<T> AdmissionQueue<T> {
    /// An idle queue.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
            service_time: ServiceTime::default(),
        }
    }

    /// Pieces of work that run.
    pub const fn running(&self) -> usize {
        self.running
    }

    /// Pieces of work that may run at a time.
    pub const fn slots(&self) -> usize {
        self.limits.slots
    }

    /// Pieces of work that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Mean time that a piece of work takes.
    pub fn service_time(&self) -> Millis {
        self.service_time.mean()
    }

    /// Changes the bounds and returns the work that may start now.
    pub fn set_limits(&mut self, limits: AdmissionLimits) -> Vec<T> {
        self.limits = limits;
        self.start_waiting()
    }

    /// Offers work to the queue.
    pub fn offer(
        &mut self,
        work: WorkId,
        item: T,
        urgency: Urgency,
        now: Tick,
    ) -> AdmissionDecision<T> {
        if self.running < self.limits.slots {
            self.running += 1;
            return AdmissionDecision::Start(item);
        }
        let wait = self.expected_wait();
        let in_time = now.after(wait).after(self.service_time()) <= urgency.deadline;
        if self.waiting.len() >= self.limits.queue || !in_time {
            return AdmissionDecision::Refused(Refusal { item, retry_after: wait.max(Millis(1)) });
        }
        let head_start = Millis(LEVEL_HEAD_START.0 * u64::from(urgency.level));
        let place = Place {
            effective_deadline: urgency.deadline.after(head_start),
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        self.waiting.insert(place, Waiting { work, deadline: urgency.deadline, item });
        AdmissionDecision::Queued
    }

    /// Frees the slot of a finished piece of work and returns the work that
    /// may start now.
    pub fn finish(&mut self, took: Millis) -> Vec<T> {
        self.running = self.running.saturating_sub(1);
        self.service_time.observe(took);
        self.start_waiting()
    }

    /// Frees the slot of a piece of work that gave no measure of its time.
    pub fn release(&mut self) -> Vec<T> {
        self.running = self.running.saturating_sub(1);
        self.start_waiting()
    }

    /// Removes the waiting work whose deadline has passed.
    pub fn take_expired(&mut self, now: Tick) -> Vec<T> {
        self.extract(|waiting| waiting.deadline <= now)
    }

    /// Removes one piece of waiting work.
    pub fn remove(&mut self, work: WorkId) -> Option<T> {
        self.extract(|waiting| waiting.work == work).pop()
    }

    /// Time until a slot is expected for work that joins the queue now.
    pub fn expected_wait(&self) -> Millis {
        let ahead = self.waiting.len() as u64 + 1;
        let slots = self.limits.slots.max(1) as u64;
        Millis(self.service_time().0 * ahead / slots)
    }

    fn extract(&mut self, remove: impl Fn(&Waiting<T>) -> bool) -> Vec<T> {
        self.waiting.extract_if(.., |_, waiting| remove(waiting)).map(|(_, w)| w.item).collect()
    }

    fn start_waiting(&mut self) -> Vec<T> {
        let mut started = Vec::new();
        while self.running < self.limits.slots {
            let Some((_, waiting)) = self.waiting.pop_first() else { break };
            self.running += 1;
            started.push(waiting.item);
        }
        started
    }
}
