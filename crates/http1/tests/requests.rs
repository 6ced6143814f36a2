//! Requests without an end.

use actix_rt::test;
use clementine_http1::{ReadError, ReadLimits, ServerConn};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Bytes that a caller without end sends at most.
const ENDLESS_BYTES: usize = 64 * 1024 * 1024;
/// Bytes that are read at most, including those that the system buffers.
const MAX_READ_BYTES: usize = 16 * 1024 * 1024;

#[test]
async fn request_without_an_end_is_refused() {
    const CHUNKED: &[u8] = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    const EXTENSION: &[u8] = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1;";
    let cases: [(&str, &[u8], &[u8]); 5] = [
        ("request line", b"GET /", b"x"),
        ("header", b"GET / HTTP/1.1\r\na: ", b"x"),
        ("headers", b"GET / HTTP/1.1\r\n", b"a: b\r\n"),
        ("chunk size", CHUNKED, b"0"),
        ("chunk extension", EXTENSION, b"x"),
    ];
    for (part, start, pattern) in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        let address = listener.local_addr().expect("local address");
        let sent = spawn_local(async move {
            let mut io = TcpStream::connect(address).await.expect("connect");
            io.write_all(start).await.expect("write the start");
            let block = pattern.repeat(64 * 1024 / pattern.len());
            let mut sent = 0;
            while sent < ENDLESS_BYTES && io.write_all(&block).await.is_ok() {
                sent += block.len();
            }
            sent
        });
        let (io, _) = listener.accept().await.expect("accept");
        let mut conn = ServerConn::new(io, &ServerConn::codec_config()).expect("set up");
        let limits = ReadLimits::default();
        conn.wait_request(&limits).await.expect("first byte");
        let read = conn.read_request(&limits).await;
        assert!(
            matches!(read, Err(ReadError::Malformed | ReadError::HeadTooLarge)),
            "{part}: {read:?}"
        );
        drop(conn);
        let sent = sent.await.expect("the caller ends");
        assert!(sent < MAX_READ_BYTES, "{part}: {sent} bytes");
    }
}
