//! Sums of reported loads.

use std::collections::HashMap;

use super::{BackendHash, BackendLoad, LinkLoad, LoadStatus};
use crate::paths::Link;
use crate::shares::ShareTotals;

/// Sum of the loads of several entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadTotals {
    /// Load on each backend server.
    pub backends: HashMap<BackendHash, BackendLoad>,
    /// Traffic on the links between failure domains, in bytes per ms.
    pub links: HashMap<Link, f64>,
    /// Work of workspaces in the pools whose capacity is scarce.
    pub shares: ShareTotals,
}

impl LoadTotals {
    /// Adds a reported load.
    pub fn add(&mut self, status: &LoadStatus) {
        for load in &status.backends {
            let zero = BackendLoad { in_flight: 0, tokens: 0, first_stages: 0, ..*load };
            let total = self.backends.entry(load.backend).or_insert(zero);
            total.in_flight = total.in_flight.saturating_add(load.in_flight);
            total.tokens = total.tokens.saturating_add(load.tokens);
            total.first_stages = total.first_stages.saturating_add(load.first_stages);
        }
        for load in &status.links {
            *self.links.entry(Link::between(&load.a, &load.b)).or_insert(0.0) += load.bytes_per_ms;
        }
        self.shares.add(&status.shares);
    }

    /// The sum as a status to report, with at most `max_backends` backend
    /// servers.
    pub fn into_status(self, max_backends: usize) -> LoadStatus {
        let links = self.links.into_iter().map(|(link, bytes_per_ms)| {
            let (a, b) = link.domains();
            LinkLoad { a: a.clone(), b: b.clone(), bytes_per_ms }
        });
        LoadStatus {
            backends: self.backends.into_values().take(max_backends).collect(),
            links: links.collect(),
            shares: self.shares.into_status(),
        }
    }
}
