//! Parts of prompts on which the engines crash that begin to answer.

mod common;

use std::time::Duration;

use actix_rt::test;
use clementine_direct::{Running, start};
use clementine_platform::settings::InstanceSettings;
use common::{
    Backend, Behaviour, CallerResponse, Store, send_request_with_headers, settings,
    start_configured_store, start_entry, wait_until,
};
use tokio::task::spawn_local;
use tokio::time::sleep;

const LAYERS: u32 = 12;
/// Number of engines, more than the requests of a test may crash.
const ENGINES: usize = 16;
/// The part that crashes engines.
const BAD: &str = "bad00001";
/// A part that sound requests have in common with those that crash engines.
const COMMON: &str = "c0000001";
/// A part of sound requests only.
const SOUND: &str = "50000001";
/// Crashes after which requests with a part may reach engines three times more.
const MAX_CRASHES: usize = 5 + 3;
/// Number of requests with the part that crashes engines.
const REPEATS: usize = 20;
/// Time between two of them.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time in which an entry that starts has read what is saved in the store.
const READ_TIME: Duration = Duration::from_secs(4);
/// Time after the last crash by which sound requests are served.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

struct Deployment {
    store: Store,
    engines: Vec<Backend>,
    entries: [Running; 2],
}

impl Deployment {
    async fn start() -> Self {
        let store = start_configured_store(LAYERS).await;
        let mut engines = Vec::new();
        for n in 0..ENGINES {
            let engine = Backend::start(&format!("model-{n}"), "model", &store).await;
            engine.crashes_on_part.set(Some(BAD));
            engines.push(engine);
        }
        let entries = [start_entry("one", &store).await, start_entry("two", &store).await];
        wait_until("all engines host layers", async || engines.iter().all(Backend::holds_layers))
            .await;
        sleep(Duration::from_millis(600)).await;
        Self { store, engines, entries }
    }

    /// Sends a stream whose prompt has these parts and one of its own.
    async fn send(&self, n: usize, parts: &[&str]) -> CallerResponse {
        let own = format!("{:08x}:200", 0x1000 + n);
        let shared = parts.iter().map(|part| format!("{part}:40"));
        let list = shared.chain([own]).collect::<Vec<_>>().join(",");
        let headers = [("x-api-key", "key"), ("prompt-prefix", list.as_str())];
        let entry = &self.entries[n % self.entries.len()];
        let path = format!("/stream/{n}");
        send_request_with_headers(entry.callers, "POST", &path, "prompt", &headers).await
    }

    fn crashed(&self) -> usize {
        self.engines.iter().filter(|engine| engine.crashed.get()).count()
    }
}

#[test]
async fn requests_with_a_crashing_part_stop_reaching_engines() {
    let deployment = Deployment::start().await;
    assert!(deployment.send(0, &[COMMON, SOUND]).await.complete);
    let mut sound = Vec::new();
    for n in 0..REPEATS {
        deployment.send(2 * n, &[COMMON, BAD]).await;
        sleep(INTERVAL).await;
        sound.push(deployment.send(1_001 + 2 * n, &[COMMON, SOUND]).await.complete);
    }
    let crashed = deployment.crashed();
    assert!((3..=MAX_CRASHES).contains(&crashed), "{crashed} engines crashed, sound: {sound:?}");
    assert!(sound[REPEATS / 2..].iter().all(|served| *served), "{sound:?}");
    let refused = deployment.send(1, &[COMMON, BAD]).await;
    assert_eq!((refused.status, deployment.crashed()), (503, crashed), "at the other entry too");
}

/// Nothing told the two parts apart while engines crashed.
#[test]
async fn part_that_only_came_with_the_crashing_one_is_served_again() {
    let deployment = Deployment::start().await;
    for n in 0..REPEATS / 2 {
        deployment.send(n, &[COMMON, BAD]).await;
        sleep(INTERVAL).await;
    }
    let crashed = deployment.crashed();
    assert!(crashed <= MAX_CRASHES, "{crashed} engines crashed");
    sleep(RECOVERY_TIME).await;
    let mut served = 0;
    for n in 100..120 {
        served += usize::from(deployment.send(n, &[COMMON, SOUND]).await.complete);
        sleep(INTERVAL).await;
    }
    assert!(served >= 15, "{served} of 20 sound requests are served");
    assert!(deployment.crashed() <= MAX_CRASHES, "{} engines crashed", deployment.crashed());
}

/// An entry that has never heard of the others knows what they saved in the store.
#[test]
async fn refused_part_outlasts_a_restart_of_all_entries() {
    let deployment = Deployment::start().await;
    assert!(deployment.send(0, &[COMMON, SOUND]).await.complete);
    for n in 0..REPEATS / 2 {
        deployment.send(2 * n, &[COMMON, BAD]).await;
        sleep(INTERVAL).await;
    }
    let crashed = deployment.crashed();
    let unconnected =
        InstanceSettings { internal_ports: None, ..settings("three", &deployment.store) };
    let started = start(unconnected).expect("entry starts");
    sleep(READ_TIME).await;
    let headers = [("x-api-key", "key"), ("prompt-prefix", "bad00001:40,1:200")];
    let to = started.callers;
    let response = send_request_with_headers(to, "POST", "/stream/new", "prompt", &headers).await;
    assert_eq!((response.status, deployment.crashed()), (503, crashed));
    assert!(response.body.contains("suspected_crash"), "{response:?}");
}

/// Body of the requests that crash plain servers.
const CRASHING: &str = "crash";
/// Time after which servers refuse the request that was admitted before its part was
/// refused. Includes the longest interval between two probes of one entry, 2 s.
const LATE_REFUSAL: Duration = Duration::from_millis(3_500);

/// A request that was admitted before a part of its prompt was refused, and that no
/// server ran, took the turn of the next probe although it was not sent again.
#[test]
async fn late_refusal_of_an_admitted_request_does_not_take_the_turn_of_a_probe() {
    let store = start_configured_store(LAYERS).await;
    let mut servers = Vec::new();
    for n in 0..6 {
        let server = Backend::start(&format!("plain-{n}"), "plain", &store).await;
        server.crashes_on.set(Some(CRASHING));
        server.behaviour.set(Behaviour::RefuseAfter(LATE_REFUSAL));
        servers.push(server);
    }
    let entry = start_entry("one", &store).await;
    let to = entry.callers;
    let send = move |path: &'static str, body: &'static str| async move {
        let headers = [("x-api-key", "key"), ("prompt-prefix", "bad00001:40,1:200")];
        send_request_with_headers(to, "POST", path, body, &headers).await
    };
    let admitted = spawn_local(send("/once/admitted", "harmless"));
    wait_until("the request has reached a server", async || {
        servers.iter().any(|server| server.holds_refused.get())
    })
    .await;
    for server in &servers {
        server.behaviour.set(Behaviour::Serve);
    }
    for path in ["/once/1", "/once/2", "/once/3"] {
        assert_eq!(send(path, CRASHING).await.status, 502);
    }
    let refused = send("/once/refused", "harmless").await;
    assert_eq!(refused.status, 503, "three crashes refuse the part: {refused:?}");
    let late = admitted.await.expect("the admitted request gets a response");
    assert!(late.status == 503 && late.body.contains("suspected_crash"), "{late:?}");
    let probe = send("/once/probe", "harmless").await;
    assert_eq!(probe.status, 200, "the next request is a probe: {probe:?}");
}
