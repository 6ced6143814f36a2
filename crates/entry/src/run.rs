//! Startup and shutdown of the entry process.

use std::rc::Rc;
use std::time::Duration;

use clementine_net::{Acceptor, Dialer, watch_certificates};
use clementine_process::admin::serve_admin;
use clementine_process::http::{CLOSE_DELAY, HttpLimits, bind_reusable, serve_http};
use clementine_process::logging::{LogTarget, start_logging};
use clementine_process::metrics::Metrics;
use clementine_process::shutdown::{Drain, watch_signals};
use clementine_process::start::{BindSnafu, SignalsSnafu, StartError};
use snafu::ResultExt;
use spdlog::{error, info, warn};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::admin::admin_handler;
use crate::entry::Entry;
use crate::settings::EntrySettings;

/// Delay before the exit, in which the last responses are written to their
/// sockets.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Runs the entry until a signal stops it and it has drained.
pub(crate) fn run(settings: EntrySettings) -> Result<(), StartError> {
    start_logging(LogTarget::Stderr, settings.process.log_format, settings.process.log_level)?;
    actix_rt::System::new().block_on(serve(settings))
}

async fn serve(settings: EntrySettings) -> Result<(), StartError> {
    let listen = settings.listen;
    let listener = bind_reusable(listen).context(BindSnafu { listen })?;
    let address = listener.local_addr().context(BindSnafu { listen })?;
    let acceptor = Rc::new(Acceptor::new(settings.caller_tls.clone())?);
    let internal = Rc::new(Acceptor::new(settings.internal_tls.clone())?);
    let dialer = Rc::new(Dialer::new(settings.internal_tls.clone())?);
    spawn_local(watch_certificates(Rc::clone(&acceptor), None));
    spawn_local(watch_certificates(internal, Some(Rc::clone(&dialer))));
    let shutdown = Drain::default();
    watch_signals(shutdown.clone()).context(SignalsSnafu)?;
    let metrics = Metrics::start()?;
    let entry = Entry::new(settings.clone(), dialer, &metrics.meter());
    let handler = admin_handler(Rc::clone(&entry));
    serve_admin(&settings.process.admin, metrics, Rc::clone(&entry), Some(handler))?;
    spawn_local(entry.pauses.clone().run());
    spawn_local(Rc::clone(&entry).watch_instances());
    spawn_local(Rc::clone(&entry).poll_config());
    spawn_local(Rc::clone(&entry).exchange_limits());
    let stop_accepting = Drain::default();
    spawn_local(accept(listener, acceptor, stop_accepting.clone(), Rc::clone(&entry)));
    info!("entry: listening on {}", address);
    shutdown.wait_started().await;
    shut_down(&settings, &entry, &stop_accepting).await;
    Ok(())
}

async fn accept(
    listener: TcpListener,
    acceptor: Rc<Acceptor>,
    stop_accepting: Drain,
    entry: Rc<Entry>,
) {
    let limits = HttpLimits::default();
    let serve = serve_http(listener, acceptor, limits, stop_accepting, move |req| {
        Rc::clone(&entry).handle_request(req)
    });
    if let Err(error) = serve.await {
        error!("entry: {}", error);
    }
}

/// Shuts down gracefully: fails the readiness check, waits for the load balancer
/// to notice, closes the listening socket, and waits for the requests in progress.
async fn shut_down(settings: &EntrySettings, entry: &Entry, stop_accepting: &Drain) {
    entry.leaving.set(true);
    sleep(settings.leave_notice.duration()).await;
    stop_accepting.start();
    // Requests of the connections accepted last arrive until idle ones are closed.
    sleep(CLOSE_DELAY).await;
    let limit = settings.process.drain_limit.duration();
    if timeout(limit, entry.drain.wait_idle()).await.is_err() {
        warn!("entry: drain limit reached with {} requests in progress", entry.drain.in_progress());
    }
    // The last responses are still being written to their sockets.
    sleep(FLUSH_DELAY).await;
    info!("entry: drained");
}
