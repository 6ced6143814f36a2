//! Reload of the settings file of an entry that runs as a process.

mod common;

use std::path::{Path, PathBuf};
use std::{env, fs, process};

use actix_rt::test;
use clementine_e2e::Process;
use common::{Store, config, send_request, wait_until};
use tokio::task::spawn_blocking;

fn write_settings(path: &Path, store: &Store, bounds: &str) {
    let text = format!(
        "node=one\nip=127.0.0.1\nzone=a\nlisten.front=127.0.0.1:0\nlisten.ready=127.0.0.1:0\n\
         internal-ports=0,0\nlimits.link-mbps=1000\nbounds.grace-s=8\n\
         bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\n{bounds}\n\
         platform.address={}\n",
        store.address
    );
    fs::write(path, text).expect("write settings file");
}

/// Waits for a log line on another thread, because the simulated store runs on
/// this one.
async fn wait_for_line(entry: Process, text: &'static str) -> Process {
    let waited = spawn_blocking(move || {
        entry.wait_for_line(text);
        entry
    });
    waited.await.expect("the log line is printed")
}

fn settings_path() -> PathBuf {
    env::temp_dir().join(format!("clementine-reload-{}.conf", process::id()))
}

#[test]
async fn changed_settings_take_effect_with_and_without_sighup_unless_invalid() {
    let store = Store::start().await;
    store.put("op", "config", &config(1, 12));
    let path = settings_path();
    write_settings(&path, &store, "bounds.retry-budget-slack=101");
    let variable = ("CLEMENTINEHUB_CONFIG", path.as_os_str());
    let entry = Process::start_with_env("clementine-entry", &["direct".into()], &[variable]);
    let callers = entry.wait_for_address("callers=");
    wait_until("the entry serves requests", async || {
        send_request(callers, "GET", "/none/", "").await.status == 404
    })
    .await;

    write_settings(&path, &store, "bounds.retry-budget-slack=102");
    entry.send_sighup();
    let entry = wait_for_line(entry, "retry_reserve: 102").await;

    write_settings(&path, &store, "bounds.retry-budget-slack=103");
    let entry = wait_for_line(entry, "retry_reserve: 103").await;

    write_settings(&path, &store, "bounds.retry-budget-slack=many");
    let _entry = wait_for_line(entry, "the last ones stay in force").await;
    assert_eq!(
        send_request(callers, "GET", "/none/", "").await.status,
        404,
        "the entry keeps serving"
    );
    fs::remove_file(path).expect("remove settings file");
}
