//! Certificate reloading.

use std::rc::Rc;
use std::time::Duration;

use spdlog::{error, info};
use tokio::time::sleep;

use crate::{Acceptor, Dialer, TlsError};

/// Interval at which the modification times of the files are checked.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reloads the certificate files whenever they change. Never returns if TLS is
/// enabled.
pub async fn watch_certificates(acceptor: Rc<Acceptor>, dialer: Option<Rc<Dialer>>) {
    let Some(files) = acceptor.files().cloned() else { return };
    let mut modified = files.modification_times();
    loop {
        sleep(POLL_INTERVAL).await;
        let now = files.modification_times();
        if now == modified {
            continue;
        }
        modified = now;
        match reload(&acceptor, dialer.as_deref()) {
            Ok(()) => info!("tls: reloaded {}", files.certificate.display()),
            Err(error) => error!("tls: reload failed, keeping the certificates in use: {}", error),
        }
    }
}

fn reload(acceptor: &Acceptor, dialer: Option<&Dialer>) -> Result<(), TlsError> {
    acceptor.reload()?;
    dialer.map_or(Ok(()), Dialer::reload)
}
