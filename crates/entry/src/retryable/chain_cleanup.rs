//! Releases requests of split models at the agents that may hold state of them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use clementine_decide::ids::WorkId;
use clementine_decide::stage::HeadGeneration;
use clementine_objects::Millis;
use clementine_wire::SplitPlan;
use tokio::task::spawn_local;

use crate::entry::Entry;

/// The agents that may hold state of a request of a split model. Dropping it
/// releases the state there, because only the entry knows when no further head
/// follows.
#[derive(Debug)]
pub(super) struct ChainCleanup {
    entry: Rc<Entry>,
    plan: Option<(WorkId, HeadGeneration)>,
    agents: BTreeSet<SocketAddr>,
}

impl ChainCleanup {
    /// Creates a cleanup with no agents.
    pub(super) const fn new(entry: Rc<Entry>) -> Self {
        Self { entry, plan: None, agents: BTreeSet::new() }
    }

    /// Records the plan sent to a head, and the agents of its stages.
    pub(super) fn record(&mut self, head: SocketAddr, plan: &SplitPlan) {
        self.plan = Some((plan.work, plan.head));
        self.agents.insert(head);
        let targets = plan.stages.iter().flat_map(|stage| &stage.0);
        self.agents.extend(targets.map(|target| target.address));
    }
}

impl Drop for ChainCleanup {
    fn drop(&mut self) {
        let Some((work, head)) = self.plan else { return };
        for member in self.agents.iter().filter_map(|address| self.entry.fleet.member(*address)) {
            spawn_local(async move {
                let close = member.link.call(Millis(0), |client, cx| async move {
                    client.close_stage(cx, work, head).await
                });
                // An unreachable agent discards the state after a timeout.
                let _ = close.await;
            });
        }
    }
}
