//! RPC server.

use futures::StreamExt;
use tarpc::server::{BaseChannel, Channel, Config};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::spawn_local;

use super::codec::framed;
use crate::Agent;

/// Maximum number of responses queued for writing on a connection.
const RESPONSE_QUEUE_CAPACITY: usize = 1_024;

/// Serves RPC calls to an agent on a stream until the stream is closed.
pub async fn serve_agent<S, A>(stream: S, agent: A)
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
    A: Agent + Clone + 'static,
{
    let config = Config { pending_response_buffer: RESPONSE_QUEUE_CAPACITY };
    let channel = BaseChannel::new(config, framed(stream));
    let calls = channel.execute(agent.serve());
    calls
        .for_each(|call| async move {
            spawn_local(call);
        })
        .await;
}
