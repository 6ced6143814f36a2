//! Backend servers: engines that hold layers, and plain ones.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use clementine_http1::{BufferedRequest, ReadLimits, ServerConn};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::{Store, anywhere};

/// Events of a stream.
const EVENTS: u64 = 20;
/// Pause between two events.
const PAUSE: Duration = Duration::from_millis(20);

/// What a backend server does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    Serve,
    /// Serves with an answer that ends with the connection.
    ServeUnframed,
    /// Says that it did not run the request.
    Refuse,
    /// Runs the request and closes the connection without an answer.
    RunAndClose,
    /// Answers with a failure after having run.
    Fail,
}

/// A backend server.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    store: Store,
    pool: &'static str,
    pub behaviour: Rc<Cell<Behaviour>>,
    /// Address of an engine that streams wait for from some event on.
    pub stalled_by: Rc<Cell<Option<SocketAddr>>>,
    /// Whether it says that it carries out an order.
    pub busy: Rc<Cell<bool>>,
    /// Whether it answers anything at all.
    pub dark: Rc<Cell<bool>>,
    /// Whether it was sent anything while dark.
    pub asked: Rc<Cell<bool>>,
    /// Events after which it breaks a stream off.
    pub break_after: Rc<Cell<Option<u64>>>,
    /// Whether it takes no new streams and says so of its health.
    pub leaving: Rc<Cell<bool>>,
    /// Whether it says of streams that it did not run them.
    pub refuses_streams: Rc<Cell<bool>>,
    /// Streams that it refused.
    pub refused: Rc<Cell<u32>>,
    /// Orders to come that it neither answers nor carries out.
    pub lost_orders: Rc<Cell<u32>>,
    /// Requests that it ran, with their paths through engines.
    pub ran: Rc<RefCell<Vec<String>>>,
    /// Ids of the requests that it ran, in order.
    pub ran_ids: Rc<RefCell<Vec<String>>>,
    /// Headers that it should not have been sent.
    pub strays: Rc<RefCell<Vec<String>>>,
    /// Id of the last stream that it was sent.
    last_stream: Rc<RefCell<String>>,
    /// Whether it refuses to change a run's path.
    pub refuses_repaths: Rc<Cell<bool>>,
    /// Changes of path that it was told.
    pub repaths: Rc<RefCell<Vec<Value>>>,
    layers: Rc<Cell<(u64, u64)>>,
    orders: Rc<Cell<u64>>,
}

impl Backend {
    /// Starts a backend server and lists it in the store.
    pub async fn start(id: &str, pool: &'static str, store: &Store) -> Self {
        let listener = TcpListener::bind(anywhere()).await.expect("bound");
        let backend = Self {
            id: id.into(),
            address: listener.local_addr().expect("an address"),
            store: store.clone(),
            pool,
            behaviour: Rc::new(Cell::new(Behaviour::Serve)),
            stalled_by: Rc::default(),
            busy: Rc::default(),
            dark: Rc::default(),
            asked: Rc::default(),
            break_after: Rc::default(),
            leaving: Rc::default(),
            refuses_streams: Rc::default(),
            refused: Rc::default(),
            lost_orders: Rc::default(),
            ran: Rc::default(),
            ran_ids: Rc::default(),
            strays: Rc::default(),
            last_stream: Rc::default(),
            refuses_repaths: Rc::default(),
            repaths: Rc::default(),
            layers: Rc::default(),
            orders: Rc::default(),
        };
        backend.list();
        let serving = backend.clone();
        spawn_local(async move {
            while let Ok((io, _)) = listener.accept().await {
                let conn = ServerConn::new(io, &ServerConn::codec_config()).expect("a connection");
                spawn_local(serving.clone().serve(conn));
            }
        });
        backend
    }

    pub fn holds_layers(&self) -> bool {
        let (from, to) = self.layers.get();
        from < to
    }

    fn held(&self) -> Value {
        let (from, to) = self.layers.get();
        json!({"from": from, "to": to, "version": 1})
    }

    fn list(&self) {
        let entry = json!({"service": self.pool, "address": self.address.to_string(), "zone": "a",
            "slots": 6, "state": "ready", "kind": "card", "layers": self.held(),
            "sequence": self.orders.get(), "born": 1});
        self.store.put("servers", &self.id, &entry.to_string());
    }

    async fn serve(self, mut conn: ServerConn) {
        let limits = ReadLimits::default();
        while conn.wait_request(&limits).await.is_ok() {
            let Ok(message) = conn.read_request(&limits).await else { return };
            if self.dark.get() {
                self.asked.set(true);
                sleep(Duration::from_mins(1)).await;
            }
            let keep = match message.head.uri.path() {
                "/-/report" => self.send_json(&mut conn, 200, &self.report()).await,
                "/health" => self.health(&mut conn).await,
                "/-/order" => self.order(&mut conn, &message).await,
                path if path.starts_with("/stream/") => self.stream(&mut conn, &message).await,
                _ => self.whole(&mut conn, &message).await,
            };
            if !keep {
                return;
            }
        }
    }

    async fn health(&self, conn: &mut ServerConn) -> bool {
        let status = if self.leaving.get() { 503 } else { 200 };
        let mut res = Response::with_body(StatusCode::from_u16(status).expect("a status"), ());
        let id = HeaderValue::from_str(&self.id).expect("a header value");
        res.headers_mut().insert(HeaderName::from_static("instance-id"), id);
        conn.send(res, &Bytes::new()).await.is_ok()
    }

