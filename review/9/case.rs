//! A lookup that crashes each replica that begins to run it, and differs from sound lookups
//! only in its query: it is never refused, and takes down one replica after the other.

#[path = "../lab-2.rs"]
mod lab;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lab::*;

const FRONTS: usize = 2;
const REPLICAS: usize = 3;
/// The replica is back "after some seconds".
const DOWN: Duration = Duration::from_millis(3_000);
/// Work of a lookup.
const WORK: Duration = Duration::from_millis(60);
/// How often the request comes again, and for how long: 19.5 s, the day has 20 s.
const COMES_AGAIN: Duration = Duration::from_millis(1_500);
const TIMES: usize = 13;
/// `stable-window-ms`, and the retries that the rule allows later than that.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const ALLOWED: usize = 3;
const DEADLY: &str = "/stock/check?blank=deadly";

struct Replica {
    id: String,
    address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    is_up: bool,
    /// Connections, which a crash closes.
    conns: Vec<TcpStream>,
}

/// What the replicas have seen of the deadly request.
#[derive(Default)]
struct Seen {
    crashes: Vec<Duration>,
    arrivals: Vec<Duration>,
}

#[derive(Clone)]
struct Case {
    store: Store,
    record: Record,
    seen: Arc<Mutex<Seen>>,
}

/// Serves a replica, and starts it again after each crash.
fn run_replica(listener: TcpListener, replica: Arc<Replica>, case: Case) {
    let mut listener = Some(listener);
    thread::spawn(move || {
        loop {
            let born = unix_ms();
            *replica.state.lock().unwrap() = State { is_up: true, conns: Vec::new() };
            case.store.put(
                "servers",
                &replica.id,
                &plain_row("orders-api", replica.address, "ready", born),
            );
            let open = listener.take().unwrap_or_else(|| {
                TcpListener::bind(replica.address).unwrap_or_else(|e| cannot_run(&e.to_string()))
            });
            let _ = open.set_nonblocking(true);
            while replica.state.lock().unwrap().is_up {
                let Ok((io, _)) = open.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = io.set_nonblocking(false);
                let _ = io.set_nodelay(true);
                let Ok(kept) = io.try_clone() else { continue };
                replica.state.lock().unwrap().conns.push(kept);
                let (replica, case) = (Arc::clone(&replica), case.clone());
                thread::spawn(move || serve(io, &replica, &case));
            }
            drop(open);
            thread::sleep(DOWN);
        }
    });
}

fn crash(replica: &Replica) {
    let mut state = replica.state.lock().unwrap();
    state.is_up = false;
    for conn in state.conns.drain(..) {
        let _ = conn.shutdown(std::net::Shutdown::Both);
    }
}

fn serve(mut io: TcpStream, replica: &Replica, case: &Case) {
    let mut rest = Vec::new();
    while let Ok(Some(request)) = read_message(&mut io, &mut rest) {
        let id = replica.id.as_str();
        let for_other = request.header("expect-instance").is_some_and(|named| named != id);
        let answer = if for_other {
            response(421, &[("Not-Executed", "1")], b"")
        } else if request.target() == "/health" {
            response(200, &[("Instance-Id", id)], b"")
        } else {
            let request_id = request.header("request-id").unwrap_or("").to_owned();
            let is_deadly = request.target() == DEADLY;
            if is_deadly {
                case.record.line(&format!("{id} receives {request_id}"));
                case.seen.lock().unwrap().arrivals.push(case.record.elapsed());
            }
            thread::sleep(WORK);
            if is_deadly && !without_trouble() {
                case.record.line(&format!("{id} crashes under {request_id}"));
                case.seen.lock().unwrap().crashes.push(case.record.elapsed());
                return crash(replica);
            }
            let seal = format!("{id}.{request_id}");
            response(200, &[("Request-Id", &request_id), ("Server-Seal", &seal)], b"12 blanks")
        };
        if io.write_all(&answer).is_err() {
            return;
        }
    }
}

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"stock-check","host":"shop.example","prefix":"/stock/","kind":"safe","timeout-ms":2000,"target-latency-ms":300,"priority":2,"service":"orders-api","max-attempts":2,"public":false}}],"services":[{}],"limits":{LIMITS},"tenants":[{{"name":"shops","api-keys":["k1"]}}]}}"#,
        plain_service("orders-api")
    )
}

