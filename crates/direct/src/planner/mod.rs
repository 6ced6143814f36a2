//! Has the engines hold the layers of the model. One process at a time plans.

mod lease;
mod orders;

use std::rc::Rc;
use std::time::Duration;

pub(crate) use lease::hold_lease;
use orders::Orders;
use tokio::time::sleep;

use crate::shared::SharedState;

/// Pause between two looks at the plan.
const PLAN_PAUSE: Duration = Duration::from_millis(200);

/// Plans whenever this process holds the lease, until it is to stop.
pub(crate) async fn plan_while_holder(shared: Rc<SharedState>) {
    let mut orders = Orders::new(Rc::clone(&shared));
    while !shared.drain.is_draining() {
        let term = shared.lease.borrow().term(shared.now());
        if let Some(term) = term {
            orders.step(term);
        }
        sleep(PLAN_PAUSE).await;
    }
}