    fn report(&self) -> Value {
        let stalled: Vec<Value> = self
            .stalled_by
            .get()
            .map(|at| json!({"id": *self.last_stream.borrow(), "address": at.to_string()}))
            .into_iter()
            .collect();
        json!({"layers": self.held(), "busy": self.busy.get(), "sequence": self.orders.get(),
            "born": 1, "stalled": stalled})
    }

    async fn order(&self, conn: &mut ServerConn, message: &BufferedRequest) -> bool {
        if self.lost_orders.get() > 0 {
            self.lost_orders.set(self.lost_orders.get() - 1);
            sleep(Duration::from_mins(1)).await;
        }
        let order: Value = serde_json::from_slice(&message.body).expect("an order");
        if order["operation"] == "repath" && self.refuses_repaths.get() {
            return self.send_json(conn, 409, &json!({})).await;
        }
        if order["operation"] == "repath" {
            self.repaths.borrow_mut().push(order);
            self.stalled_by.set(None);
            return self.send_json(conn, 200, &json!({})).await;
        }
        if order["precondition"] != self.orders.get() {
            return self.send_json(conn, 409, &json!({})).await;
        }
        self.orders.set(self.orders.get() + 1);
        self.layers.set((
            order["from"].as_u64().expect("a layer"),
            order["to"].as_u64().expect("a layer"),
        ));
        self.list();
        self.send_json(conn, 202, &json!({})).await
    }

    async fn send_json(&self, conn: &mut ServerConn, status: u16, body: &Value) -> bool {
        let status = StatusCode::from_u16(status).expect("a status");
        let body = Bytes::from(body.to_string());
        conn.send(Response::with_body(status, ()), &body).await.is_ok()
    }

    /// A signed answer that names its request.
    fn sealed(status: u16, message: &BufferedRequest) -> Response<()> {
        let mut res = Response::with_body(StatusCode::from_u16(status).expect("a status"), ());
        let seal = HeaderValue::from_static("seal");
        res.headers_mut().insert(HeaderName::from_static("server-seal"), seal);
        let name = HeaderName::from_static("request-id");
        if let Some(id) = message.head.headers().get(&name) {
            res.headers_mut().insert(name, id.clone());
        }
        res
    }

    fn note_run(&self, message: &BufferedRequest) {
        let header = |name: &str| message.head.headers().get(name)?.to_str().ok();
        self.ran_ids.borrow_mut().push(header("request-id").unwrap_or_default().into());
        if let Some(key) = header("x-api-key") {
            self.strays.borrow_mut().push(format!("the caller's key {key}"));
        }
        if header("tenant") != Some("w") {
            self.strays.borrow_mut().push(format!("workspace {:?}", header("tenant")));
        }
        let path = message.head.headers().get("hop-count").and_then(|value| value.to_str().ok());
        self.ran.borrow_mut().push(path.unwrap_or_default().into());
    }

    async fn whole(&self, conn: &mut ServerConn, message: &BufferedRequest) -> bool {
        let body = Bytes::from(format!("answer of {}", self.id));
        match self.behaviour.get() {
            Behaviour::Refuse => Self::refuse(conn).await,
            Behaviour::Serve => {
                self.note_run(message);
                conn.send(Self::sealed(200, message), &body).await.is_ok()
            }
            Behaviour::ServeUnframed => {
                self.note_run(message);
                let sent = conn.send_close_delimited(Self::sealed(200, message), &body).await;
                assert!(sent.is_ok());
                false
            }
            Behaviour::Fail => {
                self.note_run(message);
                conn.send(Self::sealed(500, message), &body).await.is_ok()
            }
            Behaviour::RunAndClose => {
                self.note_run(message);
                false
            }
        }
    }

    /// Says that the request did not run.
    async fn refuse(conn: &mut ServerConn) -> bool {
        let mut res = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, ());
        let yes = HeaderValue::from_static("1");
        res.headers_mut().insert(HeaderName::from_static("not-executed"), yes);
        conn.send(res, &Bytes::new()).await.is_ok()
    }

    async fn stream(&self, conn: &mut ServerConn, message: &BufferedRequest) -> bool {
        if self.refuses_streams.get() || self.leaving.get() {
            self.refused.set(self.refused.get() + 1);
            return Self::refuse(conn).await;
        }
        self.note_run(message);
        let id = message.head.headers().get("request-id").and_then(|id| id.to_str().ok());
        self.last_stream.replace(id.unwrap_or_default().into());
        let last = message.head.headers().get("last-event-id");
        let last = last.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
        conn.start_stream(Self::sealed(200, message)).expect("started");
        for id in last + 1..=EVENTS {
            if self.break_after.get().is_some_and(|events| id > last + events) {
                return false;
            }
            while self.stalled_by.get().is_some() && id > EVENTS / 2 {
                sleep(PAUSE).await;
            }
            sleep(PAUSE).await;
            let event = Bytes::from(format!("id: {id}\ndata: {id}\n\n"));
            if conn.send_chunk(event).await.is_err() {
                return false;
            }
        }
        conn.finish_stream().await.is_ok()
    }
}
