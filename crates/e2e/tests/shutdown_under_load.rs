//! A planned shutdown of an entry or an agent answers every request that was accepted.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_e2e::{API_TOKEN, Cluster, ClusterSpec, RecordFile, eventually};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Callers that open a connection for each request.
const NEW_CONNECTION_CALLERS: usize = 12;
/// Callers that keep their connection.
const KEEP_ALIVE_CALLERS: usize = 4;

/// What callers have seen.
#[derive(Debug, Default)]
struct Seen {
    answered: Cell<u32>,
    /// Requests that were sent and got no response.
    cut_off: Cell<u32>,
    ended: Cell<usize>,
}

/// Sends a lookup and reads the response head. `None` if there is no response.
async fn lookup(io: &mut TcpStream, connection: &str) -> Option<String> {
    let request = format!(
        "GET /stock/blank-7 HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {API_TOKEN}\r\n\
         connection: {connection}\r\n\r\n"
    );
    io.write_all(request.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&response);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let lines = head.lines().map(str::to_ascii_lowercase);
            let length = lines.filter_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
            if length.max().is_some_and(|length: usize| body.len() >= length) {
                return Some(head.to_ascii_lowercase());
            }
        }
        if io.read_buf(&mut response).await.ok()? == 0 {
            return None;
        }
    }
}

/// Whether the server has closed an idle connection.
fn is_closed(io: &TcpStream) -> bool {
    let read = io.try_read(&mut [0; 1]);
    !read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Sends lookups until connections are refused.
async fn send_lookups(to: SocketAddr, keep_alive: bool, seen: Rc<Seen>) {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let mut kept = None;
    loop {
        let open = kept.take().filter(|io| !is_closed(io));
        let io = match open {
            Some(io) => Ok(io),
            None => TcpStream::connect(to).await,
        };
        let Ok(mut io) = io else { break };
        let head = lookup(&mut io, connection).await;
        let count = if head.is_some() { &seen.answered } else { &seen.cut_off };
        count.set(count.get() + 1);
        let closes = head.is_none_or(|head| head.contains("connection: close"));
        kept = Some(io).filter(|_| keep_alive && !closes);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    seen.ended.set(seen.ended.get() + 1);
}

async fn wait_for_answers(seen: &Rc<Seen>, count: u32) {
    let wanted = seen.answered.get() + count;
    let reached = || {
        let seen = Rc::clone(seen);
        async move { seen.answered.get() >= wanted }
    };
    eventually("more requests are answered", reached).await;
}

/// Guards against the closing of the listener while connections wait in its backlog or
/// have just been accepted.
#[actix_rt::test]
async fn callers_of_a_stopping_entry_get_a_response_or_no_connection() {
    let record = RecordFile::new("shutdown-load");
    let spec = ClusterSpec::new(1).services(1, record.path(), "1ms");
    let cluster = Cluster::start(spec).await;
    let seen = Rc::new(Seen::default());
    let callers = NEW_CONNECTION_CALLERS + KEEP_ALIVE_CALLERS;
    for n in 0..callers {
        let keep_alive = n < KEEP_ALIVE_CALLERS;
        let to = cluster.entries[0].address;
        actix_rt::spawn(send_lookups(to, keep_alive, Rc::clone(&seen)));
    }
    wait_for_answers(&seen, 200).await;
    cluster.entries[0].process.terminate();
    let ended = || {
        let seen = Rc::clone(&seen);
        async move { seen.ended.get() == callers }
    };
    eventually("callers find no entry", ended).await;
    assert_eq!(seen.cut_off.get(), 0, "{seen:?}");
}
