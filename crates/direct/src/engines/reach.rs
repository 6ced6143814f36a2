//! Connects to the engines of a silent run, to find the one that is down.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::fleet::{Reach, unreachable};
use clementine_decide::ids::BackendId;
use clementine_http1::{ConnectError, Exchange};
use clementine_objects::Millis;
use futures::future::join_all;
use spdlog::info;

use super::inspect::mark_down;
use crate::hub::Hub;

/// Time for a connection; in one region it takes a few ms.
const CONNECT_LIMIT: Duration = Duration::from_millis(90);
/// Time after a sign of life in which an engine is not connected to.
const ALIVE_FOR: Millis = Millis(60);

/// Connects to the engines of a silent run that have shown no sign of life, and
/// takes those for down that refuse, or alone don't answer. A crash is found
/// before any engine says that it waits for another.
pub(crate) async fn reach_engines(hub: Rc<Hub>, engines: Vec<BackendId>, request: String) {
    let reached = join_all(engines.into_iter().map(|id| reach(&hub, id))).await;
    let reached: Vec<_> = reached.into_iter().flatten().collect();
    for id in unreachable(&reached) {
        let reason = match reached.iter().find(|(reached, _)| *reached == id) {
            Some((_, Reach::Refused)) => "connection-refused",
            _ => "no-connection",
        };
        info!("engines: request={} silent backend={} found={}", request, id, reason);
        mark_down(&hub, &id, reason);
    }
}

/// Connects to an engine; none if it is down already, or being connected to.
async fn reach(hub: &Hub, id: BackendId) -> Option<(BackendId, Reach)> {
    let address = match hub.fleet.borrow().get(&id)? {
        member if member.is_down() => return None,
        member if hub.now().since(member.alive_at) < ALIVE_FOR => {
            return Some((id, Reach::Connected));
        }
        member => member.backend.address,
    };
    if !hub.reaching.borrow_mut().insert(id.clone()) {
        return None;
    }
    let reach = connect(hub, address).await;
    hub.reaching.borrow_mut().remove(&id);
    if reach == Reach::Connected
        && let Some(member) = hub.fleet.borrow_mut().get_mut(&id)
    {
        member.alive_at = hub.now();
    }
    Some((id, reach))
}

async fn connect(hub: &Hub, address: SocketAddr) -> Reach {
    match Exchange::connect(address, CONNECT_LIMIT, &hub.codec).await {
        Ok(_) => Reach::Connected,
        Err(ConnectError::Refused { .. }) => Reach::Refused,
        Err(ConnectError::TimedOut) => Reach::NoAnswer,
    }
}
