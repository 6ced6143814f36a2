//! Streams run at more servers than their route allows while one server is slow.

#[path = "../lab/lab.rs"]
mod lab;

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lab::*;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const EVENTS: u64 = 20;
/// Time between two events of a sound server.
const PAUSE: Duration = Duration::from_millis(80);
/// Factor by which the slow server is slower (`srv_slow`, x = 12 in klyuchar-kiosks).
const SLOW: u32 = 12;
/// Number of streams, and the time between two of them.
const STREAMS: usize = 40;
const GAP: Duration = Duration::from_millis(250);
/// The server that turns slow: one of three.
const SLOW_SERVER: &str = "i-102";
/// How long it is slow (`for_s` = 9 in klyuchar-kiosks).
const SLOW_FOR: Duration = Duration::from_secs(9);

/// The slow server and the end of its slow-down.
type Slow = Arc<Mutex<Option<(String, Instant)>>>;

fn config() -> String {
    let engine = r#"{"slots":192,"kv-capacity-tokens":100000,"kv-token-bytes":590000,"models":[{"name":"daka510000","pace":1.0,"load-s":14.0,"warm-s":1.0}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,"usual":{"prompt":772,"answer":167}}"#;
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-one","host":"ficu95.example","prefix":"/lohu930/","kind":"streaming","timeout-ms":20000,"target-latency-ms":500,"priority":1,"service":"huvo11a","max-attempts":1,"public":false,"resumable":true,"target-gap-ms":200}}],"services":[{{"name":"huvo11a","health-path":"/health","max-conns":1128,"protocol":"h1","tls":false,"engine":{engine}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn server(case: &Case, n: u8, runs: &Runs, slow: &Slow) -> std::net::SocketAddr {
    let (record, runs, slow) = (case.record.clone(), runs.clone(), Arc::clone(slow));
    let name = format!("i-{n}");
    let handle = move |mut conn: Reader| {
        while let Ok(req) = conn.request() {
            let answer = match req.path() {
                "/health" => {
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n")
                }
                "/-/report" => report(&slow, &name),
                _ if is_for_another(&req, &name) => not_executed(421, req.header("request-id"), ""),
                _ => return stream(&mut conn, &req, &record, &runs, &slow, &name),
            };
            if conn.io.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    };
    serve((case.ip(n), 8228).into(), handle).unwrap_or_else(|error| {
        case.cannot_run(&format!("a server cannot listen: {error}"))
    })
}

fn pace(slow: &Slow, name: &str) -> u32 {
    let slow = slow.lock().unwrap();
    let is_slow = slow.as_ref().is_some_and(|(slow, end)| slow == name && Instant::now() < *end);
    if is_slow { SLOW } else { 1 }
}

fn report(slow: &Slow, name: &str) -> String {
    let body = format!(
        "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"daka510000\",\"version\":1,\"adapters\":[]}}],\
         \"busy\":false,\"sequence\":0,\"queued\":0,\"active\":1,\"kv-used\":800,\"kv-total\":100000,\
         \"pace\":{}.0,\"handles\":0}}",
        pace(slow, name)
    );
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Runs a request: sends its events, and stops when the connection closes.
fn stream(conn: &mut Reader, req: &Request, record: &Record, runs: &Runs, slow: &Slow, name: &str) {
    runs.add(record, name, req);
    let from = req.header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let head = sealed_head(200, req.header("request-id"), more);
    if conn.io.write_all(head.as_bytes()).is_err() {
        return;
    }
    for id in from..=EVENTS {
        thread::sleep(PAUSE * pace(slow, name));
        let event = format!("id: {id}\ndata: piece {id} of server {name}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if conn.io.write_all(chunk.as_bytes()).is_err() {
            return;
        }
    }
    let _ = conn.io.write_all(b"0\r\n\r\n");
}

fn main() {
    let case = Case::begin("5");
    let store = Store::new();
    let port = store.serve(case.ip(200));
    let (runs, slow) = (Runs::default(), Slow::default());
    for n in 101..=103 {
        let address = server(&case, n, &runs, &slow);
        store.put("servers", &format!("i-{n}"), &server_row("huvo11a", address, "bg-south-a", 192, "ready"));
    }
    store.put("op", "config", &config());
    let entry = case.start_entry(1, "bg-south-a", port.address);
    case.wait_ready(&entry);
    thread::sleep(Duration::from_secs(4));

    case.record.line(&format!("{STREAMS} streams on a route with max-attempts 1"));
    let mut clients = Vec::new();
    for n in 0..STREAMS {
        if case.trouble && n == STREAMS / 3 {
            case.record.line(&format!("server {SLOW_SERVER} turns slow: x {SLOW} for {SLOW_FOR:?}"));
            *slow.lock().unwrap() = Some((SLOW_SERVER.to_owned(), Instant::now() + SLOW_FOR));
        }
        let more = "Model: daka510000\r\nToken-Count: 800,80\r\nPrompt-Prefix: 5c1e07a2:40,e4402b7d:760\r\n";
        let request = client_request("/lohu930/2f", &format!("{n:016x}"), 20_000, KEY, more);
        let (address, record) = (entry.callers, case.record.clone());
        clients.push(thread::spawn(move || {
            match exchange(address, &request, Duration::from_secs(25)) {
                Ok(answer) => record.line(&format!("request {n:016x}: {} complete", answer.status)),
                Err(error) => record.line(&format!("request {n:016x}: ended early: {error}")),
            }
        }));
        thread::sleep(GAP);
    }
    for client in clients {
        let _ = client.join();
    }
    let mut beyond = 0;
    for n in 0..STREAMS {
        let mut servers: Vec<String> =
            runs.of(&format!("{n:016x}")).into_iter().map(|run| run.server).collect();
        servers.sort();
        servers.dedup();
        if servers.len() > 1 {
            beyond += 1;
            case.record.line(&format!("request {n:016x} ran at {servers:?}"));
        }
    }
    if runs.all().is_empty() {
        case.cannot_run("no request reached a server");
    }
    let broken = (beyond > 3)
        .then(|| format!("BUDGET: {beyond} requests ran at more servers than the 1 that their route allows"));
    case.verdict(broken);
}
