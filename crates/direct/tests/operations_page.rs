//! Follows the three procedures of docs/OPERATIONS.md that lead from a request ID to
//! the cause of a failure, on the log of an entry that has these failures.

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

/// Number of layers of the model.
const LAYERS: u32 = 12;

/// Sends the log to a file and returns its path.
fn log_to_file() -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("clementine-operations-{}.log", std::process::id()));
    let sink = FileSink::builder().path(&path).truncate(true).build().expect("log file sink");
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .flush_level_filter(LevelFilter::All)
        .build()
        .expect("logger");
    spdlog::set_default_logger(Arc::new(logger));
    path
}

/// Lines of the log that contain all of `words`.
fn lines(path: &PathBuf, words: &[&str]) -> Vec<String> {
    let text = fs::read_to_string(path).expect("read log file");
    let matching = text.lines().filter(|line| words.iter().all(|word| line.contains(word)));
    matching.map(String::from).collect()
}

/// Value of the key `name` in a line of `name=value` pairs.
fn value<'a>(line: &'a str, name: &str) -> &'a str {
    let start = line.find(&format!("{name}=")).expect("key in the log line") + name.len() + 1;
    line[start..].split([' ', ',']).next().expect("value of the key")
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

    // A refused request: no engine hosts any layers.
    assert_eq!(send_request("/stream/x", "b2").await.status, 503);
    let end = &lines(&log, &["stream: id=b2 route=", "runs=0"])[0];
    assert_eq!(value(end, "outcome"), "overloaded");
    assert!(!lines(&log, &["paths: id=b2 no path", "lines_held_back="]).is_empty());

    // A delayed stream: an engine on its path stops responding.
    let mut engines = Vec::new();
    for n in 0..5 {
        engines.push(Backend::start(&format!("engine-{n}"), "model", &store).await);
    }
    wait_until("all engines host layers", async || engines.iter().all(Backend::holds_layers)).await;
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

    // A 502 that leaves open whether the request ran: the connection ends without a
    // response.
    let plain = Backend::start("plain-1", "plain", &store).await;
    sleep(Duration::from_millis(600)).await;
    plain.behaviour.set(Behaviour::RunAndClose);
    assert_eq!(send_request("/once/x", "c3").await.status, 502);
    let end = &lines(&log, &["request: id=c3", "status=502"])[0];
    assert_eq!((value(end, "outcome"), value(end, "runs")), ("backend_lost", "1"));
    let paused = &lines(&log, &["fleet: backend=plain-1 paused", "request=c3"])[0];
    assert_eq!(value(paused, "reason"), "no-answer");
    fs::remove_file(log).expect("remove log file");
}

/// The page quotes the keys and texts that the log lines have.
#[test]
fn the_page_names_what_the_log_names() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).expect("read docs/OPERATIONS.md");
    for part in [
        "repath away from backend=",
        "repaths=",
        "longest_pause_ms=",
        "waits for backend=",
        "down reason=stalled-run",
        "no path engines=",
        "lines_held_back=",
        "paused reason=no-answer request=",
        "outcome=backend_lost runs=1",
        "admission: id=",
        "direct_admissions",
        "direct_capacity_wait",
        "told to return after_ms=",
        "direct_callers_told_to_return",
        "direct_callers_returned{time=\"as-told\"}",
        "placed by cached parts tokens_saved=",
        "direct_prefix_tokens_saved",
        "direct_prefix_placements",
    ] {
        assert!(page.contains(part), "docs/OPERATIONS.md does not contain `{part}`");
    }
}
