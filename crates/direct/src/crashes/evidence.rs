//! What tells whether the backend server of a lost run has crashed.

use clementine_decide::fleet::ProbeResult;
use clementine_decide::ids::Tick;
use clementine_decide::quarantine::{Listing, LossKind, LossVerdict, judge_loss};
use clementine_http1::ConnectError;

use super::run::Run;
use crate::engines::connect_to_engine;
use crate::shared::SharedState;

/// Number of attempts to connect, since a packet may be lost.
const MAX_CONNECT_ATTEMPTS: usize = 2;

/// Judges the loss of a run at `lost_at`.
pub(super) async fn judge(
    shared: &SharedState,
    run: &Run,
    loss: LossKind,
    lost_at: Tick,
) -> LossVerdict {
    let before = listing(shared, run, loss, lost_at);
    let is_settled = match before {
        Listing::Draining | Listing::Replaced => true,
        Listing::Responding => loss == LossKind::NoResponse,
        Listing::Listed | Listing::Unlisted => false,
    };
    if is_settled {
        return judge_loss(loss, before, ProbeResult::TimedOut);
    }
    let probe = probe(shared, run, lost_at).await;
    // The list may have changed meanwhile.
    judge_loss(loss, listing(shared, run, loss, lost_at), probe)
}

/// How the server of a lost run is listed now.
pub(super) fn listing(shared: &SharedState, run: &Run, loss: LossKind, lost_at: Tick) -> Listing {
    let since = match loss {
        LossKind::BrokenOff => lost_at,
        LossKind::NoResponse => run.sent_at,
    };
    match shared.fleet.borrow().get(&run.backend) {
        None => Listing::Unlisted,
        Some(member) if member.incarnation != run.server => Listing::Replaced,
        Some(member) if member.is_draining() => Listing::Draining,
        Some(member) if member.last_seen > since => Listing::Responding,
        Some(_) => Listing::Listed,
    }
}

/// Connects to the server, unless another task has done so since the run was lost.
pub(super) async fn probe(shared: &SharedState, run: &Run, lost_at: Tick) -> ProbeResult {
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        match shared.fleet.borrow().get(&run.backend) {
            Some(member) if member.refused_connection_since(lost_at) => {
                return ProbeResult::Refused;
            }
            Some(member) if member.connected_since(lost_at) => return ProbeResult::Connected,
            _ => {}
        }
        match connect_to_engine(shared, &run.backend, run.address).await {
            Ok(_) => return ProbeResult::Connected,
            Err(ConnectError::Refused { .. }) => return ProbeResult::Refused,
            Err(ConnectError::TimedOut) => {}
        }
    }
    ProbeResult::TimedOut
}
