//! Requests that find no capacity, through an entry with real connections.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::test;
use clementine_direct::Running;
use common::{
    Backend, Behaviour, CallerResponse, send_request, send_request_with_headers,
    start_configured_store, start_entry, start_placed_engines, wait_until,
};
use futures::future::join_all;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const LAYERS: u32 = 12;
/// Streams that the one engine with the first layer runs at once: 0.85 of its slots.
const SLOTS: usize = 5;
/// Target latency of the routes.
const TARGET: Duration = Duration::from_millis(500);
/// Backoff of a server that has refused a request.
const BACKOFF: Duration = Duration::from_millis(250);

/// Starts three engines, which host one copy of the model, and an entry that knows
/// how long its streams take.
async fn start_engines_with_known_service_time() -> (Vec<Backend>, Running) {
    let store = start_configured_store(LAYERS).await;
    let (engines, entry) = start_placed_engines(&store, 3).await;
    let streams = (0..SLOTS).map(|n| send_stream(entry.callers, format!("first-{n}")));
    assert!(join_all(streams).await.iter().all(|(response, _)| is_served(response)));
    (engines, entry)
}

/// Sends a stream and returns the response with the time that it took.
async fn send_stream(to: SocketAddr, id: String) -> (CallerResponse, Duration) {
    send_stream_with(to, id, "prompt").await
}

async fn send_stream_with(
    to: SocketAddr,
    id: String,
    body: &'static str,
) -> (CallerResponse, Duration) {
    let started = Instant::now();
    let headers = [("x-api-key", "key"), ("request-id", id.as_str())];
    let response = send_request_with_headers(to, "POST", "/stream/x", body, &headers).await;
    (response, started.elapsed())
}

fn is_served(response: &CallerResponse) -> bool {
    response.status == 200 && response.complete
}

/// Ids with a prefix of the requests that ran, in order.
fn ran(engines: &[Backend], prefix: &str) -> Vec<String> {
    let ids = engines.iter().flat_map(|engine| engine.run_request_ids.borrow().clone());
    ids.filter(|id| id.starts_with(prefix)).collect()
}

/// Takes all slots with streams that have just begun.
async fn use_all_slots(engines: &[Backend], to: SocketAddr) {
    for n in 0..SLOTS {
        spawn_local(send_stream(to, format!("busy-{n}")));
    }
    wait_until("all slots are in use", async || ran(engines, "busy").len() == SLOTS).await;
}

/// Guards against slots that go to whichever request polls at the right moment, and
/// against holding requests that cannot be served in time.
#[test]
async fn waiting_streams_get_freed_slots_in_order_and_the_others_are_refused_at_once() {
    let (engines, entry) = start_engines_with_known_service_time().await;
    use_all_slots(&engines, entry.callers).await;
    let mut sent = Vec::new();
    for n in 0..20 {
        sent.push(spawn_local(send_stream(entry.callers, format!("wait-{n:02}"))));
        sleep(Duration::from_millis(1)).await;
    }
    let responses = join_all(sent).await;
    let responses: Vec<_> = responses.into_iter().map(|sent| sent.expect("sent")).collect();
    let served = responses.iter().filter(|(response, _)| is_served(response)).count();
    assert!(served >= 2, "{served} served although slots become free in time");
    let order = ran(&engines, "wait");
    assert!(order.is_sorted(), "served in order of arrival: {order:?}");
    let refused: Vec<_> = responses.iter().filter(|(response, _)| response.status == 503).collect();
    assert!(refused.len() >= 10, "{} refused", refused.len());
    assert!(refused.iter().all(|(response, _)| response.retry_after.is_some()));
    let mut times: Vec<Duration> = refused.iter().map(|(_, after)| *after).collect();
    times.sort();
    assert!(times[times.len() / 2] < TARGET / 8, "refused before any wait: {times:?}");
}

