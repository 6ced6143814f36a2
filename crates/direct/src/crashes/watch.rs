//! What becomes of the backend server of a lost run in the seconds after.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::Tick;
use clementine_decide::quarantine::{CrashEvidence, Listing, LossKind, LossVerdict, SILENCE_TTL};
use clementine_objects::Millis;
use spdlog::info;
use tokio::time::sleep;

use super::evidence::listing;
use super::quarantine::record_crash;
use super::run::Run;
use crate::shared::SharedState;

/// Interval at which the list of servers is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which a server that has just started writes its row.
const ROW_UPDATE_TIME: Millis = Millis(3_000);

/// Watches how the server of a lost run is listed, as long as the verdict may change.
pub(super) async fn watch_lost(
    shared: Rc<SharedState>,
    run: Run,
    loss: LossKind,
    verdict: LossVerdict,
    lost_at: Tick,
) {
    let duration = match verdict {
        LossVerdict::Undecided => ROW_UPDATE_TIME,
        LossVerdict::Crashed(CrashEvidence::Silent) => SILENCE_TTL,
        LossVerdict::Crashed(_) | LossVerdict::NotCrashed => return,
    };
    while shared.now().since(lost_at) < duration {
        sleep(POLL_INTERVAL).await;
        match (listing(&shared, &run, loss, lost_at), verdict) {
            (Listing::Replaced, _) => return record_crash(&shared, &run, CrashEvidence::Certain),
            // Its row expired: it has been silent towards the store as well.
            (Listing::Unlisted, LossVerdict::Crashed(_)) => {
                return record_crash(&shared, &run, CrashEvidence::Gone);
            }
            (Listing::Draining | Listing::Responding, LossVerdict::Crashed(_)) => {
                info!("crashes: request={} backend={} has not crashed", run.request, run.backend);
                let mut crash_log = shared.crash_log.borrow_mut();
                return crash_log.withdraw_crash(&run.suspects, run.server);
            }
            (Listing::Draining | Listing::Unlisted, _) => return,
            (Listing::Listed | Listing::Responding, _) => {}
        }
    }
}
