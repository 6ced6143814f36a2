//! TCP connections with optional TLS.
//!
//! Clementinehub processes authenticate each other with mutual TLS: both sides
//! present a certificate for [`INTERNAL_NAME`] signed by the internal CA.
//! Without TLS, processes dial and listen on loopback addresses only.

mod acceptor;
mod dialer;
mod error;
mod files;
mod stream;
mod watch;

pub use acceptor::Acceptor;
pub use dialer::Dialer;
pub use error::TlsError;
pub use files::TlsFiles;
pub use stream::NetStream;
pub use watch::watch_certificates;

/// DNS name in the certificates of clementinehub processes.
pub const INTERNAL_NAME: &str = "clementinehub.internal";
