//! The admission queue of one backend server.

use std::collections::BTreeMap;

use clementine_objects::Millis;

use super::{AdmissionDecision, Refusal, ServiceTime};
use crate::ids::{Tick, WorkId};

/// Added to the deadline in the queue's order for each priority level below
/// the highest.
const DEADLINE_OFFSET_PER_LEVEL: Millis = Millis(2_000);

/// Capacity of an admission queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of work items that run concurrently, at least 1.
    pub slots: usize,
    /// Maximum number of work items that wait.
    pub queue: usize,
}

/// Priority and deadline of a work item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Priority level from 0 (highest) to 9 (lowest).
    pub level: u8,
    /// Time by which the work has to be finished.
    pub deadline: Tick,
}

/// Sort key of the queue: earliest effective deadline first, then order of
/// arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    effective_deadline: Tick,
    arrival: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    work: WorkId,
    deadline: Tick,
    item: T,
}

/// Admission queue of one backend server.
///
/// Work is started by earliest deadline first. Each priority level adds a fixed
/// offset to the deadline, so low-priority work waits longer but does not
/// starve.
///
/// Invariants: work waits only while `running >= slots`; at most
/// `limits.queue` items wait.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    limits: AdmissionLimits,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<QueueKey, Waiting<T>>,
    service_time: ServiceTime,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue with all slots free.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
            service_time: ServiceTime::default(),
        }
    }

    /// Number of running work items.
    pub const fn running(&self) -> usize {
        self.running
    }

    /// Maximum number of work items that run concurrently.
    pub const fn slots(&self) -> usize {
        self.limits.slots
    }

    /// Number of waiting work items.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Mean service time of finished work.
    pub fn service_time(&self) -> Millis {
        self.service_time.mean()
    }

    /// Changes the limits and returns the work to start now.
    pub fn set_limits(&mut self, limits: AdmissionLimits) -> Vec<T> {
        self.limits = limits;
        self.start_waiting()
    }

    /// Starts, queues or refuses a work item.
    ///
    /// Work starts if a slot is free. Otherwise it is refused if the queue is
    /// full or if it is not expected to finish by its deadline.
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
        let offset = Millis(DEADLINE_OFFSET_PER_LEVEL.0 * u64::from(urgency.level));
        let key =
            QueueKey { effective_deadline: urgency.deadline.after(offset), arrival: self.arrivals };
        self.arrivals += 1;
        self.waiting.insert(key, Waiting { work, deadline: urgency.deadline, item });
        AdmissionDecision::Queued
    }

    /// Frees the slot of a finished work item, records its service time and
    /// returns the work to start now.
    pub fn finish(&mut self, duration: Millis) -> Vec<T> {
        self.running = self.running.saturating_sub(1);
        self.service_time.observe(duration);
        self.start_waiting()
    }

    /// Frees a slot without recording a service time and returns the work to
    /// start now.
    pub fn release(&mut self) -> Vec<T> {
        self.running = self.running.saturating_sub(1);
        self.start_waiting()
    }

    /// Removes and returns the waiting work whose deadline has passed.
    pub fn take_expired(&mut self, now: Tick) -> Vec<T> {
        self.extract(|waiting| waiting.deadline <= now)
    }

    /// Removes a waiting work item and returns it.
    pub fn remove(&mut self, work: WorkId) -> Option<T> {
        self.extract(|waiting| waiting.work == work).pop()
    }

    /// Expected time until a slot is free for work that is queued now.
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
