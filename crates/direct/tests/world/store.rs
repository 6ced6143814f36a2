//! A store with rows, transactions and a change feed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Response, StatusCode};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use clementine_http1::{BufferedRequest, ReadLimits, ServerConn};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::anywhere;

/// Table and key of a row.
type TableKey = (String, String);
/// Value and version of a row; removed rows have no value.
type Row = (Option<Vec<u8>>, u64);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<TableKey, Row>,
}

/// A store with rows, transactions and a change feed.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
    /// How questions for changes are answered.
    pub feeds: Rc<Cell<Feeds>>,
    /// Calls since the start.
    pub calls: Rc<Cell<u32>>,
}

/// How a store answers questions for changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Feeds {
    /// Once there are changes, or the time is over.
    #[default]
    Wait,
    /// At once, changes or not.
    AtOnce,
    /// Never, on connections that were open when this began.
    Silent,
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
        let listener = TcpListener::bind(anywhere()).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let store = Self {
            address,
            state: Rc::default(),
            changed: Rc::default(),
            feeds: Rc::default(),
            calls: Rc::default(),
        };
        spawn_local(store.clone().accept(listener));
        store
    }

    /// The same rows at another address, where questions for changes are
    /// answered differently.
    pub async fn another_address(&self) -> Self {
        let listener = TcpListener::bind(anywhere()).await.expect("bound");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, feeds: Rc::default(), calls: Rc::default(), ..self.clone() };
        spawn_local(store.clone().accept(listener));
        store
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((io, _)) = listener.accept().await {
            let conn = ServerConn::new(io, &ServerConn::codec_config()).expect("a connection");
            spawn_local(self.clone().serve(conn));
        }
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(value.as_bytes().to_vec()));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.borrow();
        let rows = state.rows.iter().filter(|((of, _), (value, _))| of == table && value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.borrow();
        state.rows.get(&(table.into(), key.into()))?.0.clone()
    }

    fn change(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.state.borrow_mut();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.into(), key.into()), (value, version));
        drop(state);
        self.changed.notify_waiters();
    }

    async fn serve(self, mut conn: ServerConn) {
        let limits = ReadLimits::default();
        let opened_silent = self.feeds.get() == Feeds::Silent;
        while conn.wait_request(&limits).await.is_ok() {
            let Ok(message) = conn.read_request(&limits).await else { return };
            self.calls.set(self.calls.get() + 1);
            let is_feed = message.head.uri.path() == "/-/rows-feed";
            let (status, body) = self.answer(&message).await;
            if is_feed && self.feeds.get() == Feeds::Silent && !opened_silent {
                return conn.wait_closed().await;
            }
            let status = StatusCode::from_u16(status).expect("a status");
            let body = Bytes::from(body.to_string());
            if conn.send(Response::with_body(status, ()), &body).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, message: &BufferedRequest) -> (u16, Value) {
        let query: BTreeMap<&str, &str> = message
            .head
            .uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        match message.head.uri.path() {
            "/-/rows-get" => (200, self.rows(query["table"], 0, false)),
            "/-/rows-feed" => {
                let after = query["after"].parse().expect("a version");
                let wait = query["wait-ms"].parse().expect("a time");
                (200, self.feed(query["table"], after, Duration::from_millis(wait)).await)
            }
            "/-/rows-tx" => self.transact(&message.body),
            path => panic!("no such call: {path}"),
        }
    }

    fn rows(&self, table: &str, after: u64, removed: bool) -> Value {
        let state = self.state.borrow();
        let of_table = state.rows.iter().filter(|((of, _), (value, version))| {
            of == table && *version > after && (removed || value.is_some())
        });
        let rows: Vec<Value> = of_table
            .map(|((table, key), (value, version))| {
                let content = STANDARD.encode(value.as_deref().unwrap_or_default());
                json!({"table": table, "part": "", "key": key, "value": content, "ver": version,
                    "tombstone": value.is_none()})
            })
            .collect();
        json!({"rows": rows, "truncated": false, "ver": state.version, "now-ms": 0})
    }

    async fn feed(&self, table: &str, after: u64, wait: Duration) -> Value {
        let news = async {
            loop {
                let changed = self.changed.notified();
                let found = self.rows(table, after, true);
                if found["rows"].as_array().is_some_and(|rows| !rows.is_empty()) {
                    return found;
                }
                changed.await;
            }
        };
        let wait = if self.feeds.get() == Feeds::AtOnce { Duration::ZERO } else { wait };
        timeout(wait, news).await.unwrap_or_else(|_| self.rows(table, u64::MAX, true))
    }

    fn transact(&self, body: &Bytes) -> (u16, Value) {
        let transaction: Transaction = serde_json::from_slice(body).expect("a transaction");
        let version = |row: &RowBody| {
            let state = self.state.borrow();
            let found = state.rows.get(&(row.table.clone(), row.key.clone()));
            found.filter(|(value, _)| value.is_some()).map_or(0, |(_, version)| *version)
        };
        if transaction.precondition.iter().any(|row| version(row) != row.ver) {
            return (412, json!({"rows": []}));
        }
        for row in transaction.upserts {
            let value = STANDARD.decode(&row.value).expect("base64");
            self.change(&row.table, &row.key, Some(value));
        }
        (200, json!({"ver": self.state.borrow().version, "now-ms": 0}))
    }
}
