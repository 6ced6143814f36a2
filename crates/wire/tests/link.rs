//! Links: slow, silent and absent agents.

mod fake_agent;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::gate::WorkTag;
use clementine_decide::ids::WorkId;
use clementine_net::Dialer;
use clementine_objects::Millis;
use clementine_wire::{AgentLink, AttachResponse, LinkError, LinkTimeouts};
use fake_agent::{FakeAgent, agent_ref};
use tokio::task::spawn_local;

const FOREVER: Duration = Duration::from_hours(1);

/// Long against the pauses of a busy machine, short against the slow calls.
const LIMITS: LinkTimeouts = LinkTimeouts {
    connect_timeout: Millis(1_000),
    silence_timeout: Millis(800),
    ping_interval: Millis(100),
};

fn link(address: SocketAddr) -> Rc<AgentLink> {
    Rc::new(AgentLink::new(address, Rc::new(Dialer::plain()), LIMITS))
}

async fn attach(link: &AgentLink) -> Result<AttachResponse, LinkError> {
    let tag = WorkTag::new(WorkId(1), &agent_ref());
    link.call(Millis(0), |client, cx| async move { client.attach(cx, tag).await }).await
}

#[actix_rt::test]
async fn an_agent_that_answers_others_is_slow_and_not_silent() {
    let agent = FakeAgent { attach_time: Duration::from_secs(2), describe_time: Duration::ZERO };
    let link = link(agent.serve().await);
    let pinging = Rc::clone(&link);
    let pings = spawn_local(async move {
        while pinging.ping().await.is_ok() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert_eq!(attach(&link).await, Ok(AttachResponse::Sealed));
    assert_eq!(link.connections_opened(), 1, "the connection was kept");
    pings.abort();
}

#[actix_rt::test]
async fn an_agent_that_answers_nothing_is_silent() {
    let agent = FakeAgent { attach_time: FOREVER, describe_time: FOREVER };
    let link = link(agent.serve().await);
    assert_eq!(attach(&link).await, Err(LinkError::ConnectionLost));
    let tag = WorkTag::new(WorkId(1), &agent_ref());
    let long = link
        .call_with_pings(Millis(60_000), |client, cx| async move { client.attach(cx, tag).await });
    assert_eq!(long.await, Err(LinkError::ConnectionLost));
    assert_eq!(link.connections_opened(), 2, "each call had a connection of its own");
}

#[actix_rt::test]
async fn a_call_to_nobody_was_never_sent() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    assert_eq!(attach(&link(address)).await, Err(LinkError::NotSent));
}
