//! Large requests of many clients at once make an entry exceed its memory.

#[path = "../lab/lab.rs"]
mod lab;

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lab::*;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const BODY: usize = 4 * 1024 * 1024;

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-order","host":"ficu95.example","prefix":"/puxa403/","kind":"unsafe","timeout-ms":4000,"target-latency-ms":300,"priority":1,"service":"wuno96b","max-attempts":1,"public":false}}],"services":[{{"name":"wuno96b","health-path":"/health","max-conns":100,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"hule930","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn anon_mb(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("RssAnon:"));
    let kb: f64 = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0.0);
    kb * 1024.0 / 1e6
}

fn main() {
    let case = Case::begin("3");
    let clients: usize = std::env::var("N").ok().and_then(|n| n.parse().ok()).unwrap_or(30);
    let store = Store::new();
    let port = store.serve(case.ip(200));
    let runs = Runs::default();
    for n in 101..=103u8 {
        let name = format!("i-{n}");
        let busy = Arc::new(AtomicUsize::new(0));
        let address: SocketAddr = (case.ip(n), 8228).into();
        let (record, runs) = (case.record.clone(), runs.clone());
        let id = name.clone();
        let _ = record;
        serve(address, move |mut conn| {
            while let Ok(req) = conn.request() {
                let request = req.header("request-id").to_owned();
                if busy.fetch_add(1, Ordering::SeqCst) >= 6 + 24 {
                    busy.fetch_sub(1, Ordering::SeqCst);
                    let _ = conn.io.write_all(not_executed(503, &request, "").as_bytes());
                    continue;
                }
                let _ = &runs;
                thread::sleep(Duration::from_millis(60));
                busy.fetch_sub(1, Ordering::SeqCst);
                let _ = id;
                if conn.io.write_all(sealed_answer(200, &request, "", &"x".repeat(800)).as_bytes()).is_err() {
                    return;
                }
            }
        })
        .unwrap();
        store.put("servers", &name, &server_row("wuno96b", address, "bg-south-a", 6, "ready"));
    }
    store.put("op", "config", &config());
    let entry = case.start_entry(1, "bg-south-a", port.address);
    case.wait_ready(&entry);
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let peak = Arc::new(Mutex::new(0.0f64));
    let (stopped, peak_of, pid) = (Arc::clone(&stop), Arc::clone(&peak), entry.pid);
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            let now = anon_mb(pid);
            let mut peak = peak_of.lock().unwrap();
            *peak = peak.max(now);
            drop(peak);
            thread::sleep(Duration::from_millis(5));
        }
    });
    case.record.line(&format!("anon {:.1} MB before", anon_mb(pid)));
    // The link of the machine: 1,000 Mbit/s, shared by the clients.
    let pause = Duration::from_secs_f64(16384.0 * clients as f64 / 125e6);
    let started = Instant::now();
    let handles: Vec<_> = (0..clients)
        .map(|n| {
            let address = entry.callers;
            thread::spawn(move || {
                let mut statuses = Vec::new();
                let Ok(mut conn) = connect(address, Duration::from_secs(10)) else { return statuses };
                for turn in 0..3 {
                    let head = format!("POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {n:08x}{turn:08x}\r\nDeadline-Ms: 4000\r\nX-Api-Key: {KEY}\r\nContent-Length: {BODY}\r\n\r\n");
                    if conn.io.write_all(head.as_bytes()).is_err() { break; }
                    let part = vec![b'x'; 16384];
                    let begun = Instant::now();
                    for k in 0..BODY / 16384 {
                        if conn.io.write_all(&part).is_err() { break; }
                        let due = pause * (k as u32 + 1);
                        thread::sleep(due.saturating_sub(begun.elapsed()));
                    }
                    match conn.answer() {
                        Ok(answer) => statuses.push(answer.status),
                        Err(_) => { statuses.push(0); break; }
                    }
                }
                statuses
            })
        })
        .collect();
    let mut all = std::collections::BTreeMap::new();
    for handle in handles {
        for status in handle.join().unwrap() {
            *all.entry(status).or_insert(0) += 1;
        }
    }
    stop.store(true, Ordering::Relaxed);
    case.record.line(&format!("{clients} clients: statuses {all:?}, peak {:.1} MB, {:?}", peak.lock().unwrap(), started.elapsed()));
    case.end(0)
}
