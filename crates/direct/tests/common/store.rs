//! Simulated store with rows, transactions and polling for changes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use clementine_http1::{BufferedRequest, ReadLimits, ServerConn};
use percent_encoding::percent_decode_str;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::loopback_any_port;

/// Table and key of a row.
pub type TableKey = (String, String);
/// Value and version of a row; removed rows are kept without a value.
type Row = (Option<Vec<u8>>, u64);

#[derive(Default)]
struct State {
    /// Number of times that the store was restored from a copy.
    era: u64,
    version: u64,
    rows: BTreeMap<TableKey, Row>,
}

/// Content of a store at one moment.
#[derive(Clone)]
pub struct StoreCopy {
    version: u64,
    rows: BTreeMap<TableKey, Row>,
}

/// In-memory store that serves the platform's HTTP interface.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
    /// How polls for changes are answered.
    pub poll_mode: Rc<Cell<PollMode>>,
    /// Whether the store receives calls and answers none, and the number of times
    /// that this began.
    silence: Rc<Cell<(bool, u32)>>,
    /// Whether the store refuses all calls.
    pub refuses: Rc<Cell<bool>>,
    /// Number of calls received.
    pub calls: Rc<Cell<u32>>,
    /// Maximum number of rows in a page.
    pub page_rows: Rc<Cell<usize>>,
    /// Row to remove after the next page that is not the last one.
    pub remove_after_page: Rc<RefCell<Option<TableKey>>>,
}

/// How a store answers polls for changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PollMode {
    /// As soon as there are changes, or when the wait time of the poll expires.
    #[default]
    LongPoll,
    /// Immediately, with or without changes.
    Immediate,
    /// Not at all on connections that were opened before this mode was set; like
    /// `LongPoll` on later ones.
    NoResponse,
}

#[derive(Deserialize)]
struct Transaction {
    precondition: Vec<RowBody>,
    upserts: Vec<RowBody>,
}

#[derive(Deserialize)]
struct RowBody {
    table: String,
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    ver: u64,
}

impl Store {
    pub async fn start() -> Self {
        let listener = TcpListener::bind(loopback_any_port()).await.expect("bind loopback address");
        let address = listener.local_addr().expect("local address");
        let store = Self {
            address,
            state: Rc::default(),
            changed: Rc::default(),
            poll_mode: Rc::default(),
            silence: Rc::default(),
            refuses: Rc::default(),
            calls: Rc::default(),
            page_rows: Rc::new(Cell::new(usize::MAX)),
            remove_after_page: Rc::default(),
        };
        spawn_local(store.clone().accept(listener));
        store
    }

    /// Serves the same rows at another address, with its own poll mode and call
    /// counter.
    pub async fn serve_on_another_address(&self) -> Self {
        let listener = TcpListener::bind(loopback_any_port()).await.expect("bind loopback address");
        let address = listener.local_addr().expect("local address");
        let store =
            Self { address, poll_mode: Rc::default(), calls: Rc::default(), ..self.clone() };
        spawn_local(store.clone().accept(listener));
        store
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((io, _)) = listener.accept().await {
            let conn = ServerConn::new(io, &ServerConn::codec_config()).expect("connection setup");
            spawn_local(self.clone().serve(conn));
        }
    }

    /// Stops answering, or answers again. Calls that were received or in progress
    /// during the silence never get a response.
    pub fn set_silent(&self, silent: bool) {
        let (_, begun) = self.silence.get();
        self.silence.set((silent, begun + u32::from(silent)));
    }

