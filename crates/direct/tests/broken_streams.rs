//! Streams that end with their connection, break off inside an event or have no end.

mod common;

use actix_rt::test;
use common::{CallerResponse, send_request, start_configured_store, start_placed_engines};

const LAYERS: u32 = 12;
const ENGINES: usize = 6;
/// Number of attempts that the route allows.
const MAX_ATTEMPTS: usize = 2;
/// Bytes without the end of an event that an entry takes of one attempt at most,
/// including those that the system buffers.
const MAX_ENDLESS_BYTES: usize = 16 * 1024 * 1024;

fn event_ids(response: &CallerResponse) -> Vec<u64> {
    let lines = response.body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().expect("numeric event ID")).collect()
}

#[test]
async fn stream_that_ends_with_its_connection_is_complete() {
    let store = start_configured_store(LAYERS).await;
    let (engines, entry) = start_placed_engines(&store, ENGINES).await;
    for engine in &engines {
        engine.close_delimited_streams.set(true);
    }
    let response = send_request(entry.callers, "POST", "/stream/x", "prompt").await;
    assert!(response.complete, "{response:?}");
    assert_eq!(event_ids(&response), (1..=20).collect::<Vec<_>>());
    let runs: usize = engines.iter().map(|engine| engine.run_paths.borrow().len()).sum();
    assert_eq!(runs, 1, "nothing is sent again");
}

#[test]
async fn stream_that_breaks_off_inside_an_event_is_resumed_before_it() {
    for close_delimited in [false, true] {
        let store = start_configured_store(LAYERS).await;
        let (engines, entry) = start_placed_engines(&store, ENGINES).await;
        for engine in &engines {
            engine.close_delimited_streams.set(close_delimited);
            engine.breaks_event_after.set(Some(12));
        }
        let response = send_request(entry.callers, "POST", "/stream/x", "prompt").await;
        assert!(response.complete, "{response:?}");
        assert_eq!(event_ids(&response), (1..=20).collect::<Vec<_>>());
    }
}

/// A server that ends the connection before any event has not answered.
#[test]
async fn close_delimited_stream_without_events_is_sent_again() {
    let store = start_configured_store(LAYERS).await;
    let (engines, entry) = start_placed_engines(&store, ENGINES).await;
    for engine in &engines {
        engine.close_delimited_streams.set(true);
        engine.disconnect_after.set(Some(0));
    }
    let response = send_request(entry.callers, "POST", "/stream/x", "prompt").await;
    assert!(!response.complete, "{response:?}");
    let runs: usize = engines.iter().map(|engine| engine.run_paths.borrow().len()).sum();
    assert_eq!(runs, MAX_ATTEMPTS);
}

#[test]
async fn event_without_an_end_is_given_up() {
    let store = start_configured_store(LAYERS).await;
    let (engines, entry) = start_placed_engines(&store, ENGINES).await;
    for engine in &engines {
        engine.endless_after.set(Some(5));
    }
    let response = send_request(entry.callers, "POST", "/stream/x", "prompt").await;
    assert!(!response.complete);
    assert_eq!(event_ids(&response), (1..=10).collect::<Vec<_>>(), "whole events only");
    let bytes: usize = engines.iter().map(|engine| engine.endless_bytes.get()).sum();
    assert!(bytes < MAX_ATTEMPTS * MAX_ENDLESS_BYTES, "{bytes} bytes");
}
