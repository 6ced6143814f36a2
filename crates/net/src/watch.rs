//! Reads certificate files again when they change.

use std::rc::Rc;
use std::time::Duration;

use spdlog::{error, info};
use tokio::time::sleep;

use crate::{Acceptor, Dialer, TlsError};

/// Pause between looks at the files.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the certificate files again whenever they change, for ever.
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
            Ok(()) => info!("tls: {} was read again", files.certificate.display()),
            Err(cause) => error!("tls: the certificates in use stay: {}", cause),
        }
    }
}

fn reload(acceptor: &Acceptor, dialer: Option<&Dialer>) -> Result<(), TlsError> {
    acceptor.reload()?;
    dialer.map_or(Ok(()), Dialer::reload)
}
