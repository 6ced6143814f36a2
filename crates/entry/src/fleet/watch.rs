//! Keeps the view of the fleet fresh.

use std::rc::Rc;

use clementine_objects::Millis;
use clementine_stores::InstanceList;
use rand::RngExt;
use spdlog::{debug, info};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::Member;
use crate::entry::Entry;

impl Entry {
    /// Reads the instance list for ever.
    pub(crate) async fn watch_instances(self: Rc<Self>) {
        loop {
            match self.instances.list().await {
                Ok(list) => {
                    for member in self.fleet.update_instances(&list) {
                        info!("fleet: {} joined pool {}", member.address(), member.pool);
                        spawn_local(Rc::clone(&self).watch_member(member));
                    }
                }
                Err(error) => debug!("fleet: the instance list can't be read: {}", error),
            }
            sleep(with_jitter(self.settings.list_pause).duration()).await;
        }
    }

    /// Asks an agent to describe itself until the member is dropped.
    async fn watch_member(self: Rc<Self>, member: Rc<Member>) {
        while !member.is_removed() {
            self.refresh_status(&member).await;
            let pause = with_jitter(self.settings.describe_pause).duration();
            // A new revision is passed on at once.
            let _ = timeout(pause, self.config_changed.notified()).await;
        }
    }

    async fn refresh_status(&self, member: &Member) {
        let sent = Instant::now();
        let call =
            member.link.call(Millis(0), |client, cx| async move { client.describe(cx).await });
        match call.await {
            Ok(description) => {
                member.link.record_round_trip(sent);
                member.record_description(&description);
                self.sync_config(member, description.status.revision).await;
            }
            Err(_) => member.record_failure(self.clock.now()),
        }
    }
}

/// A pause between three quarters and five quarters of its length.
pub(crate) fn with_jitter(pause: Millis) -> Millis {
    Millis(rand::rng().random_range(pause.0 * 3 / 4..=pause.0 * 5 / 4))
}
