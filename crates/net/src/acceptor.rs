//! Server side of connections.

use std::cell::RefCell;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use rustls::ServerConfig;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;

use crate::{NetStream, TlsError, TlsFiles};

/// Maximum duration of a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Performs the server side of the TLS handshake, if TLS is enabled.
#[derive(Debug)]
pub struct Acceptor {
    tls: Option<TlsState>,
}

#[derive(Debug)]
struct TlsState {
    files: TlsFiles,
    config: RefCell<Arc<ServerConfig>>,
}

impl Acceptor {
    /// Creates an acceptor for connections without TLS.
    pub const fn plain() -> Self {
        Self { tls: None }
    }

    /// Creates an acceptor for TLS connections. Clients need a certificate if
    /// `files` has a CA.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be loaded.
    pub fn tls(files: TlsFiles) -> Result<Self, TlsError> {
        let config = RefCell::new(files.server_config()?);
        Ok(Self { tls: Some(TlsState { files, config }) })
    }

    /// Creates an acceptor that uses TLS if `files` is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be loaded.
    pub fn new(files: Option<TlsFiles>) -> Result<Self, TlsError> {
        files.map_or_else(|| Ok(Self::plain()), Self::tls)
    }

    /// Returns the certificate files, or `None` without TLS.
    pub(crate) fn files(&self) -> Option<&TlsFiles> {
        self.tls.as_ref().map(|tls| &tls.files)
    }

    /// Reloads the certificate files. Open connections are not affected.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be loaded; the previous certificates
    /// then remain in use.
    pub fn reload(&self) -> Result<(), TlsError> {
        if let Some(tls) = &self.tls {
            *tls.config.borrow_mut() = tls.files.server_config()?;
        }
        Ok(())
    }

    /// Performs the TLS handshake on an accepted connection, if TLS is enabled.
    ///
    /// # Errors
    ///
    /// Returns an error if the handshake fails or times out.
    pub async fn accept(&self, stream: TcpStream) -> io::Result<NetStream> {
        stream.set_nodelay(true)?;
        let Some(tls) = &self.tls else { return Ok(NetStream::Plain(stream)) };
        let acceptor = TlsAcceptor::from(Arc::clone(&tls.config.borrow()));
        let stream = timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await??;
        Ok(NetStream::Tls(Box::new(stream.into())))
    }
}
