//! Retry budget over a sliding window.

use std::collections::VecDeque;

use clementine_objects::Millis;

use crate::ids::Tick;

/// Number of buckets into which a window is divided.
const BUCKETS: u64 = 20;

/// Settings of a [`WindowBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowLimits {
    /// Length of the window.
    pub window: Millis,
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Retries allowed in addition, independent of the number of requests.
    pub slack: f64,
}

/// What a [`WindowBudget`] has counted in the current window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowUsage {
    /// Requests of callers.
    pub requests: u32,
    /// Retries taken.
    pub retries: u32,
    /// Retries that the budget allows.
    pub allowed: f64,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// A budget that limits the retries in every window to a ratio of the requests
/// in the window plus a fixed slack. Unused retries do not accumulate.
///
/// Invariant: the buckets are ordered by index and none is older than a window.
#[derive(Debug)]
pub struct WindowBudget {
    limits: WindowLimits,
    buckets: VecDeque<Bucket>,
}

impl WindowBudget {
    /// Creates an unused budget.
    pub const fn new(limits: WindowLimits) -> Self {
        Self { limits, buckets: VecDeque::new() }
    }

    /// Changes the settings, such as when more processes share the budget. What has been
    /// counted stays in the window, also if its length changes.
    pub fn set_limits(&mut self, limits: WindowLimits) {
        let (old, new) = (self.bucket_width(), bucket_width(&limits));
        self.limits = limits;
        if old == new {
            return;
        }
        for bucket in std::mem::take(&mut self.buckets) {
            let index = (bucket.index * old + old - 1) / new;
            match self.buckets.back_mut() {
                Some(last) if last.index == index => {
                    last.requests += bucket.requests;
                    last.retries += bucket.retries;
                }
                _ => self.buckets.push_back(Bucket { index, ..bucket }),
            }
        }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Tick) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes a retry if at least `reserved_share` of the window's budget remains
    /// afterwards.
    pub fn try_retry(&mut self, reserved_share: f64, now: Tick) -> bool {
        let usage = self.usage(now);
        let allowed = f64::from(usage.retries + 1) <= usage.allowed * (1.0 - reserved_share);
        if allowed {
            self.current_bucket(now).retries += 1;
        }
        allowed
    }

    /// Moves a retry that was taken at `taken_at` to the present.
    pub fn move_retry(&mut self, taken_at: Tick, now: Tick) {
        self.current_bucket(now).retries += 1;
        let index = self.bucket_index(taken_at);
        let taken = self.buckets.iter_mut().find(|bucket| bucket.index == index);
        if let Some(bucket) = taken {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    /// What has been counted in the window that ends now.
    pub fn usage(&mut self, now: Tick) -> WindowUsage {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = self.limits.slack + self.limits.ratio * f64::from(requests);
        WindowUsage { requests, retries, allowed }
    }

    /// Drops the buckets that have left the window and returns the current one.
    fn current_bucket(&mut self, now: Tick) -> &mut Bucket {
        let index = self.bucket_index(now);
        while self.buckets.front().is_some_and(|bucket| bucket.index + BUCKETS < index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn bucket_index(&self, at: Tick) -> u64 {
        at.0 / self.bucket_width()
    }

    /// Length of a bucket in ms.
    fn bucket_width(&self) -> u64 {
        bucket_width(&self.limits)
    }
}

fn bucket_width(limits: &WindowLimits) -> u64 {
    (limits.window.0 / BUCKETS).max(1)
}
