//! Reading responses that end in different ways: complete, truncated, reset, or
//! followed by more bytes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::RequestHead;
use bytes::Bytes;
use clementine_http1::{ClientConn, ResponseError, ServerConn};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// What the server does with the connection after sending its bytes.
#[derive(Clone, Copy)]
enum Ending {
    Close,
    Reset,
    KeepOpen,
}

/// Starts a server that reads part of a request and then sends fixed bytes.
async fn server(bytes: &'static [u8], ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a port");
    let address = listener.local_addr().expect("the listener is bound");
    spawn_local(async move {
        let (mut io, _) = listener.accept().await.expect("failed to accept a connection");
        let mut buf = [0; 1024];
        assert!(io.read(&mut buf).await.expect("failed to read the request") > 0);
        io.write_all(bytes).await.expect("failed to write the response");
        end_connection(io, ending).await;
    });
    address
}

async fn end_connection(io: TcpStream, ending: Ending) {
    match ending {
        Ending::Close => {}
        Ending::Reset => {
            // A reset discards bytes that the peer has not read yet, so give it
            // time to read them.
            sleep(Duration::from_millis(50)).await;
            SockRef::from(&io).set_linger(Some(Duration::ZERO)).expect("failed to set SO_LINGER");
        }
        Ending::KeepOpen => sleep(Duration::from_secs(5)).await,
    }
}

async fn connect_and_queue(address: SocketAddr) -> ClientConn {
    let connect_timeout = Duration::from_secs(1);
    let config = ServerConn::codec_config();
    let mut conn =
        ClientConn::connect(address, connect_timeout, &config).await.expect("failed to connect");
    conn.queue(RequestHead::default(), Bytes::new()).expect("failed to queue the request");
    conn
}

async fn body(bytes: &'static [u8], ending: Ending) -> Result<Bytes, ResponseError> {
    let mut conn = connect_and_queue(server(bytes, ending).await).await;
    conn.read_head().await?;
    conn.read_body(1024).await
}

/// Guards against a head that is cut off and taken for one without a length, whose body ends
/// with the connection. The fault cannot occur here.
#[actix_rt::test]
async fn head_that_is_cut_off_anywhere_is_no_response() {
    let framings = ["", "content-length: 4\r\n", "transfer-encoding: chunked\r\n"];
    for framing in framings {
        let head = format!("HTTP/1.1 200 OK\r\nserver-seal: s\r\n{framing}x: y\r\n\r\n");
        let head: &'static [u8] = head.into_bytes().leak();
        for end in 0..head.len() {
            let read = body(&head[..end], Ending::Close).await;
            assert!(read.is_err(), "{framing}, {end} bytes: {read:?}");
        }
    }
}

#[actix_rt::test]
async fn close_delimited_body_ends_with_the_connection() {
    let read = body(b"HTTP/1.1 200 OK\r\n\r\nall of it", Ending::Close).await;
    assert_eq!(read.expect("the body is incomplete"), "all of it");
}

#[actix_rt::test]
async fn reset_truncates_a_close_delimited_body() {
    let read = body(b"HTTP/1.1 200 OK\r\n\r\npart", Ending::Reset).await;
    assert!(matches!(read, Err(ResponseError::ConnectionLost { .. })));
}

/// Guards against a reset that is noticed while the request is still being sent: the
/// socket then reports the end of the connection instead of the reset.
#[actix_rt::test]
async fn reset_while_the_request_is_sent_truncates_a_close_delimited_body() -> io::Result<()> {
    let mut conn =
        connect_and_queue(server(b"HTTP/1.1 200 OK\r\n\r\npart", Ending::Reset).await).await;
    let mut head = RequestHead::default();
    head.method = actix_http::Method::POST;
    conn.queue(head, Bytes::from(vec![b'x'; 64 * 1024 * 1024]))?;
    conn.read_head().await.expect("no response");
    // The reset arrives before the rest of the request is sent.
    sleep(Duration::from_millis(200)).await;
    let read = conn.read_body(1024).await;
    assert!(matches!(read, Err(ResponseError::ConnectionLost { .. })), "{read:?}");
    Ok(())
}

/// Guards against reading an empty body where the transfer coding marks no end.
#[actix_rt::test]
async fn body_with_the_identity_coding_is_not_empty() {
    let bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nall of it";
    let read = body(bytes, Ending::Close).await;
    assert!(read.as_ref().map_or(true, |body| body == "all of it"), "{read:?}");
}