/// Guards against refused callers who are told to return together, or when there is no
/// capacity yet.
#[test]
async fn refused_streams_are_told_to_return_when_slots_become_free() {
    let (engines, entry) = start_engines_with_known_service_time().await;
    use_all_slots(&engines, entry.callers).await;
    let sent = (0..16).map(|n| async move {
        let path = format!("/stream/{n}");
        let headers = [("x-api-key", "key"), ("request-id", "told")];
        send_request_with_headers(entry.callers, "POST", &path, "prompt", &headers).await
    });
    let responses = join_all(sent).await;
    let told = responses.iter().filter_map(|response| response.retry_after.as_ref()?.parse().ok());
    let mut told: Vec<f64> = told.collect();
    told.sort_by(f64::total_cmp);
    assert!(told.len() >= 8, "{told:?}");
    // Three requests wait, and at most five slots become free in 440 ms.
    assert!((0.2..=0.9).contains(&told[0]), "just behind those that wait: {told:?}");
    let within = |from: f64| told.iter().filter(|at| (from..from + 0.45).contains(*at)).count();
    let most = told.iter().filter(|at| **at < 2.0).map(|at| within(*at)).max().unwrap_or(0);
    assert!(most <= SLOTS, "{most} told to return within the time of {SLOTS} slots: {told:?}");
}

/// Guards against callers who return as told and are refused again while new requests
/// are admitted.
#[test]
async fn callers_that_return_as_told_are_served_before_new_ones() {
    let (engines, entry) = start_engines_with_known_service_time().await;
    use_all_slots(&engines, entry.callers).await;
    let new_requests = spawn_local(async move {
        for n in 0..60 {
            spawn_local(send_stream_with(entry.callers, format!("new-{n}"), "new"));
            sleep(Duration::from_millis(30)).await;
        }
    });
    sleep(Duration::from_millis(150)).await;
    let returning = ["one", "two", "three", "four"].map(async |body| {
        let (first, _) = send_stream_with(entry.callers, format!("{body}-1"), body).await;
        let told = first.retry_after.expect("refused, because three requests wait");
        sleep(Duration::from_secs_f64(told.parse().expect("seconds"))).await;
        let (second, _) = send_stream_with(entry.callers, format!("{body}-2"), body).await;
        assert!(is_served(&second), "{body}, told {told} s: {second:?}");
    });
    join_all(returning).await;
    new_requests.await.expect("new requests are sent");
}

/// Guards against slots that go to callers who have left.
#[test]
async fn a_caller_that_closes_the_connection_leaves_the_queue() {
    let (engines, entry) = start_engines_with_known_service_time().await;
    use_all_slots(&engines, entry.callers).await;
    let leaves = timeout(Duration::from_millis(30), send_stream(entry.callers, "leaves".into()));
    let stays = async {
        sleep(Duration::from_millis(10)).await;
        send_stream(entry.callers, "stays".into()).await
    };
    let (left, (response, _)) = tokio::join!(leaves, stays);
    assert!(left.is_err(), "the caller left while its request was waiting");
    assert!(is_served(&response), "{response:?}");
    assert!(ran(&engines, "leaves").is_empty());
}

/// Guards against refusal of a request whose only server accepts requests again in
/// time for it.
#[test]
async fn a_buffered_request_waits_for_a_server_that_returns_in_time() {
    let store = start_configured_store(LAYERS).await;
    let server = Backend::start("plain-1", "plain", &store).await;
    let entry = start_entry("one", &store).await;
    server.behaviour.set(Behaviour::Refuse);
    assert_eq!(send_request(entry.callers, "GET", "/safe/x", "").await.status, 503);
    server.behaviour.set(Behaviour::Serve);
    let started = Instant::now();
    // Another caller: the first one was told when to return.
    let headers = [("x-api-key", "key"), ("request-id", "r-2")];
    let response = send_request_with_headers(entry.callers, "GET", "/safe/x", "", &headers).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert!(started.elapsed() < BACKOFF + Duration::from_millis(150));
}
