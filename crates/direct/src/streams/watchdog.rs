//! Watches the engines of one run.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::BackendId;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::route::StreamRoute;
use crate::engines::inspect_run;
use crate::hub::{Hub, Job};

/// Silence before the first event after which the run is inspected.
const FIRST_QUIET: Duration = Duration::from_millis(350);
/// Silence between two events after which the run is inspected.
const NEXT_QUIET: Duration = Duration::from_millis(160);

/// When something last came of a run.
#[derive(Debug)]
pub(super) struct Pulse {
    last: Cell<Instant>,
    quiet: Cell<Duration>,
}

impl Pulse {
    pub(super) fn start() -> Self {
        Self { last: Cell::new(Instant::now()), quiet: Cell::new(FIRST_QUIET) }
    }

    /// Notes an event.
    pub(super) fn beat(&self) {
        self.last.set(Instant::now());
        self.quiet.set(NEXT_QUIET);
    }

    fn due(&self) -> Instant {
        self.last.get() + self.quiet.get()
    }
}

/// Waits until an engine of a run is down, and gives that engine. Has the run
/// inspected whenever nothing has come of it for some time.
pub(super) async fn watch(
    hub: &Rc<Hub>,
    job: &Job,
    route: &StreamRoute,
    pulse: &Pulse,
) -> BackendId {
    let mut wake_at = pulse.due();
    loop {
        if let Some(lost) = lost_engine(hub, route) {
            return lost;
        }
        tokio::select! {
            () = hub.losses.notified() => {}
            () = sleep_until(wake_at) => {
                if pulse.due() <= Instant::now() {
                    let request = job.req.id.to_string();
                    spawn_local(inspect_run(Rc::clone(hub), route.first.clone(), request));
                    wake_at = Instant::now() + pulse.quiet.get();
                } else {
                    wake_at = pulse.due();
                }
            }
        }
    }
}

fn lost_engine(hub: &Hub, route: &StreamRoute) -> Option<BackendId> {
    let fleet = hub.fleet.borrow();
    let legs = route.path.iter().map(|leg| &leg.id).chain([&route.first]);
    let mut lost = legs.filter(|id| fleet.get(id).is_some_and(clementine_decide::fleet::Member::is_down));
    lost.next().cloned()
}
