//! Connections with and without TLS.
//!
//! Between the system's own processes TLS is mutual: both sides show a
//! certificate of the internal authority, issued to [`INTERNAL_NAME`].
//! Without TLS, only loopback addresses are dialled and listened on.

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

/// DNS name in the certificates of the system's own processes.
pub const INTERNAL_NAME: &str = "clementinehub.internal";
