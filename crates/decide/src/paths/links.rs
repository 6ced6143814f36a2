//! Use of the links between failure domains.

use std::collections::HashMap;

use clementine_objects::Millis;

use crate::ids::{DomainId, Tick};

/// Time over which the use of a link is averaged.
const WINDOW: Millis = Millis(1_000);

/// The link between two failure domains, whichever way it is passed.
///
/// Invariant: the first domain is not after the second.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Link(DomainId, DomainId);

impl Link {
    /// The two failure domains.
    pub const fn domains(&self) -> (&DomainId, &DomainId) {
        (&self.0, &self.1)
    }

    /// The link between two failure domains.
    pub fn between(a: &DomainId, b: &DomainId) -> Self {
        if a <= b { Self(a.clone(), b.clone()) } else { Self(b.clone(), a.clone()) }
    }
}

/// Bytes on one link, averaged over [`WINDOW`] with falling weights.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    bytes_per_ms: f64,
    at: Tick,
}

impl Average {
    fn now(&self, now: Tick) -> f64 {
        let passed = now.since(self.at).0 as f64 / WINDOW.0 as f64;
        self.bytes_per_ms * (-passed).exp()
    }

    fn add(&mut self, bytes: f64, now: Tick) {
        self.bytes_per_ms = self.now(now) + bytes / WINDOW.0 as f64;
        self.at = now;
    }
}

/// Use of the links by this entry and, as far as they said, by the others.
#[derive(Debug, Default)]
pub struct LinkUsage {
    own: HashMap<Link, Average>,
    others: HashMap<Link, f64>,
}

impl LinkUsage {
    /// Notes bytes that pass a link from now on.
    pub fn add(&mut self, link: Link, bytes: f64, now: Tick) {
        self.own.entry(link).or_default().add(bytes, now);
    }

    /// Takes in the use by all other entries, in bytes per ms.
    pub fn set_remote(&mut self, others: HashMap<Link, f64>) {
        self.others = others;
    }

    /// Use by this entry, in bytes per ms.
    pub fn local(&self, now: Tick) -> impl Iterator<Item = (&Link, f64)> {
        self.own.iter().map(move |(link, average)| (link, average.now(now)))
    }

    /// Use of a link by all entries, in bytes per ms.
    pub fn total(&self, link: &Link, now: Tick) -> f64 {
        let own = self.own.get(link).map_or(0.0, |average| average.now(now));
        own + self.others.get(link).copied().unwrap_or(0.0)
    }
}
