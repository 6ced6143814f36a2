//! Whether a backend server has crashed.

use std::time::Duration;

use clementine_decide::ids::{BackendId, Tick};
use clementine_http1::{ClientConn, ConnectError};

use crate::shared::SharedState;

/// Timeout of one attempt to connect. Within one region connecting takes a few
/// ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(90);
/// Number of attempts to connect, since a packet may be lost.
const MAX_CONNECT_ATTEMPTS: usize = 2;

/// Whether a backend server whose run was lost at `lost_at` has crashed: no
/// process listens on its address. A server that is draining ends on purpose, and
/// one that does not respond at all may just be unreachable.
pub(super) async fn has_crashed(shared: &SharedState, id: &BackendId, lost_at: Tick) -> bool {
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        let address = match shared.fleet.borrow().get(id) {
            Some(member) if member.is_draining() => return false,
            Some(member) if member.refused_connection_since(lost_at) => return true,
            Some(member) if member.connected_since(lost_at) => return false,
            Some(member) => member.backend.address,
            None => return false,
        };
        let connected = ClientConn::connect(address, CONNECT_TIMEOUT, &shared.codec).await;
        let mut fleet = shared.fleet.borrow_mut();
        let Some(member) = fleet.get_mut(id) else { return false };
        match connected {
            Ok(_) => member.record_connection(shared.now()),
            Err(ConnectError::Refused { .. }) => member.record_refused_connection(shared.now()),
            Err(ConnectError::TimedOut) => {}
        }
    }
    let fleet = shared.fleet.borrow();
    fleet.get(id).is_some_and(|member| member.refused_connection_since(lost_at))
}
