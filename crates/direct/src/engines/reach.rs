//! Connects to the engines of a silent run, to find the one that is down.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::fleet::{ProbeResult, unreachable_engines};
use clementine_decide::ids::BackendId;
use clementine_http1::{ConnectError, Exchange};
use futures::future::join_all;
use spdlog::info;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::calls::{CALL_LIMIT, read_report};
use super::inspect::{mark_down, note_report};
use crate::shared::SharedState;

/// Time for a connection; in one region it takes a few ms.
const CONNECT_LIMIT: Duration = Duration::from_millis(90);

/// Connects to the engines of a silent run that have shown no sign of life, and
/// takes those for down that refuse, or alone don't answer. A crash is found
/// before any engine says that it waits for another.
pub(crate) async fn reach_engines(
    shared: Rc<SharedState>,
    engines: Vec<BackendId>,
    request: String,
) {
    let reached = join_all(engines.into_iter().map(|id| reach(&shared, id))).await;
    let reached: Vec<_> = reached.into_iter().flatten().collect();
    for id in unreachable_engines(&reached) {
        let reason = match reached.iter().find(|(reached, _)| *reached == id) {
            Some((_, ProbeResult::Refused)) => "connection-refused",
            _ => "no-connection",
        };
        info!("engines: request={} silent backend={} found={}", request, id, reason);
        mark_down(&shared, &id, reason);
    }
}

/// Connects to an engine; none if it is down already, or being connected to.
async fn reach(shared: &Rc<SharedState>, id: BackendId) -> Option<(BackendId, ProbeResult)> {
    let address = match shared.fleet.borrow().get(&id)? {
        member if member.is_down() => return None,
        member if member.is_recently_alive(shared.now()) => {
            return Some((id, ProbeResult::Connected));
        }
        member => member.backend.address,
    };
    if !shared.connection_probes.borrow_mut().insert(id.clone()) {
        return None;
    }
    let connected = Exchange::connect(address, CONNECT_LIMIT, &shared.codec).await;
    shared.connection_probes.borrow_mut().remove(&id);
    let reach = match connected {
        Ok(exchange) => {
            note_connected(shared, &id, exchange, address);
            ProbeResult::Connected
        }
        Err(ConnectError::Refused { .. }) => ProbeResult::Refused,
        Err(ConnectError::TimedOut) => ProbeResult::TimedOut,
    };
    Some((id, reach))
}

/// Notes the sign of life. An engine that lives may be slow, and is asked for
/// its pace on the same connection.
fn note_connected(
    shared: &Rc<SharedState>,
    id: &BackendId,
    exchange: Exchange,
    address: SocketAddr,
) {
    let now = shared.now();
    let mut fleet = shared.fleet.borrow_mut();
    let Some(member) = fleet.get_mut(id) else { return };
    member.record_connection(now);
    if !member.is_slowdown_stale(now) {
        return;
    }
    let (shared, id) = (Rc::clone(shared), id.clone());
    spawn_local(async move {
        // One that gives none is found by whoever waits for its work.
        if let Ok(Ok(report)) = timeout(CALL_LIMIT, read_report(exchange, address)).await {
            note_report(&shared, &id, &report);
        }
    });
}
