//! Retries within a sliding window.

use std::collections::VecDeque;

use clementine_objects::Millis;

use crate::ids::Tick;

/// Parts into which a window is divided.
const PARTS: u64 = 20;

/// Bounds of a [`WindowBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowLimits {
    /// Length of the window.
    pub window: Millis,
    /// Retries that each request of the window allows.
    pub ratio: f64,
    /// Retries that are allowed beside those.
    pub slack: f64,
}

#[derive(Debug, Clone, Copy)]
struct Part {
    number: u64,
    requests: u32,
    retries: u32,
}

/// A budget that holds the retries of every window to a share of the window's
/// requests and a reserve. Retries that are not used do not add up.
///
/// Invariant: the parts are in order and none is older than a window.
#[derive(Debug)]
pub struct WindowBudget {
    limits: WindowLimits,
    parts: VecDeque<Part>,
}

impl WindowBudget {
    /// A budget of which nothing is used.
    pub const fn new(limits: WindowLimits) -> Self {
        Self { limits, parts: VecDeque::new() }
    }

    /// Changes the bounds, such as when the budget is shared by more processes.
    pub const fn set_limits(&mut self, limits: WindowLimits) {
        self.limits = limits;
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Tick) {
        self.part(now).requests += 1;
    }

    /// Takes a retry, if the window then still has a share of what it allows.
    pub fn try_retry(&mut self, keep: f64, now: Tick) -> bool {
        self.part(now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let retries: u32 = self.parts.iter().map(|part| part.retries).sum();
        let allowed = self.limits.slack + self.limits.ratio * f64::from(requests);
        let fits = f64::from(retries + 1) <= allowed * (1.0 - keep);
        if fits {
            self.part(now).retries += 1;
        }
        fits
    }

    /// The part of the present, with the parts that are too old dropped.
    fn part(&mut self, now: Tick) -> &mut Part {
        let number = now.0 / (self.limits.window.0 / PARTS).max(1);
        while self.parts.front().is_some_and(|part| part.number + PARTS < number) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(Part { number, requests: 0, retries: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
