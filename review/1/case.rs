//! A stream that may not be resumed runs at a second server while its first one is slow.

#[path = "lab.rs"]
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
/// Event after which the server turns slow.
const SLOW_AFTER: u64 = 10;
/// How long it is slow (`for_s` = 9 in klyuchar-kiosks).
const SLOW_FOR: Duration = Duration::from_secs(9);

/// The slow server and the end of its slow-down.
type Slow = Arc<Mutex<Option<(String, Instant)>>>;

fn config() -> String {
    let engine = r#"{"slots":192,"kv-capacity-tokens":100000,"kv-token-bytes":590000,"models":[{"name":"daka510000","pace":1.0,"load-s":14.0,"warm-s":1.0}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,"usual":{"prompt":772,"answer":167}}"#;
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-once","host":"ficu95.example","prefix":"/lohu930/","kind":"streaming","timeout-ms":20000,"target-latency-ms":500,"priority":1,"service":"huvo11a","max-attempts":2,"public":false,"resumable":false,"target-gap-ms":200}}],"services":[{{"name":"huvo11a","health-path":"/health","max-conns":1128,"protocol":"h1","tls":false,"engine":{engine}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn server(case: &Case, n: u8, runs: &Runs, slow: &Slow) -> std::net::SocketAddr {
    let (record, runs, slow, trouble) =
        (case.record.clone(), runs.clone(), Arc::clone(slow), case.trouble);
    let name = format!("i-{n}");
    let handle = move |mut conn: Reader| {
        while let Ok(req) = conn.request() {
            let answer = match req.path() {
                "/health" => {
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n")
                }
                "/-/report" => report(&slow, &name),
                _ if is_for_another(&req, &name) => not_executed(421, req.header("request-id"), ""),
                _ => return stream(&mut conn, &req, &record, &runs, &slow, &name, trouble),
            };
            if conn.io.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    };
    serve((case.ip(n), 8228).into(), handle)
        .unwrap_or_else(|error| case.cannot_run(&format!("a server cannot listen: {error}")))
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
fn stream(
    conn: &mut Reader,
    req: &Request,
    record: &Record,
    runs: &Runs,
    slow: &Slow,
    name: &str,
    trouble: bool,
) {
    runs.add(record, name, req);
    let from = req.header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let head = sealed_head(200, req.header("request-id"), more);
    if conn.io.write_all(head.as_bytes()).is_err() {
        return;
    }
    for id in from..=EVENTS {
        if trouble && id > SLOW_AFTER && slow.lock().unwrap().is_none() {
            record.line(&format!("server {name} turns slow: x {SLOW} for {SLOW_FOR:?}"));
            *slow.lock().unwrap() = Some((name.to_owned(), Instant::now() + SLOW_FOR));
        }
        thread::sleep(PAUSE * pace(slow, name));
        let event = format!("id: {id}\ndata: piece {id} of server {name}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if conn.io.write_all(chunk.as_bytes()).is_err() {
            return record.line(&format!("server {name}: the connection closed at event {id}"));
        }
    }
    let _ = conn.io.write_all(b"0\r\n\r\n");
    record.line(&format!("server {name} has sent all events"));
}

fn main() {
    let case = Case::begin("1");
    let store = Store::new();
    let port = store.serve(case.ip(200));
    let (runs, slow) = (Runs::default(), Slow::default());
    for n in 101..=103 {
        let address = server(&case, n, &runs, &slow);
        store.put(
            "servers",
            &format!("i-{n}"),
            &server_row("huvo11a", address, "bg-south-a", 192, "ready"),
        );
    }
    store.put("op", "config", &config());
    let entry = case.start_entry(1, "bg-south-a", port.address);
    case.wait_ready(&entry);
    thread::sleep(Duration::from_secs(4));

    let id = "9c41d07be2a35f68";
    let more =
        "Model: daka510000\r\nToken-Count: 800,80\r\nPrompt-Prefix: 5c1e07a2:40,e4402b7d:760\r\n";
    let request = client_request("/lohu930/2f", id, 20_000, KEY, more);
    case.record.line(&format!("the client sends request {id} once; the route is not resumable"));
    match exchange(entry.callers, &request, Duration::from_secs(25)) {
        Ok(answer) => {
            let text = answer.text();
            let pieces = text.lines().filter(|line| line.starts_with("data:")).count();
            let servers: Vec<&str> =
                text.lines().filter_map(|line| line.split("server ").nth(1)).collect();
            let mut servers = servers.clone();
            servers.dedup();
            case.record.line(&format!(
                "the client has {} with {pieces} of {EVENTS} events, of servers {servers:?}",
                answer.status
            ));
        }
        Err(error) => case.record.line(&format!("the client's answer ended early: {error}")),
    }
    let runs = runs.of(id);
    if runs.is_empty() {
        case.cannot_run("the request reached no server");
    }
    for line in entry.log_lines(id) {
        case.record.line(&format!("log: {line}"));
    }
    let broken = (runs.len() > 1).then(|| {
        format!("TWICE: request {id} of a stream that may not be resumed ran {} times", runs.len())
    });
    case.verdict(broken);
}
