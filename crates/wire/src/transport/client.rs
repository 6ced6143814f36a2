//! Client side of a connection.

use tarpc::client::Config;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::{JoinHandle, spawn_local};

use super::codec::framed;
use crate::AgentClient;

/// Calls in progress on one connection, beyond which further calls wait.
const IN_FLIGHT_MAX: usize = 65_536;

/// Calls that wait to be written to one connection.
const WRITE_QUEUE: usize = 1_024;

/// Makes a client of a connected stream and runs its dispatch on this thread.
/// The handle ends when the connection does; aborting it closes the
/// connection.
pub fn agent_client<S>(stream: S) -> (AgentClient, JoinHandle<()>)
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let mut config = Config::default();
    config.max_in_flight_requests = IN_FLIGHT_MAX;
    config.pending_request_buffer = WRITE_QUEUE;
    let new = AgentClient::new(config, framed(stream));
    let dispatch = new.dispatch;
    let task = spawn_local(async move {
        // The error of a broken connection reaches each call on it.
        let _ = dispatch.await;
    });
    (new.client, task)
}
