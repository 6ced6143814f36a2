//! A planned shutdown answers every request that it has accepted.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::test;
use clementine_e2e::{ScriptedServer, Step};
use clementine_http1::{ClientConn, ServerConn};
use clementine_objects::Millis;
use common::{
    Backend, EntryThread, Store, list_server, queue_request, send_request, settings, signed,
    start_configured_store, wait_until,
};
use futures::future::join_all;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Callers that open a connection for each request.
const NEW_CONNECTION_CALLERS: usize = 12;
/// Callers that keep their connection.
const KEEP_ALIVE_CALLERS: usize = 6;

/// What callers have seen.
#[derive(Debug, Default)]
struct Seen {
    answered: Cell<u32>,
    refused: Cell<u32>,
    /// Requests that were sent and got no response.
    cut_off: Cell<u32>,
    ended: Cell<usize>,
}

impl Seen {
    fn record(&self, status: Option<u16>) {
        let count = match status {
            Some(503) => &self.refused,
            Some(_) => &self.answered,
            None => &self.cut_off,
        };
        count.set(count.get() + 1);
    }
}

async fn connect(to: SocketAddr) -> Option<ClientConn> {
    ClientConn::connect(to, Duration::from_secs(1), &ServerConn::codec_config()).await.ok()
}

/// Sends requests until connections are refused. Keeps a connection while both sides
/// allow it if `keep_alive`.
async fn send_requests(to: SocketAddr, keep_alive: bool, pause: Duration, seen: Rc<Seen>) {
    let mut kept: Option<ClientConn> = None;
    loop {
        let open = kept.take().filter(ClientConn::is_reusable);
        let conn = match open {
            Some(conn) => Some(conn),
            None => connect(to).await,
        };
        let Some(mut conn) = conn else { break };
        queue_request(&mut conn, "/safe/x", "r-1", "x");
        let head = conn.read_head().await.ok();
        let status = head.map(|head| head.status.as_u16());
        let complete = conn.read_body(1024).await.is_ok();
        seen.record(status.filter(|_| complete));
        kept = Some(conn).filter(|_| keep_alive);
        sleep(pause).await;
    }
    seen.ended.set(seen.ended.get() + 1);
}

async fn start_store_with_backend() -> (Store, Backend) {
    let store = start_configured_store(0).await;
    let backend = Backend::start("plain-1", "plain", &store).await;
    (store, backend)
}

/// Guards against the exit while connections wait in the backlog or have just been
/// accepted: their requests would end without a response.
#[test]
async fn callers_under_load_get_a_response_or_no_connection() {
    let (store, _backend) = start_store_with_backend().await;
    let entry = EntryThread::start(settings("one", &store)).await;
    sleep(Duration::from_millis(300)).await;
    let seen = Rc::new(Seen::default());
    for _ in 0..NEW_CONNECTION_CALLERS {
        let pause = Duration::from_millis(1);
        spawn_local(send_requests(entry.callers, false, pause, Rc::clone(&seen)));
    }
    for _ in 0..KEEP_ALIVE_CALLERS {
        let pause = Duration::from_millis(3);
        spawn_local(send_requests(entry.callers, true, pause, Rc::clone(&seen)));
    }
    sleep(Duration::from_millis(200)).await;
    entry.stop();
    let callers = NEW_CONNECTION_CALLERS + KEEP_ALIVE_CALLERS;
    wait_until("the entry exits", async || entry.has_exited()).await;
    wait_until("callers find no entry", async || seen.ended.get() == callers).await;
    assert!(seen.answered.get() > 0);
    assert_eq!(seen.cut_off.get(), 0, "{seen:?}");
}

/// Guards against the exit at the end of the grace period while a request is in
/// progress: its caller must be told that the outcome is unknown.
#[test]
async fn request_in_progress_at_the_end_of_the_grace_period_gets_an_error() {
    let store = start_configured_store(0).await;
    let server = ScriptedServer::start(|request| {
        vec![Step::Wait(Duration::from_secs(6)), Step::send(signed(request, 200, "late"))]
    })
    .await;
    list_server(&store, "slow", "plain", server.address);
    let mut settings = settings("one", &store);
    settings.bounds.grace = Millis(1_500);
    let entry = EntryThread::start(settings).await;
    sleep(Duration::from_millis(300)).await;
    let stopped = Instant::now();
    let request = spawn_local(send_request(entry.callers, "POST", "/once/x", "x"));
    sleep(Duration::from_millis(50)).await;
    entry.stop();
    let response = request.await.expect("the caller ends");
    assert_eq!((response.status, response.complete), (504, true), "{response:?}");
    assert!(response.retry_after.is_none(), "it may have run");
    wait_until("the entry exits", async || entry.has_exited()).await;
    assert!(stopped.elapsed() < Duration::from_millis(1_500 + 200), "{:?}", stopped.elapsed());
}

/// Guards against the claim that a request may have run which was never sent: it still
/// waited for a server at the end of the grace period.
#[test]
async fn waiting_request_at_the_end_of_the_grace_period_is_refused() {
    /// Less than the time for which a request waits for a server.
    const INTERVAL: Duration = Duration::from_millis(10);
    let store = start_configured_store(0).await;
    let mut settings = settings("one", &store);
    settings.bounds.grace = Millis(1_500);
    let entry = EntryThread::start(settings).await;
    sleep(Duration::from_millis(300)).await;
    entry.stop();
    let mut sent = Vec::new();
    // The listener is closed at the end of the grace period.
    while let Some(mut conn) = connect(entry.callers).await {
        let path = ["/once/x", "/safe/x", "/stream/x"][sent.len() % 3];
        sent.push(spawn_local(async move {
            queue_request(&mut conn, path, "r-1", "x");
            let head = conn.read_head().await.expect("a response");
            (path, head.status.as_u16(), head.headers().contains_key("retry-after"))
        }));
        sleep(INTERVAL).await;
    }
    let responses: Vec<_> =
        join_all(sent).await.into_iter().map(|sent| sent.expect("sent")).collect();
    let claims: Vec<_> =
        responses.iter().filter(|(_, status, later)| (*status, *later) != (503, true)).collect();
    assert!(claims.is_empty(), "{} of {}: {claims:?}", claims.len(), responses.len());
    wait_until("the entry exits", async || entry.has_exited()).await;
}
