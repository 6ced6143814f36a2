//! A response that an entry gives up, or whose entry is killed, never looks complete to its
//! caller.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::test;
use clementine_e2e::{ScriptedServer, Step};
use common::{list_server, signed_head, start_configured_store, start_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Sends a request and reads to the end of the connection. Returns what was received and
/// whether the connection ended in order.
async fn read_all(to: SocketAddr, path: &str, version: &str) -> (String, bool) {
    let mut io = TcpStream::connect(to).await.expect("the entry accepts connections");
    let head = format!(
        "POST {path} HTTP/{version}\r\nhost: h\r\nrequest-id: r-1\r\nx-api-key: key\r\n\
         deadline-ms: 1200\r\ntoken-count: 100,40\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
    );
    io.write_all(head.as_bytes()).await.expect("the request is sent");
    let (mut received, mut buf) = (Vec::new(), [0; 4096]);
    let in_order = loop {
        match io.read(&mut buf).await {
            Ok(0) => break true,
            Ok(read) => received.extend_from_slice(&buf[..read]),
            Err(_) => break false,
        }
    };
    (String::from_utf8_lossy(&received).into_owned(), in_order)
}

/// Guards against a stream that is given up at its deadline and looks complete to a caller
/// that knows no chunks, because its connection is closed in order.
#[test]
async fn stream_that_is_given_up_does_not_look_complete() {
    for version in ["1.1", "1.0"] {
        let store = start_configured_store(0).await;
        let server = ScriptedServer::start(|request| {
            let head = signed_head(request, 200, "transfer-encoding: chunked\r\n");
            let event = "f\r\nid: 1\ndata: 1\n\n\r\n";
            vec![Step::send(head + event), Step::Wait(Duration::from_secs(20))]
        })
        .await;
        list_server(&store, "server-0", "model", server.address);
        let entry = start_entry("one", &store).await;
        sleep(Duration::from_millis(300)).await;
        let (response, in_order) = read_all(entry.callers, "/stream/x", version).await;
        assert!(response.contains("server-seal"), "HTTP/{version}: {response}");
        let is_chunked = response.contains("transfer-encoding: chunked");
        assert_eq!(is_chunked, version == "1.1", "{response}");
        let has_end = response.ends_with("0\r\n\r\n");
        assert!(if is_chunked { !has_end } else { !in_order }, "HTTP/{version}: {response}");
    }
}
