//! Finds the failed engine of a stalled run by connecting to its engines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::fleet::{ProbeResult, unreachable_engines};
use clementine_decide::ids::BackendId;
use clementine_http1::{ClientConn, ConnectError};
use futures::future::join_all;
use spdlog::info;
use tokio::task::spawn_local;

use super::calls::fetch_report_on;
use super::diagnose::{record_report, report_down};
use crate::shared::SharedState;

/// Timeout of a connection attempt. Within one region connecting takes a few
/// ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(90);

/// Connects to the engines of a stalled run that have not been active recently,
/// and marks those as down that [`unreachable_engines`] selects. This detects a
/// crash before any engine reports that it is waiting on another.
pub(crate) async fn probe_engines(
    shared: Rc<SharedState>,
    engines: Vec<BackendId>,
    request: String,
) {
    let probes = join_all(engines.into_iter().map(|id| probe(&shared, id))).await;
    let probes: Vec<_> = probes.into_iter().flatten().collect();
    for id in unreachable_engines(&probes) {
        let reason = match probes.iter().find(|(probed, _)| *probed == id) {
            Some((_, ProbeResult::Refused)) => "connection-refused",
            _ => "no-connection",
        };
        info!("engines: request={} silent backend={} found={}", request, id, reason);
        report_down(&shared, &id, reason);
    }
}

/// Connects to an engine. Returns `None` if it is already marked as down or
/// another task is connecting to it.
async fn probe(shared: &Rc<SharedState>, id: BackendId) -> Option<(BackendId, ProbeResult)> {
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
    let connected = connect_to_engine(shared, &id, address).await;
    shared.connection_probes.borrow_mut().remove(&id);
    let result = match connected {
        Ok(conn) => {
            refresh_slowdown(shared, &id, conn);
            ProbeResult::Connected
        }
        Err(ConnectError::Refused { .. }) => ProbeResult::Refused,
        Err(ConnectError::TimedOut) => ProbeResult::TimedOut,
    };
    Some((id, result))
}

/// Connects to a server, and records whether it accepted or refused the connection.
pub(crate) async fn connect_to_engine(
    shared: &SharedState,
    id: &BackendId,
    address: SocketAddr,
) -> Result<ClientConn, ConnectError> {
    let connected = ClientConn::connect(address, CONNECT_TIMEOUT, &shared.codec).await;
    if let Some(member) = shared.fleet.borrow_mut().get_mut(id) {
        match &connected {
            Ok(_) => member.record_connection(shared.now()),
            Err(ConnectError::Refused { .. }) => member.record_refused_connection(shared.now()),
            Err(ConnectError::TimedOut) => {}
        }
    }
    connected
}

/// Fetches a stale slowdown factor again on a new connection, because an engine that
/// accepts connections may be slow rather than down.
fn refresh_slowdown(shared: &Rc<SharedState>, id: &BackendId, conn: ClientConn) {
    let now = shared.now();
    let fleet = shared.fleet.borrow();
    let Some(member) = fleet.get(id) else { return };
    if !member.is_slowdown_stale(now) {
        return;
    }
    let (shared, id) = (Rc::clone(shared), id.clone());
    spawn_local(async move {
        // A missing report has no consequence here: if the engine has failed, the
        // engines that wait on its output report it as stalled.
        if let Ok(report) = fetch_report_on(&shared, conn, &id).await {
            record_report(&shared, &id, &report);
        }
    });
}
