//! TLS configuration errors.

use std::path::PathBuf;

use snafu::Snafu;

/// Error from loading the TLS configuration.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TlsError {
    /// A file cannot be read or parsed as PEM.
    #[snafu(display("cannot load {}: {source}", path.display()))]
    Pem {
        /// The file.
        path: PathBuf,
        /// Underlying error.
        source: rustls::pki_types::pem::Error,
    },
    /// The certificate or key is invalid, or they do not match.
    #[snafu(display("invalid TLS certificates: {source}"))]
    Rustls {
        /// Underlying error.
        source: rustls::Error,
    },
    /// The CA certificate cannot be used to verify clients.
    #[snafu(display("invalid CA certificate: {source}"))]
    Verifier {
        /// Underlying error.
        source: rustls::server::VerifierBuilderError,
    },
}
