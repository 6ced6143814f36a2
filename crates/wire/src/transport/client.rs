//! RPC client.

use tarpc::client::Config;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::{JoinHandle, spawn_local};

use super::codec::framed;
use crate::AgentClient;

/// Maximum number of calls in flight on a connection; further calls wait.
const MAX_IN_FLIGHT_CALLS: usize = 65_536;

/// Maximum number of calls queued for writing on a connection.
const REQUEST_QUEUE_CAPACITY: usize = 1_024;

/// Creates a client on a connected stream and spawns its dispatch task on the
/// current thread.
///
/// The task ends when the connection closes; aborting it closes the connection.
pub fn agent_client<S>(stream: S) -> (AgentClient, JoinHandle<()>)
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let mut config = Config::default();
    config.max_in_flight_requests = MAX_IN_FLIGHT_CALLS;
    config.pending_request_buffer = REQUEST_QUEUE_CAPACITY;
    let new = AgentClient::new(config, framed(stream));
    let dispatch = new.dispatch;
    let task = spawn_local(async move {
        // A connection error is returned by every pending call.
        let _ = dispatch.await;
    });
    (new.client, task)
}
