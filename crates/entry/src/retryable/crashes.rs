//! What this entry knows of requests that crash backend servers, and how it
//! tells the agents.

use clementine_decide::quarantine::{Fingerprint, QuarantineLimits};
use clementine_objects::{Millis, PoolName};
use futures::future::join_all;
use spdlog::warn;

use crate::entry::Entry;

/// Rounds of telling: a second one when an agent knows of more crashes.
const MAX_BROADCASTS: u32 = 2;

impl Entry {
    /// Backend servers that a request has crashed.
    pub(crate) fn known_crashes(&self, request: Fingerprint) -> u32 {
        self.quarantine.borrow().crashes(request, self.clock.now())
    }

    /// Whether a request is to be refused.
    pub(crate) fn is_quarantined(&self, request: Fingerprint) -> bool {
        self.quarantine.borrow().is_quarantined(request, self.clock.now())
    }

    /// Notes that an agent has refused a request as quarantined.
    pub(crate) fn record_quarantine(&self, request: Fingerprint) {
        let crashes = QuarantineLimits::default().crashes;
        self.quarantine.borrow_mut().merge_crashes(request, crashes, self.clock.now());
    }

    /// Notes a crash and tells the agents of the pools, so that the request is
    /// stopped wherever it is sent again. Agents that do not answer at once
    /// are not waited for.
    pub(crate) async fn broadcast_crash(&self, request: Fingerprint, pools: &[PoolName]) {
        self.quarantine.borrow_mut().record_crash(request, self.clock.now());
        for _ in 0..MAX_BROADCASTS {
            let sent = self.known_crashes(request);
            let known = self.send_crash_count(request, sent, pools).await;
            self.quarantine.borrow_mut().merge_crashes(request, known, self.clock.now());
            if known <= sent {
                break;
            }
        }
        let crashes = self.known_crashes(request);
        warn!("quarantine: request {} has crashed {} backend servers", request, crashes);
    }

    /// Tells the agents of the pools and returns the most that one knows of.
    async fn send_crash_count(
        &self,
        request: Fingerprint,
        crashes: u32,
        pools: &[PoolName],
    ) -> u32 {
        let members = self.fleet.members();
        let members = members.iter().filter(|member| pools.contains(&member.pool));
        let calls = members.map(|member| {
            member.link.call(Millis(0), |client, cx| async move {
                client.note_crashes(cx, request, crashes).await
            })
        });
        join_all(calls).await.into_iter().flatten().max().unwrap_or(0)
    }
}
