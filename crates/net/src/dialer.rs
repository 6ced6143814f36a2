//! Client side of connections between clementinehub processes.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use rustls::ClientConfig;
use rustls::pki_types::ServerName;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

use crate::{INTERNAL_NAME, NetStream, TlsError, TlsFiles};

/// Opens connections to other clementinehub processes.
#[derive(Debug)]
pub struct Dialer {
    tls: Option<TlsState>,
}

#[derive(Debug)]
struct TlsState {
    files: TlsFiles,
    config: RefCell<Arc<ClientConfig>>,
}

impl Dialer {
    /// Creates a dialer without TLS, which connects to loopback addresses only.
    pub const fn plain() -> Self {
        Self { tls: None }
    }

    /// Creates a dialer for mutual TLS.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be loaded.
    pub fn tls(files: TlsFiles) -> Result<Self, TlsError> {
        let config = RefCell::new(files.client_config()?);
        Ok(Self { tls: Some(TlsState { files, config }) })
    }

    /// Creates a dialer that uses mutual TLS if `files` is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be loaded.
    pub fn new(files: Option<TlsFiles>) -> Result<Self, TlsError> {
        files.map_or_else(|| Ok(Self::plain()), Self::tls)
    }

    /// Reloads the certificate files. Open connections are not affected.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be loaded; the previous certificates
    /// then remain in use.
    pub fn reload(&self) -> Result<(), TlsError> {
        if let Some(tls) = &self.tls {
            *tls.config.borrow_mut() = tls.files.client_config()?;
        }
        Ok(())
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection or the TLS handshake fails, or if the
    /// dialer has no TLS and the address is not a loopback address.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<NetStream> {
        if self.tls.is_none() && !address.ip().is_loopback() {
            return Err(io::Error::new(
                io::ErrorKind::PermissionDenied,
                "refusing to connect to a non-loopback address without TLS",
            ));
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let Some(tls) = &self.tls else { return Ok(NetStream::Plain(stream)) };
        let connector = TlsConnector::from(Arc::clone(&tls.config.borrow()));
        let name = ServerName::try_from(INTERNAL_NAME).map_err(io::Error::other)?;
        let stream = connector.connect(name, stream).await?;
        Ok(NetStream::Tls(Box::new(stream.into())))
    }
}
