//! Counts of backend servers that a request has crashed, shared with the agents.

use clementine_decide::quarantine::{Fingerprint, QuarantineLimits};
use clementine_objects::{Millis, PoolName};
use futures::future::join_all;
use spdlog::warn;

use crate::entry::Entry;

/// Maximum number of broadcasts: the second is sent if an agent knows of more
/// crashes than the first reported.
const MAX_BROADCASTS: u32 = 2;

impl Entry {
    /// Returns the number of backend servers that a request has crashed.
    pub(crate) fn known_crashes(&self, fingerprint: Fingerprint) -> u32 {
        self.quarantine.borrow().crashes(fingerprint, self.clock.now())
    }

    /// Returns whether a request is quarantined and must be refused.
    pub(crate) fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.borrow().is_quarantined(fingerprint, self.clock.now())
    }

    /// Records that an agent refused a request as quarantined.
    pub(crate) fn record_quarantine(&self, fingerprint: Fingerprint) {
        let crashes = QuarantineLimits::default().crashes;
        self.quarantine.borrow_mut().merge_crashes(fingerprint, crashes, self.clock.now());
    }

    /// Records a crash and reports it to the agents of the pools, so that the
    /// request is refused wherever it is sent again. Does not wait for agents that
    /// do not respond promptly.
    pub(crate) async fn broadcast_crash(&self, fingerprint: Fingerprint, pools: &[PoolName]) {
        self.quarantine.borrow_mut().record_crash(fingerprint, self.clock.now());
        for _ in 0..MAX_BROADCASTS {
            let sent = self.known_crashes(fingerprint);
            let known = self.send_crash_count(fingerprint, sent, pools).await;
            self.quarantine.borrow_mut().merge_crashes(fingerprint, known, self.clock.now());
            if known <= sent {
                break;
            }
        }
        let crashes = self.known_crashes(fingerprint);
        warn!(
            "quarantine: request with fingerprint {} has crashed {} backend servers",
            fingerprint, crashes
        );
    }

    /// Sends the crash count to the agents of the pools and returns the highest
    /// count that one of them knows.
    async fn send_crash_count(
        &self,
        fingerprint: Fingerprint,
        crashes: u32,
        pools: &[PoolName],
    ) -> u32 {
        let members = self.fleet.members();
        let members = members.iter().filter(|member| pools.contains(&member.pool));
        let calls = members.map(|member| {
            member.link.call(Millis(0), |client, cx| async move {
                client.note_crashes(cx, fingerprint, crashes).await
            })
        });
        join_all(calls).await.into_iter().flatten().max().unwrap_or(0)
    }
}
