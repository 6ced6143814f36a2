//! TLS certificate settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clementine_net::TlsFiles;

use super::{SettingsReader, setting};

/// Returns the flags for mutual TLS between clementinehub processes.
pub fn internal_tls_args() -> [Arg; 3] {
    [
        setting(
            "internal-cert",
            "FILE",
            "Certificate for TLS between clementinehub processes, PEM",
        ),
        setting("internal-key", "FILE", "Private key of --internal-cert, PEM"),
        setting(
            "internal-ca",
            "FILE",
            "CA certificate for TLS between clementinehub processes, PEM",
        ),
    ]
}

/// Reads the files for mutual TLS between clementinehub processes. They are
/// optional only if `listen` is a loopback address or absent.
pub fn read_internal_tls(
    reader: &mut SettingsReader<'_>,
    listen: Option<SocketAddr>,
) -> Option<TlsFiles> {
    let ca: Option<PathBuf> = reader.optional("internal-ca");
    let files = read_tls(reader, "internal-cert", "internal-key", listen)?;
    reader.require(ca.is_some(), "internal-ca", "is required with --internal-cert");
    Some(TlsFiles { ca, ..files })
}

/// Reads a certificate and its private key. They are optional only if `listen`
/// is a loopback address or absent.
pub fn read_tls(
    reader: &mut SettingsReader<'_>,
    certificate_name: &str,
    key_name: &str,
    listen: Option<SocketAddr>,
) -> Option<TlsFiles> {
    let certificate: Option<PathBuf> = reader.optional(certificate_name);
    let key: Option<PathBuf> = reader.optional(key_name);
    let paired = certificate.is_some() == key.is_some();
    let message = format!("--{certificate_name} and --{key_name} must be set together");
    reader.require(paired, certificate_name, &message);
    let protected = certificate.is_some() || listen.is_none_or(|listen| listen.ip().is_loopback());
    reader.require(protected, certificate_name, "is required when --listen is not on loopback");
    Some(TlsFiles { certificate: certificate?, key: key?, ca: None })
}
