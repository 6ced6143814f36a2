//! Bandwidth usage of the links between failure domains.

use std::collections::HashMap;

use clementine_objects::Millis;

use super::Backlog;
use crate::ids::{DomainId, Tick};

/// Time constant of the moving average of a link's usage.
const TIME_CONSTANT: Millis = Millis(1_000);

/// An undirected link between two failure domains.
///
/// Invariant: the two domains are in ascending order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Link(DomainId, DomainId);

impl Link {
    /// The two failure domains in ascending order.
    pub const fn domains(&self) -> (&DomainId, &DomainId) {
        (&self.0, &self.1)
    }

    /// The link between two failure domains, which may be given in any order.
    pub fn between(a: &DomainId, b: &DomainId) -> Self {
        if a <= b { Self(a.clone(), b.clone()) } else { Self(b.clone(), a.clone()) }
    }
}

/// Exponential moving average of the data rate on a link.
#[derive(Debug, Clone, Copy, Default)]
struct AverageRate {
    bytes_per_ms: f64,
    updated_at: Tick,
}

impl AverageRate {
    fn at(&self, now: Tick) -> f64 {
        let elapsed = now.since(self.updated_at).0 as f64 / TIME_CONSTANT.0 as f64;
        self.bytes_per_ms * (-elapsed).exp()
    }

    fn add(&mut self, bytes: f64, now: Tick) {
        self.bytes_per_ms = self.at(now) + bytes / TIME_CONSTANT.0 as f64;
        self.updated_at = now;
    }
}

/// Usage of the links by this entry and, as last reported, by other entries.
#[derive(Debug, Default)]
pub struct LinkUsage {
    local: HashMap<Link, AverageRate>,
    remote: HashMap<Link, f64>,
    /// Contexts of repairs that are being transferred. At most one entry per link.
    repairs: HashMap<Link, Backlog>,
}

impl LinkUsage {
    /// Adds repairs whose contexts occupy the link for this time, in ms.
    pub fn add_repair(&mut self, link: &Link, transfer_ms: f64, now: Tick) {
        self.repairs.entry(link.clone()).or_default().add(transfer_ms, now);
    }

    /// Time in ms until the contexts of the repairs so far are transferred.
    pub fn repair_backlog_ms(&self, link: &Link, now: Tick) -> f64 {
        self.repairs.get(link).map_or(0.0, |backlog| backlog.at(now))
    }

    /// Adds a transfer that starts now.
    pub fn add(&mut self, link: Link, bytes: f64, now: Tick) {
        self.local.entry(link).or_default().add(bytes, now);
    }

    /// Replaces the usage by other entries, in bytes per ms.
    pub fn set_remote(&mut self, remote: HashMap<Link, f64>) {
        self.remote = remote;
    }

    /// Usage of each link by this entry, in bytes per ms.
    pub fn local(&self, now: Tick) -> impl Iterator<Item = (&Link, f64)> {
        self.local.iter().map(move |(link, rate)| (link, rate.at(now)))
    }

    /// Usage of a link by all entries, in bytes per ms.
    pub fn total(&self, link: &Link, now: Tick) -> f64 {
        let local = self.local.get(link).map_or(0.0, |rate| rate.at(now));
        local + self.remote.get(link).copied().unwrap_or(0.0)
    }
}
