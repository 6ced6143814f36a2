//! Has the engines hold the layers of the model. One process at a time plans.

mod lease;
mod orders;

use std::rc::Rc;
use std::time::Duration;

pub(crate) use lease::maintain_lease;
use orders::OrderDispatcher;
use tokio::time::sleep;

use crate::hub::Hub;

/// Pause between two looks at the plan.
const PLAN_PAUSE: Duration = Duration::from_millis(200);

/// Plans whenever this process holds the lease, until it is to stop.
pub(crate) async fn run_planner(hub: Rc<Hub>) {
    let mut dispatcher = OrderDispatcher::new(Rc::clone(&hub));
    while !hub.drain.is_draining() {
        let term = hub.lease.borrow().term(hub.now());
        if let Some(term) = term {
            dispatcher.dispatch(term);
        }
        sleep(PLAN_PAUSE).await;
    }
}
