//! Follows the three ways of docs/OPERATIONS.md from a request's id to its cause,
//! on the log of real failures.

mod common;

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use common::{
    Backend, Behaviour, Store, config, send_request_with_headers, silence_engine_on_path,
    start_entry, wait_until,
};
use spdlog::sink::FileSink;
use spdlog::{LevelFilter, Logger};
use tokio::time::sleep;

/// Layers of the model.
const LAYERS: u32 = 12;

fn log_to_file() -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("clementine-operations-{}.log", std::process::id()));
    let sink = FileSink::builder().path(&path).truncate(true).build().expect("a sink");
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .flush_level_filter(LevelFilter::All)
        .build()
        .expect("a logger");
    spdlog::set_default_logger(Arc::new(logger));
    path
}

/// The lines of the log that hold all of some words.
fn lines(path: &PathBuf, words: &[&str]) -> Vec<String> {
    let text = fs::read_to_string(path).expect("a log");
    let matching = text.lines().filter(|line| words.iter().all(|word| line.contains(word)));
    matching.map(String::from).collect()
}

/// The value of `name=` in a line.
fn value<'a>(line: &'a str, name: &str) -> &'a str {
    let start = line.find(&format!("{name}=")).expect("the name") + name.len() + 1;
    line[start..].split([' ', ',']).next().expect("a value")
}

#[actix_rt::test]
async fn log_lines_lead_from_the_request_id_to_the_cause() {
    let log = log_to_file();
    let store = Store::start().await;
    store.put("op", "config", &config(1, LAYERS));
    let entry = start_entry("one", &store).await;
    let send_request = async |path, id: &str| {
        let headers = [("x-api-key", "key"), ("request-id", id)];
        send_request_with_headers(entry.callers, "POST", path, "body", &headers).await
    };

    // A request that was refused: no engine holds anything.
    assert_eq!(send_request("/stream/x", "b2").await.status, 503);
    let end = &lines(&log, &["stream: id=b2 route=", "runs=0"])[0];
    assert_eq!(value(end, "outcome"), "overloaded");
    assert!(!lines(&log, &["paths: id=b2 no path", "lines_held_back="]).is_empty());

    // A stream that was late: an engine of its path goes down.
    let mut engines = Vec::new();
    for n in 0..5 {
        engines.push(Backend::start(&format!("engine-{n}"), "model", &store).await);
    }
    wait_until("all engines hold layers", async || engines.iter().all(Backend::holds_layers)).await;
    sleep(Duration::from_millis(600)).await;
    let (response, silenced) =
        tokio::join!(send_request("/stream/x", "a1"), silence_engine_on_path(&engines));
    assert!(response.complete);
    let repathed = &lines(&log, &["stream: id=a1 repath away from"])[0];
    assert_eq!(value(repathed, "backend"), silenced);
    let end = &lines(&log, &["stream: id=a1 route=", "outcome=complete"])[0];
    assert_eq!(value(end, "repaths"), "1");
    let waits = &lines(&log, &["engines: request=a1 waits for"])[0];
    assert_eq!(value(waits, "backend"), silenced);
    assert!(!lines(&log, &["fleet: backend=", &silenced, "down reason=stalled-run"]).is_empty());

    // A 502 whose run is unknown: the connection ends without an answer.
    let plain = Backend::start("plain-1", "plain", &store).await;
    sleep(Duration::from_millis(600)).await;
    plain.behaviour.set(Behaviour::RunAndClose);
    assert_eq!(send_request("/once/x", "c3").await.status, 502);
    let end = &lines(&log, &["request: id=c3", "status=502"])[0];
    assert_eq!((value(end, "outcome"), value(end, "runs")), ("backend_lost", "1"));
    let paused = &lines(&log, &["fleet: backend=plain-1 paused", "request=c3"])[0];
    assert_eq!(value(paused, "reason"), "no-answer");
    fs::remove_file(log).expect("removed");
}

/// The lines that the page shows are of the form that the log has.
#[test]
fn the_page_names_what_the_log_names() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("the page");
    for part in [
        "repath away from backend=",
        "repaths=",
        "longest_pause_ms=",
        "waits for backend=",
        "down reason=stalled-run",
        "no path stops=",
        "lines_held_back=",
        "paused reason=no-answer request=",
        "outcome=backend_lost runs=1",
    ] {
        assert!(page.contains(part), "{part}");
    }
}