fn lookup(id: &str, target: &str) -> Vec<u8> {
    let headers = [("Request-Id", id), ("Deadline-Ms", "4000"), ("X-Api-Key", "k1")];
    request("GET", target, &headers, b"")
}

/// Sends a lookup and tells how it ended.
fn ask(address: SocketAddr, request: &[u8]) -> String {
    let answer = ClientConn::open(address).and_then(|mut conn| {
        conn.send(request)?;
        conn.receive(Duration::from_secs(4))
    });
    match answer {
        Ok(Some(message)) => message.status().to_string(),
        Ok(None) => "closed".into(),
        Err(error) => format!("{:?}", error.kind()),
    }
}

fn main() {
    let record = Record::create();
    let folder = Folder::create();
    let prefix = loopback_prefix();
    let store = Store::start(&format!("{prefix}.1"));
    store.put("op", "config", &config());
    let case = Case { store: store.clone(), record: record.clone(), seen: Arc::default() };
    for n in 0..REPLICAS {
        let listener = listen(&format!("{prefix}.{}", 20 + n));
        let address = listener.local_addr().unwrap();
        let replica = Replica { id: format!("i-{n}"), address, state: Mutex::default() };
        run_replica(listener, Arc::new(replica), case.clone());
    }
    thread::sleep(Duration::from_millis(200));
    let fronts: Vec<Front> = (0..FRONTS)
        .map(|n| {
            let (node, ip) = (format!("front-{}", n + 1), format!("{prefix}.{}", 10 + n));
            Front::start(&folder.0, &node, "za", &ip, &store)
        })
        .collect();
    fronts.iter().for_each(Front::wait_ready);
    thread::sleep(Duration::from_secs(4));

    // Other callers, whose lookups differ in the query only, twice a second each.
    let end = Instant::now() + COMES_AGAIN * TIMES as u32;
    let others: Vec<_> = (0..8)
        .map(|n| {
            let address = fronts[n % FRONTS].front;
            thread::spawn(move || {
                let (mut whole, mut all, mut sent) = (0, 0, 0);
                while Instant::now() < end {
                    sent += 1;
                    let id = format!("other-{n}-{sent}");
                    all += 1;
                    let target = format!("/stock/check?blank={n}-{sent}");
                    whole += usize::from(ask(address, &lookup(&id, &target)) == "200");
                    thread::sleep(Duration::from_millis(500));
                }
                (whole, all)
            })
        })
        .collect();
    let mut asked = Vec::new();
    for n in 0..TIMES {
        let (address, record) = (fronts[n % FRONTS].front, record.clone());
        asked.push(thread::spawn(move || {
            let id = format!("deadly-{n}");
            record.line(&format!("client: sends {id} to front-{}", n % FRONTS + 1));
            let how = ask(address, &lookup(&id, DEADLY));
            record.line(&format!("client: {id} ends with {how}"));
        }));
        thread::sleep(COMES_AGAIN);
    }
    asked.into_iter().for_each(|client| client.join().unwrap());
    let (whole, all) = others
        .into_iter()
        .map(|client| client.join().unwrap())
        .fold((0, 0), |sum, part| (sum.0 + part.0, sum.1 + part.1));

    let seen = case.seen.lock().unwrap();
    let late = seen
        .crashes
        .get(2)
        .map_or(0, |third| seen.arrivals.iter().filter(|at| **at > *third + STABLE_WINDOW).count());
    let held = late <= ALLOWED;
    let verdict = if held { "held" } else { "broken" };
    record.line(&format!(
        "BUDGET {verdict}: the request crashed {} replicas; it reached replicas {late} times later \
         than stable-window-ms after the third crash, {ALLOWED} are allowed; {whole} of {all} \
         lookups of others were served",
        seen.crashes.len()
    ));
    println!(
        "BUDGET {verdict}: {} crashes, {late} late arrivals, others {whole}/{all}",
        seen.crashes.len()
    );
    drop(fronts);
    drop(folder);
    std::process::exit(i32::from(!held));
}
