//! The dialling side of connections between the system's own processes.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use rustls::ClientConfig;
use rustls::pki_types::ServerName;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

use crate::{INTERNAL_NAME, NetStream, TlsError, TlsFiles};

/// Opens connections to the system's own processes.
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
    /// Connections without TLS, to loopback addresses only.
    pub const fn plain() -> Self {
        Self { tls: None }
    }

    /// Connections with mutual TLS.
    ///
    /// # Errors
    ///
    /// Fails when the files can't be used.
    pub fn tls(files: TlsFiles) -> Result<Self, TlsError> {
        let config = RefCell::new(files.client_config()?);
        Ok(Self { tls: Some(TlsState { files, config }) })
    }

    /// Connections with mutual TLS where files are given.
    ///
    /// # Errors
    ///
    /// Fails when the files can't be used.
    pub fn new(files: Option<TlsFiles>) -> Result<Self, TlsError> {
        files.map_or_else(|| Ok(Self::plain()), Self::tls)
    }

    /// Reads the certificate files again; open connections stay as they are.
    ///
    /// # Errors
    ///
    /// Fails when the files can't be used; the certificates in use stay.
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
    /// Fails when the address accepts no connection, the handshake fails, or
    /// the address is not on loopback and there is no TLS.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<NetStream> {
        if self.tls.is_none() && !address.ip().is_loopback() {
            return Err(io::Error::new(io::ErrorKind::PermissionDenied, "TLS is off"));
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
