//! Mutual TLS between clementinehub processes.

mod certificates;

use std::net::SocketAddr;
use std::rc::Rc;

use certificates::TestCa;
use clementine_net::{Acceptor, Dialer, TlsFiles};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Starts a server that echoes one byte per connection.
async fn echo(acceptor: Rc<Acceptor>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("failed to bind a port");
    let address = listener.local_addr().expect("the listener is bound");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(mut stream) = acceptor.accept(stream).await else { continue };
            if let Ok(byte) = stream.read_u8().await {
                let _ = stream.write_u8(byte).await;
                let _ = stream.flush().await;
            }
        }
    });
    address
}

/// Returns whether a byte sent over a new connection is echoed.
async fn reaches(dialer: &Dialer, address: SocketAddr) -> bool {
    let Ok(mut stream) = dialer.connect(address).await else { return false };
    let sent = stream.write_u8(7).await.is_ok() && stream.flush().await.is_ok();
    sent && stream.read_u8().await.is_ok_and(|byte| byte == 7)
}

#[actix_rt::test]
async fn only_certificates_of_the_same_ca_are_accepted() {
    let (own, other) = (TestCa::new("own"), TestCa::new("other"));
    let address = echo(Rc::new(Acceptor::tls(own.files()).expect("the files are valid"))).await;
    let dialer = |files: TlsFiles| Dialer::tls(files).expect("the files are valid");
    assert!(reaches(&dialer(own.files()), address).await);
    assert!(!reaches(&dialer(other.files()), address).await);
    // Trusts the server's CA but presents a certificate signed by another one.
    let mixed = TlsFiles { ca: own.files().ca, ..other.files() };
    assert!(!reaches(&dialer(mixed), address).await);
    assert!(!reaches(&Dialer::plain(), address).await);
}

#[actix_rt::test]
async fn reload_applies_changed_certificates() {
    let own = TestCa::new("changed");
    let acceptor = Rc::new(Acceptor::tls(own.files()).expect("the files are valid"));
    let address = echo(Rc::clone(&acceptor)).await;
    let dialer = Dialer::tls(own.files()).expect("the files are valid");
    own.issue();
    acceptor.reload().expect("the files are valid");
    assert!(!reaches(&dialer, address).await);
    dialer.reload().expect("the files are valid");
    assert!(reaches(&dialer, address).await);

    std::fs::write(own.files().certificate, "no certificate").expect("failed to write the file");
    assert!(acceptor.reload().is_err());
    assert!(reaches(&dialer, address).await);
}

#[actix_rt::test]
async fn dialer_without_tls_connects_to_loopback_only() {
    let address = echo(Rc::new(Acceptor::plain())).await;
    assert!(reaches(&Dialer::plain(), address).await);
    let remote = SocketAddr::from(([192, 0, 2, 1], 7));
    let result = Dialer::plain().connect(remote).await;
    let error = result.expect_err("the address is not on loopback");
    assert_eq!(error.kind(), std::io::ErrorKind::PermissionDenied);
}
