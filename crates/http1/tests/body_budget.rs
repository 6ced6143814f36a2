//! Bound on the memory of request bodies.

use std::time::{Duration, Instant};

use actix_rt::test;
use clementine_http1::{BodyBudget, BufferedRequest, ReadError, ReadLimits, ServerConn};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

const MIB: usize = 1024 * 1024;
/// Memory for two bodies of 1 MiB, of which each has two copies.
const BUDGET: usize = 4 * MIB;

/// Reads a request with a body of `bytes` bytes, which a caller sends.
async fn read(
    budget: &BodyBudget,
    bytes: usize,
    chunked: bool,
) -> Result<BufferedRequest, ReadError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let address = listener.local_addr().expect("local address");
    spawn_local(async move {
        let mut io = TcpStream::connect(address).await.expect("connect");
        let (framing, end) = if chunked {
            (format!("transfer-encoding: chunked\r\n\r\n{bytes:x}\r\n"), "\r\n0\r\n\r\n")
        } else {
            (format!("content-length: {bytes}\r\n\r\n"), "")
        };
        let request = format!("POST / HTTP/1.1\r\nhost: h\r\n{framing}{}{end}", "x".repeat(bytes));
        // The connection is closed if the body is not read.
        let _ = io.write_all(request.as_bytes()).await;
    });
    let (io, _) = listener.accept().await.expect("accept");
    let mut conn = ServerConn::new(io, &ServerConn::codec_config()).expect("set up");
    conn.set_body_budget(budget.clone());
    let limits = ReadLimits::default();
    conn.wait_request(&limits).await.expect("first byte");
    conn.read_request(&limits).await
}

/// Guards against bodies that exceed the memory of the process together: it is killed, and
/// with it the requests that servers run for it (review/4).
#[test]
async fn bodies_beyond_the_budget_are_refused_unread() {
    for chunked in [false, true] {
        // The size of chunks is not known before: each takes the memory of the largest.
        let budget = BodyBudget::new(if chunked { 8 * MIB } else { BUDGET });
        let first = read(&budget, MIB, chunked).await.expect("there is memory");
        let second = read(&budget, MIB, chunked).await;
        assert_eq!(second.is_ok(), !chunked, "chunked {chunked}: {second:?}");
        let started = Instant::now();
        let third = read(&budget, MIB, chunked).await;
        assert!(matches!(third, Err(ReadError::NoMemory)), "chunked {chunked}: {third:?}");
        assert_eq!(third.map_err(|error| error.status()).expect_err("refused"), Some(503));
        assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
        // Small bodies need none.
        read(&budget, 800, chunked).await.expect("small bodies are read");
        drop((first, second));
        read(&budget, MIB, chunked).await.expect("the memory is free again");
    }
}

/// Guards against refusing at once what fits a moment later.
#[test]
async fn body_waits_a_moment_for_memory() {
    let budget = BodyBudget::new(BUDGET);
    let large = read(&budget, 2 * MIB, false).await.expect("there is memory");
    spawn_local(async move {
        sleep(Duration::from_millis(200)).await;
        drop(large);
    });
    assert_eq!(read(&budget, MIB, false).await.expect("memory is free").body.len(), MIB);
    assert_eq!(
        read(&budget, 4 * MIB, false).await.expect("all of it is taken").body.len(),
        4 * MIB
    );
}
