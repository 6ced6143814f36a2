//! Requests whose attempt is late, slow, silent or lost are sent again only as often as
//! their kind and the limit of their route allow.

mod common;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::test;
use clementine_direct::Running;
use clementine_e2e::{ScriptedRequest, ScriptedServer, Step};
use common::{Store, send_request_with_headers, signed_head, start_entry};
use futures::future::join_all;
use serde_json::json;
use tokio::time::sleep;

/// Servers of each pool.
const SERVERS: usize = 4;
/// Events, or parts, of a complete response.
const EVENTS: u64 = 3;
/// Later than the silence before the first event after which another attempt is
/// considered.
const LATE: Duration = Duration::from_millis(1_600);
/// Longer than the silence between events after which another attempt is considered.
const SLOW: Duration = Duration::from_millis(960);
/// Longer than the callers' deadline.
const FOREVER: Duration = Duration::from_secs(20);
/// Callers' deadline in ms.
const DEADLINE: &str = "4000";

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    ResumableStream,
    Stream,
    Safe,
    Unsafe,
}

impl Kind {
    const ALL: [Self; 4] = [Self::ResumableStream, Self::Stream, Self::Safe, Self::Unsafe];

    const fn is_repeatable(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Safe)
    }

    const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    const fn name(self) -> &'static str {
        match self {
            Self::ResumableStream | Self::Stream => "streaming",
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
        }
    }
}

/// What each server does with a request that it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Conduct {
    NoHead,
    LateHead,
    LateFirstEvent,
    Slow,
    SilentAfterEvents,
    /// It stops to accept connections, so that it is found down, before the head.
    DownBeforeHead,
    /// Like `DownBeforeHead`, after some events.
    DownAfterEvents,
    BreaksOff,
}

impl Conduct {
    const ALL: [Self; 8] = [
        Self::NoHead,
        Self::LateHead,
        Self::LateFirstEvent,
        Self::Slow,
        Self::SilentAfterEvents,
        Self::DownBeforeHead,
        Self::DownAfterEvents,
        Self::BreaksOff,
    ];

    /// Whether the server ends. Attempts at servers that end do not count.
    const fn ends_server(self) -> bool {
        matches!(self, Self::DownBeforeHead | Self::DownAfterEvents)
    }

    fn steps(self, request: &ScriptedRequest) -> Vec<Step> {
        let head = Step::send(signed_head(request, 200, "transfer-encoding: chunked\r\n"));
        let first = request.header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
        let event = |id: u64| {
            let text = format!("id: {id}\ndata: {id}\n\n");
            Step::send(format!("{:x}\r\n{text}\r\n", text.len()))
        };
        let rest = |pause: Duration| {
            let events = (first..=EVENTS).flat_map(|id| [Step::Wait(pause), event(id)]);
            events.chain([Step::send("0\r\n\r\n")]).collect::<Vec<_>>()
        };
        match self {
            Self::NoHead | Self::DownBeforeHead => vec![Step::Wait(FOREVER)],
            Self::LateHead => [vec![Step::Wait(LATE), head], rest(Duration::ZERO)].concat(),
            Self::LateFirstEvent => [vec![head, Step::Wait(LATE)], rest(Duration::ZERO)].concat(),
            Self::Slow => [vec![head], rest(SLOW)].concat(),
            Self::SilentAfterEvents | Self::DownAfterEvents => {
                vec![head, event(first), Step::Wait(FOREVER)]
            }
            Self::BreaksOff => vec![head, event(first), Step::Close],
        }
    }
}

/// Requests of one kind on a route of their own, whose servers all do the same.
struct Case {
    name: String,
    kind: Kind,
    conduct: Conduct,
    max_attempts: u32,
    /// Whether the servers host the layers of a model.
    layered: bool,
    servers: Rc<RefCell<Vec<ScriptedServer>>>,
    /// Servers that ran the request, in order.
    runs: Rc<RefCell<Vec<usize>>>,
}

impl Case {
    fn all() -> Vec<Self> {
        let mut cases = Vec::new();
        for kind in Kind::ALL {
            for conduct in Conduct::ALL {
                for max_attempts in 1..=3 {
                    for layered in [false, true] {
                        if layered && !kind.is_stream() {
                            continue;
                        }
                        cases.push(Self {
                            name: format!("c{}", cases.len()),
                            kind,
                            conduct,
                            max_attempts,
                            layered,
                            servers: Rc::default(),
                            runs: Rc::default(),
                        });
                    }
                }
            }
        }
        cases
    }

    fn route(&self) -> serde_json::Value {
        json!({"name": self.name, "host": "h", "prefix": format!("/{}/", self.name),
            "kind": self.kind.name(), "timeout-ms": 9000, "target-latency-ms": 500,
            "priority": 1, "service": self.name, "max-attempts": self.max_attempts,
            "public": false, "resumable": self.kind == Kind::ResumableStream,
            "target-gap-ms": 200})
    }

