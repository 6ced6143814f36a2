//! Closed-loop and open-loop load generation.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use super::{LoadClient, LoadRequest, Measurement};

/// Sends requests from a fixed number of workers, each of which waits for the
/// response before it sends the next request. Stops sending after `duration`.
pub(crate) async fn closed_loop(
    client: &LoadClient,
    concurrency: usize,
    duration: Duration,
    request: impl Fn() -> LoadRequest,
) -> Vec<Measurement> {
    let end = Instant::now() + duration;
    let request = &request;
    let workers = (0..concurrency).map(|_| async move {
        let mut measurements = Vec::new();
        while Instant::now() < end {
            measurements.push(client.send(&request()).await);
        }
        measurements
    });
    join_all(workers).await.into_iter().flatten().collect()
}

/// Sends each request at its scheduled time, without waiting for the responses
/// to earlier requests. Calls `on_sent` with the number of requests sent so far.
pub(crate) async fn open_loop<T: Clone + 'static>(
    client: &LoadClient,
    requests: impl Iterator<Item = (Duration, T, LoadRequest)>,
    mut on_sent: impl FnMut(usize),
) -> Vec<(T, Measurement)> {
    let started = tokio::time::Instant::now();
    let results = Rc::new(RefCell::new(Vec::new()));
    let mut tasks = Vec::new();
    for (at, label, request) in requests {
        sleep_until(started + at).await;
        let (client, results) = (client.clone(), Rc::clone(&results));
        tasks.push(spawn_local(async move {
            let measurement = client.send(&request).await;
            results.borrow_mut().push((label, measurement));
        }));
        on_sent(tasks.len());
    }
    join_all(tasks).await;
    results.take()
}
