//! Polls the instance list and the status of agents.

use std::rc::Rc;

use clementine_objects::Millis;
use clementine_stores::{InstanceList, InstanceState};
use rand::RngExt;
use spdlog::{debug, info};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::Member;
use crate::entry::Entry;

impl Entry {
    /// Polls the instance list indefinitely, and watches each added member.
    pub(crate) async fn watch_instances(self: Rc<Self>) {
        loop {
            match self.instances.list().await {
                Ok(list) => {
                    let live = list.iter().filter(|listed| listed.state == InstanceState::Live);
                    self.limit_boards.update(live.map(|listed| listed.address));
                    for member in self.fleet.update_instances(&list) {
                        info!("fleet: added {} of pool {}", member.address(), member.pool);
                        spawn_local(Rc::clone(&self).watch_member(member));
                    }
                }
                Err(error) => debug!("fleet: failed to read the instance list: {}", error),
            }
            sleep(with_jitter(self.settings.list_poll_interval).duration()).await;
        }
    }

    /// Polls an agent's status until the member is removed.
    async fn watch_member(self: Rc<Self>, member: Rc<Member>) {
        while !member.is_removed() {
            self.refresh_status(&member).await;
            let interval = with_jitter(self.settings.status_poll_interval).duration();
            // A new configuration revision is sent to the agent immediately.
            let _ = timeout(interval, self.config_changed.notified()).await;
        }
    }

    async fn refresh_status(&self, member: &Member) {
        let sent_at = Instant::now();
        let call =
            member.link.call(Millis(0), |client, cx| async move { client.describe(cx).await });
        match call.await {
            Ok(description) => {
                member.link.record_round_trip(sent_at);
                member.record_description(&description);
                self.sync_config(member, description.status.revision).await;
            }
            Err(_) => member.record_failure(self.clock.now()),
        }
    }
}

/// Returns a random duration between 75% and 125% of `interval`, so that processes
/// do not poll in step.
pub(crate) fn with_jitter(interval: Millis) -> Millis {
    Millis(rand::rng().random_range(interval.0 * 3 / 4..=interval.0 * 5 / 4))
}
