//! Places the layers of the models on engines. Only the holder of the planner's
//! lease does so.

mod lease;
mod orders;

use std::rc::Rc;
use std::time::Duration;

pub(crate) use lease::maintain_lease;
use orders::OrderDispatcher;
use tokio::time::sleep;

use crate::shared::SharedState;

/// Interval at which the placement is computed.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Computes the placement while this process holds the lease, until it shuts
/// down.
pub(crate) async fn run_planner(shared: Rc<SharedState>) {
    let mut dispatcher = OrderDispatcher::new(Rc::clone(&shared));
    while !shared.drain.is_draining() {
        let fence = shared.lease.borrow().fence(shared.now());
        if let Some(fence) = fence {
            dispatcher.dispatch(fence);
        }
        sleep(PLAN_INTERVAL).await;
    }
}
