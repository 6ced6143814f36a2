//! An entry whose log nobody reads for a while.

mod common;

use std::time::Duration;

use actix_rt::test;
use common::{
    Backend, EntryProcess, send_request, send_request_with_headers, start_configured_store,
    wait_until,
};
use futures::future::join_all;
use tokio::time::timeout;

/// Requests sent meanwhile, each with a line in the log: several times what a pipe takes.
const REQUESTS: usize = 4_000;
/// Requests in flight at once.
const AT_ONCE: usize = 40;
/// Far more than one of these requests takes.
const LIMIT: Duration = Duration::from_secs(5);

/// Guards against an entry that stands still, with all that it serves, because a line of
/// its log is not read.
#[test]
async fn entry_serves_while_its_log_is_not_read() {
    let store = start_configured_store(0).await;
    let _server = Backend::start("plain-1", "plain", &store).await;
    let entry = EntryProcess::start("stalled-log", "a", 0, &store).await;
    let to = entry.callers_address().expect("the entry runs");
    wait_until("the entry serves", async || {
        send_request(to, "POST", "/safe/x", "x").await.status == 200
    })
    .await;
    entry.with_process(|process| process.set_unread(true));
    for first in (0..REQUESTS).step_by(AT_ONCE) {
        let ids: Vec<String> = (first..first + AT_ONCE).map(|n| format!("{n:016x}")).collect();
        let sent = ids.iter().map(|id| async move {
            let headers = [("x-api-key", "key"), ("request-id", id.as_str())];
            let sent = send_request_with_headers(to, "POST", "/safe/x", "x", &headers);
            timeout(LIMIT, sent).await.map(|response| response.status)
        });
        let statuses = join_all(sent).await;
        assert!(statuses.iter().all(|status| *status == Ok(200)), "after {first}: {statuses:?}");
    }
    entry.with_process(|process| process.set_unread(false));
    let last = format!("request: id={:016x} ", REQUESTS - 1);
    entry.with_process(|process| drop(process.wait_for_line(&last)));
}
