//! Whether a backend server has crashed.

use clementine_decide::ids::{BackendId, Tick};
use clementine_http1::ConnectError;

use crate::engines::connect_to_engine;
use crate::shared::SharedState;

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
        match connect_to_engine(shared, id, address).await {
            Ok(_) => return false,
            Err(ConnectError::Refused { .. }) => {
                // What is known of the server may have changed meanwhile.
                let fleet = shared.fleet.borrow();
                return fleet.get(id).is_some_and(|member| !member.is_draining());
            }
            Err(ConnectError::TimedOut) => {}
        }
    }
    false
}