    fn service(&self) -> serde_json::Value {
        let mut service = json!({"name": self.name, "health-path": "/health", "max-conns": 100});
        if self.layered {
            service["engine"] = json!({"kv-token-bytes": 590_000, "models": [{"load-s": 0.1}],
                "step_ms": 0.85, "read_per_s": 196_000.0, "loads_at_once": 6, "delays": [],
                "usual": {"prompt": 800, "answer": 160}, "layers": 4, "layer-mb": 1000.0,
                "activation-bytes": 29_500, "pipe-mbps": 13_000.0,
                "kinds": [{"name": "card", "megabytes": 12_000.0, "pace": 1.0,
                    "read-factor": 1.0}]});
        }
        service
    }

    /// Starts the servers and lists them.
    async fn start_servers(&self, store: &Store) {
        for n in 0..SERVERS {
            let (servers, runs) = (Rc::clone(&self.servers), Rc::clone(&self.runs));
            let (conduct, path) = (self.conduct, format!("/{}/x", self.name));
            let server = ScriptedServer::start(move |request| {
                if request.path() != path {
                    return control_response(request);
                }
                runs.borrow_mut().push(n);
                if conduct.ends_server() {
                    servers.borrow()[n].stop_accepting();
                }
                conduct.steps(request)
            })
            .await;
            let row = json!({"service": self.name, "address": server.address.to_string(),
                "zone": "a", "slots": 6, "state": "ready", "kind": "card", "sequence": 1,
                "layers": {"from": 0, "to": 4, "version": 1}, "born": 1});
            store.put("servers", &format!("{}-{n}", self.name), &row.to_string());
            self.servers.borrow_mut().push(server);
        }
    }

    async fn send(&self, entry: SocketAddr) {
        let headers = [("x-api-key", "key"), ("deadline-ms", DEADLINE), ("token-count", "100,40")];
        let path = format!("/{}/x", self.name);
        let response = send_request_with_headers(entry, "POST", &path, "x", &headers).await;
        let ran = !self.runs.borrow().is_empty();
        assert!(!ran || ![429, 503, 408, 421].contains(&response.status), "{self}: {response:?}");
    }

    /// The limit that the runs exceed, if any.
    fn excess(&self) -> Option<String> {
        let runs = self.runs.borrow();
        let servers: BTreeSet<usize> = runs.iter().copied().collect();
        let limit = if self.kind.is_repeatable() { self.max_attempts as usize } else { 1 };
        let exceeded = if self.kind.is_repeatable() {
            !self.conduct.ends_server() && servers.len() > limit
        } else {
            runs.len() > limit
        };
        exceeded.then(|| format!("{self}: ran on servers {runs:?}"))
    }
}

impl std::fmt::Display for Case {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { kind, conduct, max_attempts, layered, .. } = self;
        write!(f, "{kind:?} {conduct:?} max-attempts {max_attempts} layered {layered}")
    }
}

/// Response to a health check, or to a request for the report of an engine.
fn control_response(request: &ScriptedRequest) -> Vec<Step> {
    let body = match request.path() {
        "/-/report" => {
            r#"{"layers":{"from":0,"to":4,"version":1},"sequence":1,"busy":false,"born":1,"stalled":[]}"#
        }
        _ => "",
    };
    let length = body.len();
    vec![Step::send(format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"))]
}

async fn start(cases: &[Case]) -> (Running, Store) {
    let store = Store::start().await;
    let routes: Vec<_> = cases.iter().map(Case::route).collect();
    let services: Vec<_> = cases.iter().map(Case::service).collect();
    let config = json!({"version": 1, "routes": routes, "services": services,
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15_000},
        "tenants": [{"name": "w", "api-keys": ["key"]}]});
    store.put("op", "config", &config.to_string());
    for case in cases {
        case.start_servers(&store).await;
    }
    let entry = start_entry("one", &store).await;
    sleep(Duration::from_millis(600)).await;
    (entry, store)
}

/// Guards against counting only attempts that have ended: a stream that may not be
/// resumed ran at a second server while the first one was slow (review/1), and streams of
/// routes with one attempt ran at two servers.
#[test]
async fn running_attempt_counts_for_each_kind_and_limit() {
    let cases = Case::all();
    let (entry, _store) = start(&cases).await;
    join_all(cases.iter().map(|case| case.send(entry.callers))).await;
    let exceeded: Vec<String> = cases.iter().filter_map(Case::excess).collect();
    assert!(exceeded.is_empty(), "{} cases:\n{}", exceeded.len(), exceeded.join("\n"));
    let unserved: Vec<String> =
        cases.iter().filter(|case| case.runs.borrow().is_empty()).map(Case::to_string).collect();
    assert!(unserved.is_empty(), "no server ran: {unserved:?}");
}
