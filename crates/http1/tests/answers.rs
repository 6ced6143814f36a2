//! Answers of servers that end in every way an answer can end.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::RequestHead;
use bytes::Bytes;
use clementine_http1::{AnswerError, Exchange, ServerConn};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How the server ends the connection after its bytes.
#[derive(Clone, Copy)]
enum End {
    Close,
    Reset,
    KeepOpen,
}

/// A server that reads a little and then sends fixed bytes.
async fn server(bytes: &'static [u8], end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        let (mut io, _) = listener.accept().await.expect("accepted");
        let mut buf = [0; 1024];
        assert!(io.read(&mut buf).await.expect("a request") > 0);
        io.write_all(bytes).await.expect("written");
        finish(io, end).await;
    });
    address
}

async fn finish(io: TcpStream, end: End) {
    match end {
        End::Close => {}
        End::Reset => {
            // The peer has to read the bytes before the reset drops them.
            sleep(Duration::from_millis(50)).await;
            SockRef::from(&io).set_linger(Some(Duration::ZERO)).expect("linger set");
        }
        End::KeepOpen => sleep(Duration::from_secs(5)).await,
    }
}

async fn ask(address: SocketAddr) -> Exchange {
    let limit = Duration::from_secs(1);
    let config = ServerConn::codec_config();
    let mut exchange = Exchange::connect(address, limit, &config).await.expect("connected");
    exchange.queue(RequestHead::default(), Bytes::new()).expect("queued");
    exchange
}

async fn body(bytes: &'static [u8], end: End) -> Result<Bytes, AnswerError> {
    let mut exchange = ask(server(bytes, end).await).await;
    exchange.read_head().await?;
    exchange.read_body(1024).await
}

#[actix_rt::test]
async fn a_body_without_length_lasts_until_the_connection_ends() {
    let read = body(b"HTTP/1.1 200 OK\r\n\r\nall of it", End::Close).await;
    assert_eq!(read.expect("whole"), "all of it");
}

#[actix_rt::test]
async fn a_body_without_length_that_is_reset_is_not_whole() {
    let read = body(b"HTTP/1.1 200 OK\r\n\r\npart", End::Reset).await;
    assert!(matches!(read, Err(AnswerError::Broken { .. })));
}

#[actix_rt::test]
async fn a_body_shorter_than_its_length_is_not_whole() {
    let read = body(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart", End::Close).await;
    assert!(matches!(read, Err(AnswerError::Broken { .. })));
}

#[actix_rt::test]
async fn chunks_without_the_last_are_not_whole() {
    let bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
    let read = body(bytes, End::Close).await;
    assert!(matches!(read, Err(AnswerError::Broken { .. })));
}

#[actix_rt::test]
async fn bytes_after_an_answer_make_the_connection_unfit() {
    for (bytes, reusable) in [
        (&b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"[..], true),
        (&b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n"[..], false),
        (&b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"[..], false),
    ] {
        let mut exchange = ask(server(bytes, End::KeepOpen).await).await;
        exchange.read_head().await.expect("a head");
        exchange.read_body(1024).await.expect("a body");
        assert_eq!(exchange.is_reusable(), reusable, "{}", String::from_utf8_lossy(bytes));
    }
}

#[actix_rt::test]
async fn interim_answers_are_passed_over() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    assert_eq!(body(bytes, End::Close).await.expect("whole"), "ok");
}

#[actix_rt::test]
async fn a_server_may_answer_before_it_has_read_a_long_request() -> io::Result<()> {
    let bytes = b"HTTP/1.1 413 Payload Too Large\r\ncontent-length: 0\r\n\r\n";
    let mut exchange = ask(server(bytes, End::KeepOpen).await).await;
    let mut head = RequestHead::default();
    head.method = actix_http::Method::POST;
    exchange.queue(head, Bytes::from(vec![b'x'; 64 * 1024 * 1024]))?;
    let head = exchange.read_head().await.expect("an answer");
    assert_eq!(head.status, 413);
    assert!(!exchange.is_reusable(), "the rest of the body is still to be sent");
    Ok(())
}