    /// Writes a row unconditionally.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(value.as_bytes().to_vec()));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Keys of the rows of a table, without removed ones.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.borrow();
        let rows = state
            .rows
            .iter()
            .filter(|((row_table, _), (value, _))| row_table == table && value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.borrow();
        state.rows.get(&(table.into(), key.into()))?.0.clone()
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state.borrow_mut();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.into(), key.into()), (value, version));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Copies the current content.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.borrow();
        StoreCopy { version: state.version, rows: state.rows.clone() }
    }

    /// Restores the content of a copy. Everything written since is gone, and its
    /// versions are assigned again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.borrow_mut();
        state.era += 1;
        state.version = copy.version;
        state.rows = copy.rows;
        drop(state);
        self.changed.notify_waiters();
    }

    async fn serve(self, mut conn: ServerConn) {
        let limits = ReadLimits::default();
        let opened_in_no_response = self.poll_mode.get() == PollMode::NoResponse;
        while conn.wait_request(&limits).await.is_ok() {
            let Ok(request) = conn.read_request(&limits).await else { return };
            self.calls.set(self.calls.get() + 1);
            let silence = self.silence.get();
            if silence.0 {
                return conn.wait_closed().await;
            }
            let is_poll = request.head.uri.path() == "/-/rows-feed";
            let (status, body) =
                if self.refuses.get() { (503, json!({})) } else { self.handle(&request).await };
            let poll_lost = is_poll && self.poll_mode.get() == PollMode::NoResponse;
            if self.silence.get() != silence || poll_lost && !opened_in_no_response {
                return conn.wait_closed().await;
            }
            let status = StatusCode::from_u16(status).expect("valid status");
            let body = Bytes::from(body.to_string());
            let mut response = Response::with_body(status, ());
            let era = HeaderValue::from(self.state.borrow().era);
            response.headers_mut().insert(HeaderName::from_static("store-era"), era);
            if conn.send(response, &body).await.is_err() {
                return;
            }
        }
    }

    async fn handle(&self, request: &BufferedRequest) -> (u16, Value) {
        let query: BTreeMap<&str, &str> = request
            .head
            .uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        match request.head.uri.path() {
            "/-/rows-get" => {
                let from = percent_decode_str(query["from"]).decode_utf8().expect("valid key");
                (200, self.page(query["table"], &from))
            }
            "/-/rows-feed" => {
                let after = query["after"].parse().expect("valid version");
                let wait = query["wait-ms"].parse().expect("valid wait time");
                if after > self.state.borrow().version {
                    return (410, json!({}));
                }
                (200, self.poll_changes(query["table"], after, Duration::from_millis(wait)).await)
            }
            "/-/rows-tx" => self.transact(&request.body),
            path => panic!("unknown store call: {path}"),
        }
    }

    /// A page of the rows of a table from a key.
    fn page(&self, table: &str, from: &str) -> Value {
        let mut page = self.rows(table, 0, false);
        let rows = page["rows"].as_array_mut().expect("rows");
        rows.retain(|row| row["key"].as_str().is_some_and(|key| key >= from));
        let truncated = rows.len() > self.page_rows.get();
        rows.truncate(self.page_rows.get());
        page["truncated"] = truncated.into();
        let removed = truncated.then(|| self.remove_after_page.take()).flatten();
        if let Some((table, key)) = removed {
            self.remove(&table, &key);
        }
        page
    }

    fn rows(&self, table: &str, after: u64, removed: bool) -> Value {
        let state = self.state.borrow();
        let table_rows = state.rows.iter().filter(|((row_table, _), (value, version))| {
            row_table == table && *version > after && (removed || value.is_some())
        });
        let rows: Vec<Value> = table_rows
            .map(|((table, key), (value, version))| {
                let content = STANDARD.encode(value.as_deref().unwrap_or_default());
                json!({"table": table, "part": "", "key": key, "value": content, "ver": version,
                    "tombstone": value.is_none()})
            })
            .collect();
        json!({"rows": rows, "truncated": false, "ver": state.version, "now-ms": 0})
    }

    async fn poll_changes(&self, table: &str, after: u64, wait: Duration) -> Value {
        let changes = async {
            loop {
                let changed = self.changed.notified();
                let found = self.rows(table, after, true);
                if found["ver"].as_u64().is_some_and(|version| version < after) {
                    return found;
                }
                if found["rows"].as_array().is_some_and(|rows| !rows.is_empty()) {
                    return found;
                }
                changed.await;
            }
        };
        let wait = if self.poll_mode.get() == PollMode::Immediate { Duration::ZERO } else { wait };
        timeout(wait, changes).await.unwrap_or_else(|_| self.rows(table, u64::MAX, true))
    }

    fn transact(&self, body: &Bytes) -> (u16, Value) {
        let transaction: Transaction = serde_json::from_slice(body).expect("valid transaction");
        let version = |row: &RowBody| {
            let state = self.state.borrow();
            let found = state.rows.get(&(row.table.clone(), row.key.clone()));
            found.filter(|(value, _)| value.is_some()).map_or(0, |(_, version)| *version)
        };
        if transaction.precondition.iter().any(|row| version(row) != row.ver) {
            return (412, json!({"rows": []}));
        }
        for row in transaction.upserts {
            let value = STANDARD.decode(&row.value).expect("valid base64");
            self.write(&row.table, &row.key, Some(value));
        }
        (200, json!({"ver": self.state.borrow().version, "now-ms": 0}))
    }
}
