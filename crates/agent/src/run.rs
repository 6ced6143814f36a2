//! Runs the agent until it has drained.

use std::rc::Rc;

use clementine_process::admin::serve_admin;
use clementine_process::http::bind_reusable;
use clementine_process::logging::start_logging;
use clementine_process::metrics::Metrics;
use clementine_process::shutdown::{Drain, watch_signals};
use clementine_wire::transport::serve_agent;
use snafu::ResultExt;
use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::core::Core;
use crate::error::{AgentError, BindSnafu, SignalsSnafu};
use crate::service::AgentService;
use crate::settings::AgentSettings;

/// Runs the agent until it has drained.
pub(crate) fn run(settings: AgentSettings) -> Result<(), AgentError> {
    start_logging(settings.process.log_format, settings.process.log_level)?;
    actix_rt::System::new().block_on(serve(settings))
}

async fn serve(settings: AgentSettings) -> Result<(), AgentError> {
    let listen = settings.listen;
    let listener = bind_reusable(listen).context(BindSnafu { listen })?;
    let address = listener.local_addr().context(BindSnafu { listen })?;
    let drain = Drain::default();
    watch_signals(drain.clone()).context(SignalsSnafu)?;
    let metrics = Metrics::start()?;
    let advertised = settings.advertise.unwrap_or(address);
    let core = Core::new(settings.clone(), advertised, drain.clone(), &metrics.meter());
    serve_admin(&settings.process.admin, metrics, Rc::clone(&core), None)?;
    core.probe_backend();
    spawn_local(Rc::clone(&core).sweep());
    info!("agent: listening on {} as {}", address, core.agent_ref());
    spawn_local(accept(listener, core));
    drain.started().await;
    leave(&settings, &drain).await;
    Ok(())
}

async fn accept(listener: TcpListener, core: Rc<Core>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if stream.set_nodelay(true).is_ok() {
                    spawn_local(serve_agent(stream, AgentService::new(Rc::clone(&core))));
                }
            }
            Err(error) => {
                warn!("agent: accept failed: {}", error);
                sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

/// Refuses new work, waits for the work in progress, and leaves time for its
/// last readers.
async fn leave(settings: &AgentSettings, drain: &Drain) {
    let limit = settings.process.drain_limit.duration();
    if timeout(limit, drain.idle()).await.is_err() {
        warn!("agent: {} requests did not end in time", drain.in_progress());
    }
    sleep(settings.leave_notice.duration()).await;
    info!("agent: drained");
}
