//! An order for a server that is gone reaches the server that has its address now.

#[path = "../1/lab.rs"]
mod lab;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lab::*;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Time after which an address may be used again (`reuse-after-s`).
const REUSE_AFTER: Duration = Duration::from_secs(2);
/// Time after its start at which the added server is lost, while it loads its layers.
const LOST_AFTER: Duration = Duration::from_millis(400);
/// Silence after which a server's row is removed: three heartbeats of 1.2 s.
const ROW_EXPIRY: Duration = Duration::from_millis(3_600);
/// Time in which a server that starts writes its first row.
const FIRST_BEAT: Duration = Duration::from_millis(800);

/// A model service.
struct Service {
    name: &'static str,
    layers: u32,
    layer_mb: u32,
    kind: &'static str,
    megabytes: u32,
    kv_token_bytes: u32,
}

/// The assistant, on large cards, and a small model, on small ones.
const LARGE: Service = Service {
    name: "huvo11a",
    layers: 80,
    layer_mb: 1_750,
    kind: "h100",
    megabytes: 72_000,
    kv_token_bytes: 590_000,
};
const SMALL: Service = Service {
    name: "wuno96b",
    layers: 20,
    layer_mb: 700,
    kind: "t4",
    megabytes: 14_400,
    kv_token_bytes: 100_000,
};
/// Time to load a whole model. Loads before the first request take a tenth of it.
const LOAD: Duration = Duration::from_millis(1_400);

fn service_text(service: &Service) -> String {
    let Service { name, layers, layer_mb, kind, megabytes, kv_token_bytes } = service;
    format!(
        r#"{{"name":"{name}","health-path":"/health","max-conns":1128,"protocol":"h1","tls":false,"engine":{{"slots":192,"kv-capacity-tokens":100000,"kv-token-bytes":{kv_token_bytes},"link-mbps":480000.0,"stride":2,"models":[{{"name":"m-{name}","pace":1.0,"load-s":14.0,"warm-s":1.0}}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,"pairs_per_m":0.166,"chunk":512,"report_lag_ms":200.0,"loads_at_once":6,"delays":[],"usual":{{"prompt":772,"answer":167}},"layers":{layers},"layer-mb":{layer_mb}.0,"activation-bytes":29500,"pipe-mbps":13000.0,"kinds":[{{"name":"{kind}","megabytes":{megabytes}.0,"pace":1.4,"read-factor":1.0}}]}}}}"#
    )
}

fn config() -> String {
    let route = |name: &str, prefix: &str, service: &Service| {
        format!(
            r#"{{"name":"{name}","host":"ficu95.example","prefix":"{prefix}","kind":"streaming","timeout-ms":20000,"target-latency-ms":500,"priority":1,"service":"{}","max-attempts":2,"public":false,"sticky":true,"resumable":true,"target-gap-ms":200}}"#,
            service.name
        )
    };
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{},{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":["{KEY}"],"priority":1}}]}}"#,
        route("r-large", "/lohu930/", &LARGE),
        route("r-small", "/pufi791/", &SMALL),
        service_text(&LARGE),
        service_text(&SMALL)
    )
}

#[derive(Default)]
struct Loaded {
    layers: Option<(u32, u32)>,
    /// Orders that were begun.
    sequence: u32,
    /// The layers that are being loaded, and when they are.
    loading: Option<((u32, u32), Instant)>,
}

/// A model server.
#[derive(Clone)]
struct Server {
    id: String,
    service: &'static Service,
    address: SocketAddr,
    born: u64,
    loaded: Arc<Mutex<Loaded>>,
    dead: Arc<AtomicBool>,
    record: Record,
    store: Store,
    /// Orders beyond the memory of a server, of all servers.
    beyond: Arc<Mutex<Vec<String>>>,
}

impl Server {
    fn start(
        case: &Case,
        store: &Store,
        beyond: &Arc<Mutex<Vec<String>>>,
        id: &str,
        service: &'static Service,
        address: SocketAddr,
    ) -> Self {
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let server = Self {
            id: id.to_owned(),
            service,
            address,
            born: born.as_millis() as u64,
            loaded: Arc::default(),
            dead: Arc::default(),
            record: case.record.clone(),
            store: store.clone(),
            beyond: Arc::clone(beyond),
        };
        case.record.line(&format!(
            "server {id} of service {} ({} with {} MB) starts at {address}",
            service.name, service.kind, service.megabytes
        ));
        let handler = server.clone();
        if let Err(error) =
            serve_until(address, Arc::clone(&server.dead), move |conn| handler.connection(conn))
        {
            case.cannot_run(&format!("a server cannot listen at {address}: {error}"));
        }
        server
    }

    fn die(&self) {
        self.dead.store(true, Ordering::Relaxed);
    }

    fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }

    /// Writes the row whenever it changes, until the server is dead.
    fn keep_row(&self) {
        let server = self.clone();
        thread::spawn(move || {
            let mut written = String::new();
            while !server.is_dead() {
                let row = server.row();
                if row != written {
                    server.store.put("servers", &server.id, &row);
                    written = row;
                }
                thread::sleep(Duration::from_millis(100));
            }
        });
    }

    /// Fields that the row and the report have in common.
    fn state(&self) -> String {
        let mut loaded = self.loaded.lock().unwrap();
        if let Some((layers, done)) = loaded.loading
            && Instant::now() >= done
        {
            loaded.layers = Some(layers);
            loaded.loading = None;
        }
        let layers = loaded.layers.map_or(String::new(), |(from, to)| {
            format!("\"layers\":{{\"from\":{from},\"to\":{to},\"version\":1}},")
        });
        format!(
            "\"stage\":\"unified\",\"models\":[{{\"name\":\"m-{}\",\"version\":1,\"adapters\":[]}}],{layers}\
             \"kind\":\"{}\",\"born\":{},\"sequence\":{}",
            self.service.name, self.service.kind, self.born, loaded.sequence
        )
    }

    fn row(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"bg-south-a\",\"version\":\"v1\",\"slots\":192,\
             \"state\":\"ready\",\"cold-remaining-ms\":0,{}}}",
            self.service.name,
            self.address,
            self.state()
        )
    }

    fn connection(&self, mut conn: Reader) {
        while let Ok(req) = conn.request() {
            if self.is_dead() {
                return;
            }
            let (status, body) = self.answer(&req);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nInstance-Id: {}\r\nContent-Length: {}\r\n\r\n",
                self.id,
                body.len()
            );
            if self.is_dead() || conn.io.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Request) -> (u16, String) {
        if is_for_another(req, &self.id) {
            return (421, String::new());
        }
        match (req.method.as_str(), req.path()) {
            ("GET", "/health") => (200, String::new()),
            ("GET", "/-/report") => {
                let state = self.state();
                let busy = self.loaded.lock().unwrap().loading.is_some();
                (
                    200,
                    format!(
                        "{{{state},\"busy\":{busy},\"queued\":0,\"active\":0,\"kv-used\":0,\"kv-total\":100000,\"pace\":1.0,\"handles\":0}}"
                    ),
                )
            }
            ("POST", "/-/order") => (self.order(req), String::new()),
            _ => (503, String::new()),
        }
    }

    fn order(&self, req: &Request) -> u16 {
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let Some(order) = Json::parse(&text) else { return 400 };
        if order.text("operation") != "place" {
            return 400;
        }
        self.state();
        let mut loaded = self.loaded.lock().unwrap();
        let expected = order.get("precondition").map(|_| order.number("precondition") as u32);
        let stale = expected.is_some_and(|expected| expected != loaded.sequence);
        if stale || loaded.loading.is_some() {
            self.record.line(&format!("server {} rejects the order {text}", self.id));
            return 409;
        }
        let (from, to) = (order.number("from") as u32, order.number("to") as u32);
        let needed = (to - from) * self.service.layer_mb;
        self.record.line(&format!(
            "server {} of service {} is ordered to hold layers {from} to {to}, expect-instance: {:?}, body {text}",
            self.id,
            self.service.name,
            req.header("expect-instance")
        ));
        if needed > self.service.megabytes {
            let reason = format!(
                "server {} of service {} with {} MB was ordered to hold {} layers, {needed} MB",
                self.id,
                self.service.name,
                self.service.megabytes,
                to - from
            );
            self.beyond.lock().unwrap().push(reason);
            self.record.line(&format!("server {} crashes: the layers exceed its memory", self.id));
            self.die();
            return 202;
        }
        loaded.sequence += 1;
        let time = LOAD * (to - from) / self.service.layers.max(1);
        loaded.loading = Some(((from, to), Instant::now() + time));
        202
    }
}

fn main() {
    let case = Case::begin("5");
    let store = Store::new();
    let port = store.serve(case.ip(200));
    let beyond: Arc<Mutex<Vec<String>>> = Arc::default();
    let at = |n: u8| SocketAddr::from((case.ip(n), 8228));
    store.put("op", "config", &config());
    let mut servers = Vec::new();
    for (n, service) in [(101, &LARGE), (102, &LARGE), (103, &LARGE), (111, &SMALL), (113, &SMALL)]
    {
        let server = Server::start(&case, &store, &beyond, &format!("i-{n}"), service, at(n));
        server.keep_row();
        servers.push(server);
    }
    let entries = [1, 2].map(|n| case.start_entry(n, "bg-south-a", port.address));
    for entry in &entries {
        case.wait_ready(entry);
    }
    let end = Instant::now() + Duration::from_secs(20);
    while servers.iter().any(|server| server.loaded.lock().unwrap().layers.is_none()) {
        if Instant::now() > end {
            case.cannot_run("the servers do not get their layers");
        }
        thread::sleep(Duration::from_millis(100));
    }
    case.record.line("all servers hold layers");
    thread::sleep(Duration::from_secs(4));

    // One more large server is added.
    let added = Server::start(&case, &store, &beyond, "i-104", &LARGE, at(104));
    store.put("servers", &added.id, &added.row());
    let listed = Instant::now();
    let small_address = if case.trouble {
        thread::sleep(LOST_AFTER);
        added.die();
        case.record.line("server i-104 is lost for good while it loads; it sends nothing any more");
        at(104)
    } else {
        added.keep_row();
        at(112)
    };
    thread::sleep(REUSE_AFTER + Duration::from_millis(100));
    let small = Server::start(&case, &store, &beyond, "i-112", &SMALL, small_address);
    thread::sleep(FIRST_BEAT);
    small.keep_row();
    if case.trouble {
        thread::sleep(ROW_EXPIRY.saturating_sub(listed.elapsed()));
        store.remove("servers", "i-104");
        case.record.line("the row of i-104 has expired");
    }
    thread::sleep(Duration::from_secs(6));
    for entry in &entries {
        for line in entry.log_lines("i-104").iter().take(12) {
            case.record.line(&format!("log of {}: {line}", entry.name));
        }
    }
    let broken = beyond.lock().unwrap().first().map(|reason| format!("LIMIT: {reason}"));
    case.verdict(broken);
}
