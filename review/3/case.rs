//! Entries do not start any more after a bound of the settings has become a fraction.

#[path = "../1/lab.rs"]
mod lab;

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lab::*;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Fronts of klyuchar-kiosks.
const FRONTS: [(u8, &str); 4] =
    [(1, "bg-south-a"), (2, "bg-south-a"), (3, "bg-south-b"), (4, "bg-south-c")];
/// Traffic before the fault.
const BEFORE: Duration = Duration::from_secs(6);
/// When the settings files change (`grace-s` from 8 to 7.5 s).
const CHANGE_AT: Duration = Duration::from_secs(3);
/// Time that the processes are down (`down_s` in klyuchar-kiosks: 0.5 to 0.9).
const DOWN: Duration = Duration::from_millis(800);
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `recovery-s`, and how long requests are counted after it.
const RECOVERY: Duration = Duration::from_secs(12);
const AFTER: Duration = Duration::from_secs(8);
/// Time between two requests.
const GAP: Duration = Duration::from_millis(50);

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-stock","host":"ficu95.example","prefix":"/cufi504/","kind":"safe","timeout-ms":4000,"target-latency-ms":300,"priority":1,"service":"wuno96b","max-attempts":2,"public":false}}],"services":[{{"name":"wuno96b","health-path":"/health","max-conns":100,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn server(case: &Case, n: u8, runs: &Runs) -> SocketAddr {
    let (record, runs) = (case.record.clone(), runs.clone());
    let name = format!("i-{n}");
    let handle = move |mut conn: Reader| {
        while let Ok(req) = conn.request() {
            let id = req.header("request-id");
            let answer = if req.path() == "/health" {
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n")
            } else if is_for_another(&req, &name) {
                not_executed(421, id, "")
            } else {
                runs.add(&record, &name, &req);
                thread::sleep(Duration::from_millis(60));
                sealed_answer(200, id, "", &"x".repeat(800))
            };
            if conn.io.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    };
    serve((case.ip(n), 8228).into(), handle)
        .unwrap_or_else(|error| case.cannot_run(&format!("a server cannot listen: {error}")))
}

/// Sends requests for some time, to one entry after the other that accepts connections.
/// Returns how many were sent and how many were served.
fn send(case: &Case, entries: &[Entry], part: &str, time: Duration) -> (usize, usize) {
    let begun = Instant::now();
    let served: Arc<Mutex<usize>> = Arc::default();
    let mut clients = Vec::new();
    while begun.elapsed() < time {
        let n = clients.len();
        let mut addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.callers).collect();
        addresses.rotate_left(n % entries.len());
        let served = Arc::clone(&served);
        let request = format!(
            "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {part}{n:08x}\r\nDeadline-Ms: 4000\r\nX-Api-Key: {KEY}\r\n\r\n"
        );
        clients.push(thread::spawn(move || {
            let ok = |address: &SocketAddr| {
                exchange(*address, &request, Duration::from_secs(4))
                    .is_ok_and(|answer| answer.status == 200)
            };
            if addresses.iter().any(ok) {
                *served.lock().unwrap() += 1;
            }
        }));
        thread::sleep(GAP);
    }
    let sent = clients.len();
    for client in clients {
        let _ = client.join();
    }
    let served = *served.lock().unwrap();
    case.record.line(&format!("{part}: {served} of {sent} requests served"));
    (sent, served)
}

fn main() {
    // For the report: CONTROL=1 leaves out the change of the settings only.
    let control = std::env::var("CONTROL").as_deref() == Ok("1");
    let case = Case::begin("3");
    let store = Store::new();
    let port = store.serve(case.ip(200));
    let runs = Runs::default();
    for n in 101..=103 {
        let address = server(&case, n, &runs);
        store.put(
            "servers",
            &format!("i-{n}"),
            &server_row("wuno96b", address, "bg-south-a", 6, "ready"),
        );
    }
    store.put("op", "config", &config());
    let mut entries: Vec<Entry> =
        FRONTS.iter().map(|(n, zone)| case.start_entry(*n, zone, port.address)).collect();
    for entry in &entries {
        case.wait_ready(entry);
    }
    let (sent, served) = thread::scope(|scope| {
        let before = scope.spawn(|| send(&case, &entries, "before", BEFORE));
        if case.trouble && !control {
            thread::sleep(CHANGE_AT);
            for entry in &entries {
                let text = fs::read_to_string(&entry.settings).unwrap();
                fs::write(
                    &entry.settings,
                    text.replace("bounds.grace-s=8\n", "bounds.grace-s=7.5\n"),
                )
                .unwrap();
            }
            case.record.line("the settings files change: bounds.grace-s is 7.5, and was 8");
        }
        before.join().unwrap()
    });
    if served * 4 < sent {
        case.cannot_run("less than a quarter was served before the fault");
    }

    // The final fault: all processes are killed, and the platform starts them again.
    if case.trouble {
        for entry in &entries {
            case.signal(entry, "KILL");
            case.wait_ended(entry);
        }
        thread::sleep(DOWN);
        for entry in &mut entries {
            case.launch(entry);
        }
    }
    let back = Instant::now();
    while back.elapsed() < RECOVERY {
        for entry in &mut entries {
            if case.has_ended(entry) {
                thread::sleep(RESTART_DELAY / 4);
                case.launch(entry);
            }
        }
        thread::sleep(RESTART_DELAY);
    }
    let (sent, served) = send(&case, &entries, "after", AFTER);
    for line in entries[0].log_lines("invalid").iter().take(4) {
        case.record.line(&format!("log of {}: {line}", entries[0].name));
    }
    let broken = (served * 4 < sent).then(|| {
        format!("RECOVER: {served} of {sent} requests were served later than 12 s after the machines were back")
    });
    case.verdict(broken);
}
