//! Why TLS can't be set up.

use std::path::PathBuf;

use snafu::Snafu;

/// Why TLS can't be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TlsError {
    /// A file can't be read or holds no usable PEM.
    #[snafu(display("{}: {source}", path.display()))]
    Pem {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: rustls::pki_types::pem::Error,
    },
    /// Certificate, key or authority don't fit together.
    #[snafu(display("the certificates can't be used: {source}"))]
    Rustls {
        /// Cause.
        source: rustls::Error,
    },
    /// The authority can't verify clients.
    #[snafu(display("the authority can't be used: {source}"))]
    Verifier {
        /// Cause.
        source: rustls::server::VerifierBuilderError,
    },
}
