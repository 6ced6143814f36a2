//! Test certificates.

use std::path::{Path, PathBuf};

use clementine_net::{INTERNAL_NAME, TlsFiles};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// A CA and a certificate signed by it, in a temporary directory that is removed
/// on drop.
#[derive(Debug)]
pub struct TestCa {
    directory: PathBuf,
}

impl TestCa {
    /// Creates a CA and a certificate signed by it.
    pub fn new(name: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("clementine-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("failed to create the directory");
        let ca = Self { directory };
        ca.issue();
        ca
    }

    /// Replaces the CA, the certificate and the key with new ones.
    pub fn issue(&self) {
        let mut params = CertificateParams::new(Vec::new()).expect("the parameters are valid");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let ca_key = KeyPair::generate().expect("failed to generate a key");
        let ca = params.self_signed(&ca_key).expect("failed to sign the certificate");
        let issuer = Issuer::new(params, ca_key);
        let key = KeyPair::generate().expect("failed to generate a key");
        let own = CertificateParams::new(vec![INTERNAL_NAME.to_owned()])
            .expect("the parameters are valid");
        let own = own.signed_by(&key, &issuer).expect("failed to sign the certificate");
        write(&self.directory.join("ca.pem"), &ca.pem());
        write(&self.directory.join("cert.pem"), &own.pem());
        write(&self.directory.join("key.pem"), &key.serialize_pem());
    }

    /// Returns the files of a process that trusts this CA.
    pub fn files(&self) -> TlsFiles {
        TlsFiles {
            certificate: self.directory.join("cert.pem"),
            key: self.directory.join("key.pem"),
            ca: Some(self.directory.join("ca.pem")),
        }
    }
}

impl Drop for TestCa {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn write(path: &Path, text: &str) {
    std::fs::write(path, text).expect("failed to write the file");
}
