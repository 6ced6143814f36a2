//! TLS certificate files.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use snafu::ResultExt;

use crate::error::{PemSnafu, RustlsSnafu, TlsError, VerifierSnafu};

/// Paths of the TLS certificate files, in PEM format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate, followed by its chain.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
    /// CA that has to sign the peer's certificate. If `None`, servers request no
    /// client certificate and clients trust no server.
    pub ca: Option<PathBuf>,
}

impl TlsFiles {
    /// Returns the modification time of each file, or `None` for files that
    /// cannot be read.
    pub(crate) fn modification_times(&self) -> Vec<Option<SystemTime>> {
        let files = [Some(&self.certificate), Some(&self.key), self.ca.as_ref()];
        let modified = |path: &PathBuf| std::fs::metadata(path).and_then(|m| m.modified()).ok();
        files.into_iter().flatten().map(modified).collect()
    }

    /// Builds the server configuration.
    pub(crate) fn server_config(&self) -> Result<Arc<ServerConfig>, TlsError> {
        let builder = ServerConfig::builder();
        let builder = match &self.ca {
            None => builder.with_no_client_auth(),
            Some(path) => {
                let roots = Arc::new(roots(path)?);
                let verifier = WebPkiClientVerifier::builder(roots).build();
                builder.with_client_cert_verifier(verifier.context(VerifierSnafu)?)
            }
        };
        let config = builder.with_single_cert(self.chain()?, self.private_key()?);
        config.map(Arc::new).context(RustlsSnafu)
    }

    /// Builds the client configuration.
    pub(crate) fn client_config(&self) -> Result<Arc<ClientConfig>, TlsError> {
        let roots = match &self.ca {
            Some(path) => roots(path)?,
            None => RootCertStore::empty(),
        };
        let builder = ClientConfig::builder().with_root_certificates(roots);
        let config = builder.with_client_auth_cert(self.chain()?, self.private_key()?);
        config.map(Arc::new).context(RustlsSnafu)
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>, TlsError> {
        certificates(&self.certificate)
    }

    fn private_key(&self) -> Result<PrivateKeyDer<'static>, TlsError> {
        PrivateKeyDer::from_pem_file(&self.key).context(PemSnafu { path: &self.key })
    }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates = CertificateDer::pem_file_iter(path).context(PemSnafu { path })?;
    certificates.collect::<Result<_, _>>().context(PemSnafu { path })
}

fn roots(path: &Path) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(path)? {
        roots.add(certificate).context(RustlsSnafu)?;
    }
    Ok(roots)
}