#[actix_rt::test]
async fn body_shorter_than_its_content_length_is_truncated() {
    let read = body(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart", Ending::Close).await;
    assert!(matches!(read, Err(ResponseError::ConnectionLost { .. })));
}

#[actix_rt::test]
async fn chunked_body_without_the_last_chunk_is_truncated() {
    let bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
    let read = body(bytes, Ending::Close).await;
    assert!(matches!(read, Err(ResponseError::ConnectionLost { .. })));
}

#[actix_rt::test]
async fn connection_with_extra_bytes_or_close_is_not_reusable() {
    for (bytes, reusable) in [
        (&b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"[..], true),
        (&b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n"[..], false),
        (&b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"[..], false),
    ] {
        let mut conn = connect_and_queue(server(bytes, Ending::KeepOpen).await).await;
        conn.read_head().await.expect("failed to read the head");
        conn.read_body(1024).await.expect("failed to read the body");
        assert_eq!(conn.is_reusable(), reusable, "{}", String::from_utf8_lossy(bytes));
    }
}

/// Guards against a second copy of a response that arrives after the connection was
/// taken for reuse: it is there before the next request and is not its response.
#[actix_rt::test]
async fn bytes_received_before_the_request_is_sent_are_not_its_response() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        let (mut io, _) = listener.accept().await.expect("failed to accept a connection");
        let mut buf = [0; 1024];
        for pause in [Duration::ZERO, Duration::from_millis(50)] {
            if pause.is_zero() {
                assert!(io.read(&mut buf).await.expect("failed to read the request") > 0);
            }
            sleep(pause).await;
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
            io.write_all(response).await.expect("failed to write the response");
        }
        sleep(Duration::from_secs(5)).await;
    });
    let mut conn = connect_and_queue(address).await;
    conn.read_head().await.expect("failed to read the head");
    assert_eq!(conn.read_body(1024).await.expect("the body is incomplete"), "first");
    assert!(conn.is_reusable());
    sleep(Duration::from_millis(150)).await;
    conn.queue(RequestHead::default(), Bytes::new())?;
    let read = conn.read_head().await;
    assert!(matches!(read, Err(ResponseError::Malformed)), "{read:?}");
    Ok(())
}

#[actix_rt::test]
async fn interim_responses_are_skipped() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    assert_eq!(body(bytes, Ending::Close).await.expect("the body is incomplete"), "ok");
}

#[actix_rt::test]
async fn response_before_the_request_is_sent_completely_is_read() -> io::Result<()> {
    let bytes = b"HTTP/1.1 413 Payload Too Large\r\ncontent-length: 0\r\n\r\n";
    let mut conn = connect_and_queue(server(bytes, Ending::KeepOpen).await).await;
    let mut head = RequestHead::default();
    head.method = actix_http::Method::POST;
    conn.queue(head, Bytes::from(vec![b'x'; 64 * 1024 * 1024]))?;
    let head = conn.read_head().await.expect("no response");
    assert_eq!(head.status, 413);
    assert!(!conn.is_reusable(), "the rest of the request body has not been sent");
    Ok(())
}

/// Bytes that a server without end sends at most, so that a client that reads them all
/// does not exhaust the machine.
const ENDLESS_BYTES: usize = 64 * 1024 * 1024;
/// Bytes that a client reads at most before it gives up, including those that the
/// system buffers.
const MAX_READ_BYTES: usize = 16 * 1024 * 1024;

/// Starts a server that responds with `start` and then repeats `pattern` without end.
/// Returns the number of bytes that it could send as well.
async fn endless_server(
    start: &'static [u8],
    pattern: &'static [u8],
) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a port");
    let address = listener.local_addr().expect("the listener is bound");
    let sent = spawn_local(async move {
        let (mut io, _) = listener.accept().await.expect("failed to accept a connection");
        let mut buf = [0; 1024];
        assert!(io.read(&mut buf).await.expect("failed to read the request") > 0);
        io.write_all(start).await.expect("failed to write the start");
        let block = pattern.repeat(64 * 1024 / pattern.len());
        let mut sent = 0;
        while sent < ENDLESS_BYTES && io.write_all(&block).await.is_ok() {
            sent += block.len();
        }
        sent
    });
    (address, sent)
}

/// Bytes of no response may come without end in each part of one.
#[actix_rt::test]
async fn response_without_an_end_is_given_up() {
    const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const EXTENSION: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;";
    let cases: [(&str, &[u8], &[u8]); 8] = [
        ("status line", b"", b"x"),
        ("reason", b"HTTP/1.1 200 ", b"x"),
        ("header", b"HTTP/1.1 200 OK\r\na: ", b"x"),
        ("headers", b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
        ("interim responses", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        ("chunk size", CHUNKED, b"0"),
        ("chunk extension", EXTENSION, b"x"),
        ("body", b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    ];
    for (part, start, pattern) in cases {
        let (address, sent) = endless_server(start, pattern).await;
        let mut conn = connect_and_queue(address).await;
        let read = match conn.read_head().await {
            Ok(_) => conn.read_body(1024).await.map(|_| ()),
            Err(error) => Err(error),
        };
        assert!(
            matches!(read, Err(ResponseError::Malformed | ResponseError::TooLarge)),
            "{part}: {read:?}"
        );
        drop(conn);
        let sent = sent.await.expect("the server ends");
        assert!(sent < MAX_READ_BYTES, "{part}: {sent} bytes");
    }
}
