//! The retry budget that entry processes share, while they are killed and started again.

mod common;

use std::collections::HashSet;
use std::time::Duration;

use actix_rt::test;
use common::{
    Backend, Behaviour, EntryProcess, Store, send_request_with_headers, start_configured_store,
    wait_until,
};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

/// Window, ratio and slack of the budget that [`EntryProcess`] gets as settings.
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 101.0;
/// Requests that an entry gets between two kills. Each fails once, and the entry would
/// send each a second time.
const REQUESTS: usize = 80;
/// Time in which entries learn of each other.
const EXCHANGE_TIME: Duration = Duration::from_secs(2);
/// Time that one round of kills, starts and requests takes at most.
const ROUND_TIME: Duration = Duration::from_secs(3);

struct Deployment {
    /// Kept alive for the entries.
    _store: Store,
    servers: Vec<Backend>,
    entries: Vec<EntryProcess>,
    requests: usize,
}

impl Deployment {
    /// Starts servers that fail each request, and entries that have run for a window and told
    /// each other what they use.
    /// `prefix` begins the names of the entries, which differ from test to test.
    async fn start(prefix: &str, domains: &[&'static str]) -> Self {
        let store = start_configured_store(12).await;
        let mut servers = Vec::new();
        for n in 0..3 {
            let server = Backend::start(&format!("plain-{n}"), "plain", &store).await;
            server.behaviour.set(Behaviour::Fail);
            servers.push(server);
        }
        let mut entries = Vec::new();
        for (n, domain) in domains.iter().enumerate() {
            entries.push(EntryProcess::start(&format!("{prefix}-{n}"), domain, 0, &store).await);
        }
        sleep(WINDOW + EXCHANGE_TIME).await;
        Self { _store: store, servers, entries, requests: 0 }
    }

    /// Sends requests to an entry until it answers them all.
    async fn load(&mut self, entry: usize) {
        let to = self.entries[entry].callers_address().expect("the entry runs");
        let first = self.requests;
        self.requests += REQUESTS;
        let ids: Vec<String> = (first..self.requests).map(|n| format!("{n:016x}")).collect();
        join_all(ids.iter().map(|id| {
            let headers = [("x-api-key", "key"), ("request-id", id.as_str())];
            async move { send_request_with_headers(to, "POST", "/safe/x", "x", &headers).await }
        }))
        .await;
    }

    /// Kills an entry, starts it again and waits until it serves.
    async fn restart(&mut self, entry: usize) {
        self.entries[entry].kill();
        self.entries[entry].start_process();
        let to = self.entries[entry].callers_address().expect("the entry runs");
        wait_until("the entry serves", async || {
            let id = format!("{:016x}", 0xffff_0000 + self.requests);
            let headers = [("x-api-key", "key"), ("request-id", id.as_str())];
            let response = send_request_with_headers(to, "POST", "/safe/x", "x", &headers).await;
            response.status == 500
        })
        .await;
        self.requests += 1;
    }

    /// Arrivals beyond the first of each request, and the number that is allowed.
    fn repeats(&self) -> (usize, f64) {
        let runs: Vec<String> = self
            .servers
            .iter()
            .flat_map(|server| server.run_request_ids.borrow().clone())
            .collect();
        let distinct: HashSet<&String> = runs.iter().collect();
        (runs.len() - distinct.len(), RATIO * self.requests as f64 + SLACK)
    }
}

#[test]
async fn entries_spend_the_retry_budget_again_after_each_restart() {
    let mut deployment = Deployment::start("forgets", &["a", "a", "a", "a"]).await;
    let started = Instant::now();
    for entry in 0..4 {
        deployment.load(entry).await;
    }
    for round in 0.. {
        if started.elapsed() + ROUND_TIME > WINDOW {
            break;
        }
        for entry in [round % 4, (round + 1) % 4] {
            deployment.restart(entry).await;
            deployment.load(entry).await;
        }
    }
    assert!(started.elapsed() < WINDOW, "all requests were sent within one window");
    let (repeats, allowed) = deployment.repeats();
    assert!(repeats as f64 <= allowed, "{repeats} repeats, {allowed} allowed");
}

/// Others tell a process that has just started that the last one used nothing.
#[test]
async fn restarted_entry_spends_the_slack_that_is_left() {
    let mut deployment = Deployment::start("recalls", &["a", "a", "b", "b"]).await;
    let slack_share = SLACK / 4.0;
    let without_slack = RATIO * (REQUESTS + 1) as f64;
    deployment.restart(0).await;
    sleep(EXCHANGE_TIME).await;
    deployment.load(0).await;
    let (repeats, _) = deployment.repeats();
    assert!(
        repeats as f64 > without_slack + slack_share / 3.0,
        "{repeats} repeats, {without_slack} without slack"
    );
}
