//! Clients with large requests make an entry exceed its memory, and all requests in it are
//! lost.

#[path = "../lab/lab.rs"]
mod lab;

use std::collections::{BTreeMap, HashSet};
use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lab::*;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Clients of the zone (`clients = 28` in klyuchar-kiosks, at one front).
const CLIENTS: usize = 28;
/// Factor of the burst and its length (x = 1.7, `for_s` = 3 in klyuchar-kiosks).
const BURST: f64 = 1.7;
const BURST_FOR: Duration = Duration::from_secs(3);
/// Size of a request's body (`max-body-bytes` = 4,194,304).
const BODY: usize = 4 * 1024 * 1024;
const PART: usize = 16 * 1024;
/// Bandwidth of the entry's link: 1,000 Mbit/s.
const LINK_BYTES_PER_S: f64 = 125e6;
/// Memory above which the platform kills a process (`limits.memory-mb`), in bytes.
const MEMORY: u64 = 260 * 1024 * 1024;
/// A server's slots, queue and work for a request.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK: Duration = Duration::from_millis(60);

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-order","host":"ficu95.example","prefix":"/puxa403/","kind":"unsafe","timeout-ms":4000,"target-latency-ms":300,"priority":1,"service":"wuno96b","max-attempts":1,"public":false}}],"services":[{{"name":"wuno96b","health-path":"/health","max-conns":100,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Memory of a process that is its own, without the files that it has mapped.
fn own_memory(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("RssAnon:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// Requests that a server runs, and those that wait for a slot.
#[derive(Default)]
struct Slots {
    used: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Slots {
    /// Waits for a slot. Returns `false` if the queue is full.
    fn take(&self) -> bool {
        let mut used = self.used.lock().unwrap();
        if used.1 >= QUEUE {
            return false;
        }
        used.1 += 1;
        while used.0 >= SLOTS {
            used = self.freed.wait(used).unwrap();
        }
        *used = (used.0 + 1, used.1 - 1);
        true
    }

    fn give_back(&self) {
        self.used.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

fn server(case: &Case, n: u8, runs: &Runs) -> SocketAddr {
    let (record, runs, slots) = (case.record.clone(), runs.clone(), Slots::default());
    let name = format!("i-{n}");
    let handle = move |mut conn: Reader| {
        while let Ok(req) = conn.request() {
            let id = req.header("request-id").to_owned();
            let answer = if req.path() == "/health" {
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n")
            } else if is_for_another(&req, &name) {
                not_executed(421, &id, "")
            } else if !slots.take() {
                not_executed(503, &id, "")
            } else {
                let short = Request { body: Vec::new(), ..req };
                runs.add(&record, &name, &short);
                thread::sleep(WORK);
                slots.give_back();
                sealed_answer(200, &id, "", &"x".repeat(800))
            };
            if conn.io.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    };
    serve((case.ip(n), 8228).into(), handle)
        .unwrap_or_else(|error| case.cannot_run(&format!("a server cannot listen: {error}")))
}

/// What a client has seen of its requests.
#[derive(Default)]
struct Seen {
    answers: BTreeMap<u16, usize>,
    /// Requests on kept connections that ended without an answer.
    unanswered: Vec<String>,
}

/// Sends requests on one connection until `end`, at the client's part of the link.
fn client(n: usize, address: SocketAddr, end: Instant, rate: f64, seen: &Mutex<Seen>) {
    let Ok(mut conn) = connect(address, Duration::from_secs(10)) else { return };
    let part = vec![b'x'; PART];
    for turn in 0.. {
        // The first request is small: from the second on the connection is a kept one.
        let body = if turn == 0 { PART } else { BODY };
        let id = format!("{n:08x}{turn:08x}");
        let head = format!(
            "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nX-Api-Key: {KEY}\r\nContent-Length: {body}\r\n\r\n"
        );
        let begun = Instant::now();
        let mut sent = conn.io.write_all(head.as_bytes());
        for k in 0..body / PART {
            sent = sent.and_then(|()| conn.io.write_all(&part));
            let due = Duration::from_secs_f64((k + 1) as f64 * PART as f64 / rate);
            thread::sleep(due.saturating_sub(begun.elapsed()));
        }
        let answer = sent.and_then(|()| conn.answer());
        let mut seen = seen.lock().unwrap();
        match answer {
            Ok(answer) => *seen.answers.entry(answer.status).or_default() += 1,
            Err(_) => return seen.unanswered.push(id),
        }
        drop(seen);
        if Instant::now() >= end {
            return;
        }
    }
}

fn main() {
    let case = Case::begin("3");
    let store = Store::new();
    let port = store.serve(case.ip(200));
    let runs = Runs::default();
    for n in 101..=103 {
        let address = server(&case, n, &runs);
        store.put("servers", &format!("i-{n}"), &server_row("wuno96b", address, "bg-south-a", SLOTS as u32, "ready"));
    }
    store.put("op", "config", &config());
    let entry = case.start_entry(1, "bg-south-a", port.address);
    case.wait_ready(&entry);
    thread::sleep(Duration::from_secs(4));
    case.record.line(&format!("the entry has {} MB of its own", own_memory(entry.pid) / 1_000_000));

    // The platform kills a process that exceeds its memory.
    let (peak, killed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let (peak_of, killed_of, pid, record) =
        (Arc::clone(&peak), Arc::clone(&killed), entry.pid, case.record.clone());
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = Arc::clone(&stop);
    let watch = thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            let memory = own_memory(pid);
            peak_of.fetch_max(memory as usize, Ordering::Relaxed);
            if memory > MEMORY {
                record.line(&format!("the entry has {memory} bytes, more than {MEMORY}: the platform kills it"));
                let _ = std::process::Command::new("sh").args(["-c", &format!("kill -KILL {pid}")]).status();
                return killed_of.store(true, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_millis(2));
        }
    });

    let seen: Arc<Mutex<Seen>> = Arc::default();
    let burst = (CLIENTS as f64 * BURST) as usize;
    let clients = if case.trouble { burst } else { CLIENTS };
    let rate = LINK_BYTES_PER_S / clients as f64;
    let end = Instant::now() + BURST_FOR;
    case.record.line(&format!("{clients} clients send requests of {BODY} bytes for {BURST_FOR:?}"));
    let clients: Vec<_> = (0..clients)
        .map(|n| {
            let (seen, address) = (Arc::clone(&seen), entry.callers);
            thread::spawn(move || client(n, address, end, rate, &seen))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::Relaxed);
    let _ = watch.join();

    let seen = seen.lock().unwrap();
    let ran: HashSet<String> = runs.all().into_iter().map(|run| run.id).collect();
    let lost = seen.unanswered.iter().filter(|id| ran.contains(*id)).count();
    case.record.line(&format!(
        "answers by status: {:?}; ended without an answer: {}, of which {lost} were run by a server; peak {} MB",
        seen.answers,
        seen.unanswered.len(),
        peak.load(Ordering::Relaxed) / 1_000_000
    ));
    if ran.is_empty() {
        case.cannot_run("no request reached a server");
    }
    let broken = (killed.load(Ordering::Relaxed) && lost > 3)
        .then(|| format!("LOST: {lost} requests that were passed on to sound servers got no answer"));
    case.verdict(broken);
}
