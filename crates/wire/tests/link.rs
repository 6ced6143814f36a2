//! Calls over a link to slow, unresponsive and unreachable agents.

mod fake_agent;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::dedup::WorkTag;
use clementine_decide::ids::WorkId;
use clementine_net::Dialer;
use clementine_objects::Millis;
use clementine_wire::{AgentLink, AttachResponse, LinkError, LinkTimeouts};
use fake_agent::{FakeAgent, agent_ref};
use tokio::task::spawn_local;

const FOREVER: Duration = Duration::from_hours(1);

/// The silence timeout is long compared to scheduling delays on a busy machine
/// and short compared to the slow calls.
const TIMEOUTS: LinkTimeouts = LinkTimeouts {
    connect_timeout: Millis(1_000),
    silence_timeout: Millis(800),
    ping_interval: Millis(100),
};

fn link(address: SocketAddr) -> Rc<AgentLink> {
    Rc::new(AgentLink::new(address, Rc::new(Dialer::plain()), TIMEOUTS))
}

async fn attach(link: &AgentLink) -> Result<AttachResponse, LinkError> {
    let tag = WorkTag::new(WorkId(1), &agent_ref());
    link.call(Millis(0), |client, cx| async move { client.attach(cx, tag).await }).await
}

/// Guards against dropping the connection to an agent that is only slow: one
/// call takes longer than the silence timeout while pings are answered.
#[actix_rt::test]
async fn connection_to_a_slow_agent_is_kept() {
    let agent = FakeAgent { attach_delay: Duration::from_secs(2), describe_delay: Duration::ZERO };
    let link = link(agent.serve().await);
    let pinging = Rc::clone(&link);
    let pings = spawn_local(async move {
        while pinging.ping().await.is_ok() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert_eq!(attach(&link).await, Ok(AttachResponse::Sealed));
    assert_eq!(link.connections_opened(), 1, "number of connections; the first must be kept");
    pings.abort();
}

#[actix_rt::test]
async fn connection_to_an_unresponsive_agent_is_lost() {
    let agent = FakeAgent { attach_delay: FOREVER, describe_delay: FOREVER };
    let link = link(agent.serve().await);
    assert_eq!(attach(&link).await, Err(LinkError::ConnectionLost));
    let tag = WorkTag::new(WorkId(1), &agent_ref());
    let long = link
        .call_with_pings(Millis(60_000), |client, cx| async move { client.attach(cx, tag).await });
    assert_eq!(long.await, Err(LinkError::ConnectionLost));
    assert_eq!(
        link.connections_opened(),
        2,
        "number of connections; each failed call must drop its own"
    );
}

#[actix_rt::test]
async fn call_to_a_closed_port_is_not_sent() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("local address");
    drop(listener);
    assert_eq!(attach(&link(address)).await, Err(LinkError::NotSent));
}
