//! Startup and shutdown of the agent process.

use std::rc::Rc;
use std::time::Duration;

use clementine_net::{Acceptor, Dialer, watch_certificates};
use clementine_process::admin::serve_admin;
use clementine_process::http::bind_reusable;
use clementine_process::logging::{LogTarget, start_logging};
use clementine_process::metrics::Metrics;
use clementine_process::shutdown::{Drain, watch_signals};
use clementine_process::start::{BindSnafu, SignalsSnafu, StartError};
use clementine_wire::transport::serve_agent;
use snafu::ResultExt;
use spdlog::{debug, info, warn};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::service::AgentService;
use crate::settings::AgentSettings;
use crate::shared::SharedState;

/// Delay after a failed accept, so that running out of file descriptors does
/// not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs the agent until a signal stops it and it has drained.
pub(crate) fn run(settings: AgentSettings) -> Result<(), StartError> {
    start_logging(LogTarget::Stderr, settings.process.log_format, settings.process.log_level)?;
    actix_rt::System::new().block_on(serve(settings))
}

async fn serve(settings: AgentSettings) -> Result<(), StartError> {
    let listen = settings.listen;
    let listener = bind_reusable(listen).context(BindSnafu { listen })?;
    let address = listener.local_addr().context(BindSnafu { listen })?;
    let acceptor = Rc::new(Acceptor::new(settings.internal_tls.clone())?);
    let dialer = Rc::new(Dialer::new(settings.internal_tls.clone())?);
    spawn_local(watch_certificates(Rc::clone(&acceptor), Some(Rc::clone(&dialer))));
    let drain = Drain::default();
    watch_signals(drain.clone()).context(SignalsSnafu)?;
    let metrics = Metrics::start()?;
    let advertised = settings.advertise.unwrap_or(address);
    let shared =
        SharedState::new(settings.clone(), advertised, dialer, drain.clone(), &metrics.meter());
    serve_admin(&settings.process.admin, metrics, Rc::clone(&shared), None)?;
    shared.probe_started_backend();
    spawn_local(shared.pauses.clone().run());
    spawn_local(Rc::clone(&shared).evict_periodically());
    info!("agent: listening on {} as {}", address, shared.agent_ref());
    spawn_local(accept(listener, acceptor, shared));
    drain.wait_started().await;
    shut_down(&settings, &drain).await;
    Ok(())
}

async fn accept(listener: TcpListener, acceptor: Rc<Acceptor>, shared: Rc<SharedState>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (acceptor, shared) = (Rc::clone(&acceptor), Rc::clone(&shared));
                spawn_local(async move {
                    match acceptor.accept(stream).await {
                        Ok(stream) => {
                            Box::pin(serve_agent(stream, AgentService::new(shared))).await;
                        }
                        Err(error) => debug!("agent: TLS handshake failed: {}", error),
                    }
                });
            }
            Err(error) => {
                warn!("agent: accepting a connection failed: {}", error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the work in progress has finished or the drain limit is reached,
/// then for the leave notice, during which entries read the last responses.
async fn shut_down(settings: &AgentSettings, drain: &Drain) {
    let limit = settings.process.drain_limit.duration();
    if timeout(limit, drain.wait_idle()).await.is_err() {
        warn!("agent: drain limit reached with {} requests in progress", drain.in_progress());
    }
    sleep(settings.leave_notice.duration()).await;
    info!("agent: drained");
}
