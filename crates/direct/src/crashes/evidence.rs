//! Whether a backend server has crashed.

use clementine_decide::ids::{BackendId, Tick};
use clementine_http1::ConnectError;

use crate::engines::connect_to_engine;
use crate::shared::SharedState;

/// Number of attempts to connect, since a packet may be lost.
const MAX_CONNECT_ATTEMPTS: usize = 2;

/// Why the loss of a run is not counted as a crash of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotCounted {
    /// The server is draining: it ends on purpose.
    Draining,
    /// The server is not listed any more.
    Unlisted,
    /// The server accepts connections.
    AcceptsConnections,
    /// Connecting to the server timed out: it may just be unreachable.
    Silent,
}

impl NotCounted {
    /// Name of the reason in the log.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Unlisted => "unlisted",
            Self::AcceptsConnections => "accepts-connections",
            Self::Silent => "silent",
        }
    }
}

/// Whether a backend server whose run was lost at `lost_at` has crashed: no
/// process listens on its address.
///
/// # Errors
///
/// Returns the reason if that is not known to be so.
pub(super) async fn check_crashed(
    shared: &SharedState,
    id: &BackendId,
    lost_at: Tick,
) -> Result<(), NotCounted> {
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        let address = match shared.fleet.borrow().get(id) {
            Some(member) if member.is_draining() => return Err(NotCounted::Draining),
            Some(member) if member.refused_connection_since(lost_at) => return Ok(()),
            Some(member) if member.connected_since(lost_at) => {
                return Err(NotCounted::AcceptsConnections);
            }
            Some(member) => member.backend.address,
            None => return Err(NotCounted::Unlisted),
        };
        match connect_to_engine(shared, id, address).await {
            Ok(_) => return Err(NotCounted::AcceptsConnections),
            Err(ConnectError::Refused { .. }) => {
                // What is known of the server may have changed meanwhile.
                return match shared.fleet.borrow().get(id) {
                    Some(member) if member.is_draining() => Err(NotCounted::Draining),
                    Some(_) => Ok(()),
                    None => Err(NotCounted::Unlisted),
                };
            }
            Err(ConnectError::TimedOut) => {}
        }
    }
    Err(NotCounted::Silent)
}
