//! The accepting side of connections.

use std::cell::RefCell;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use rustls::ServerConfig;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;

use crate::{NetStream, TlsError, TlsFiles};

/// Longest time of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Takes accepted connections into use.
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
    /// Connections without TLS.
    pub const fn plain() -> Self {
        Self { tls: None }
    }

    /// Connections with TLS.
    ///
    /// # Errors
    ///
    /// Fails when the files can't be used.
    pub fn tls(files: TlsFiles) -> Result<Self, TlsError> {
        let config = RefCell::new(files.server_config()?);
        Ok(Self { tls: Some(TlsState { files, config }) })
    }

    /// Connections with TLS where files are given.
    ///
    /// # Errors
    ///
    /// Fails when the files can't be used.
    pub fn new(files: Option<TlsFiles>) -> Result<Self, TlsError> {
        files.map_or_else(|| Ok(Self::plain()), Self::tls)
    }

    /// The certificate files in use.
    pub(crate) fn files(&self) -> Option<&TlsFiles> {
        self.tls.as_ref().map(|tls| &tls.files)
    }

    /// Reads the certificate files again; open connections stay as they are.
    ///
    /// # Errors
    ///
    /// Fails when the files can't be used; the certificates in use stay.
    pub fn reload(&self) -> Result<(), TlsError> {
        if let Some(tls) = &self.tls {
            *tls.config.borrow_mut() = tls.files.server_config()?;
        }
        Ok(())
    }

    /// Takes an accepted connection into use.
    ///
    /// # Errors
    ///
    /// Fails when the handshake fails or takes too long.
    pub async fn accept(&self, stream: TcpStream) -> io::Result<NetStream> {
        stream.set_nodelay(true)?;
        let Some(tls) = &self.tls else { return Ok(NetStream::Plain(stream)) };
        let acceptor = TlsAcceptor::from(Arc::clone(&tls.config.borrow()));
        let stream = timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await??;
        Ok(NetStream::Tls(Box::new(stream.into())))
    }
}
