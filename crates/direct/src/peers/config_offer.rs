//! Configurations that entries take from each other.
//!
//! An entry that starts while the store is unavailable, or has been restored from
//! a copy with an older configuration, takes the newest one that a neighbor has.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{self, HeaderValue};
use actix_http::{RequestHead, Response, StatusCode, Uri};
use bytes::Bytes;
use clementine_decide::ids::{EntryId, Tick};
use clementine_decide::peers::ConfigOffer;
use clementine_http1::{ClientConn, ReadLimits, ServerConn};
use clementine_objects::Millis;
use clementine_platform::config::decode_config;
use compact_str::{CompactString, ToCompactString};
use snafu::Snafu;
use spdlog::{debug, info, warn};
use tokio::time::{sleep, timeout};

use crate::shared::SharedState;

/// Interval at which the neighbors' offers are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which an entry that has a configuration waits for a newer one from the
/// store.
const STORE_GRACE: Millis = Millis(1_500);
/// Time limit for fetching a configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a configuration could not be taken.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum size of a configuration in bytes.
const MAX_CONFIG_BYTES: usize = 8 * 1024 * 1024;

/// A configuration could not be taken from a neighbor.
#[derive(Debug, Snafu)]
#[snafu(display("{reason}"))]
struct FetchError {
    reason: CompactString,
}

fn fetch_error(error: impl std::fmt::Display) -> FetchError {
    FetchError { reason: error.to_compact_string() }
}

/// Serves the configuration in force to one neighbor.
pub(super) async fn serve_config(conn: ServerConn, shared: Rc<SharedState>) {
    if let Err(error) = send_config(conn, &shared).await {
        debug!("config: sending it to a neighbor failed: {}", error);
    }
}

async fn send_config(mut conn: ServerConn, shared: &SharedState) -> io::Result<()> {
    let limits = ReadLimits::default();
    let received = conn.wait_request(&limits).await.is_ok();
    if received && conn.read_request(&limits).await.is_ok() {
        let document = shared.config_document();
        let status = if document.is_some() { StatusCode::OK } else { StatusCode::NOT_FOUND };
        conn.send(Response::with_body(status, ()), &document.unwrap_or_default()).await?;
    }
    conn.close().await;
    Ok(())
}

/// Takes configurations from neighbors that have a newer one, until the process
/// ends.
pub(super) async fn take_newer_configs(shared: Rc<SharedState>) {
    let mut offered_since: Option<(u64, Tick)> = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        let current = shared.routing_table().map(|table| table.version);
        let offer = shared.peers.borrow().newest_config(now);
        let newer = offer.filter(|(_, offer)| current.is_none_or(|own| own < offer.version));
        let Some((entry, offer)) = newer else {
            offered_since = None;
            continue;
        };
        let since = match offered_since {
            Some((version, since)) if version <= offer.version => since,
            _ => now,
        };
        offered_since = Some((offer.version, since));
        if current.is_some() && now.since(since) < STORE_GRACE {
            continue;
        }
        if let Err(error) = take(&shared, &entry, offer).await {
            warn!("config: cannot be taken from entry={}: {}", entry, error);
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Fetches the configuration that a neighbor offers and applies it.
async fn take(shared: &SharedState, entry: &EntryId, offer: ConfigOffer) -> Result<(), FetchError> {
    let fetched = timeout(FETCH_TIMEOUT, fetch(shared, offer.address)).await;
    let document = fetched.map_err(fetch_error).flatten()?;
    let table = decode_config(&document).map_err(fetch_error)?;
    info!(
        "config: version {} taken from entry={}, the store has not given it",
        table.version, entry
    );
    shared.apply_config(table, document);
    Ok(())
}

async fn fetch(shared: &SharedState, address: SocketAddr) -> Result<Bytes, FetchError> {
    let connected = ClientConn::connect(address, FETCH_TIMEOUT, &shared.codec).await;
    let mut conn = connected.map_err(fetch_error)?;
    let mut head = RequestHead::default();
    head.uri = Uri::from_static("/config");
    let host = HeaderValue::from_str(&address.to_string()).map_err(fetch_error)?;
    head.headers.insert(header::HOST, host);
    conn.queue(head, Bytes::new()).map_err(fetch_error)?;
    let head = conn.read_head().await.map_err(fetch_error)?;
    if head.status != StatusCode::OK {
        return Err(fetch_error(head.status));
    }
    conn.read_body(MAX_CONFIG_BYTES).await.map_err(fetch_error)
}
