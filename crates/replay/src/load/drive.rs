//! Open and closed loops of requests.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use super::{LoadClient, LoadRequest, Measured};

/// Keeps a number of requests in progress for a time.
pub(crate) async fn closed_loop(
    client: &LoadClient,
    concurrency: usize,
    duration: Duration,
    request: impl Fn() -> LoadRequest,
) -> Vec<Measured> {
    let end = Instant::now() + duration;
    let request = &request;
    let workers = (0..concurrency).map(|_| async move {
        let mut measured = Vec::new();
        while Instant::now() < end {
            measured.push(client.send(&request()).await);
        }
        measured
    });
    join_all(workers).await.into_iter().flatten().collect()
}

/// Sends each request at its time, whatever became of those before.
pub(crate) async fn open_loop<T: Clone + 'static>(
    client: &LoadClient,
    requests: impl Iterator<Item = (Duration, T, LoadRequest)>,
    mut progress: impl FnMut(usize),
) -> Vec<(T, Measured)> {
    let started = tokio::time::Instant::now();
    let results = Rc::new(RefCell::new(Vec::new()));
    let mut tasks = Vec::new();
    for (at, label, request) in requests {
        sleep_until(started + at).await;
        let (client, results) = (client.clone(), Rc::clone(&results));
        tasks.push(spawn_local(async move {
            let measured = client.send(&request).await;
            results.borrow_mut().push((label, measured));
        }));
        progress(tasks.len());
    }
    join_all(tasks).await;
    results.take()
}
