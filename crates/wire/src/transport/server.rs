//! Server side of a connection.

use futures::StreamExt;
use tarpc::server::{BaseChannel, Channel, Config};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::spawn_local;

use super::codec::framed;
use crate::Agent;

/// Answers that wait to be written to one connection.
const RESPONSE_QUEUE: usize = 1_024;

/// Serves an agent's calls on one stream until it closes.
pub async fn serve_agent<S, A>(stream: S, agent: A)
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
    A: Agent + Clone + 'static,
{
    let config = Config { pending_response_buffer: RESPONSE_QUEUE };
    let channel = BaseChannel::new(config, framed(stream));
    let calls = channel.execute(agent.serve());
    calls
        .for_each(|call| async move {
            spawn_local(call);
        })
        .await;
}
