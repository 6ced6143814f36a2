//! Runs the process until it has drained.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_platform::settings::{InstanceSettings, InstanceSettingsError, settings_path};
use clementine_process::http::bind_reusable;
use clementine_process::logging::{LogFormat, LogTarget, LoggingError, start_logging};
use clementine_process::shutdown::watch_signals;
use snafu::{ResultExt, Snafu};
use spdlog::{Level, info};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::callers::serve_callers;
use crate::follow::{follow_backends, follow_config};
use crate::hub::Hub;
use crate::peers::talk_to_peers;
use crate::planner::plan_while_holder;
use crate::readiness::serve_readiness;

/// Least time from the request to stop to the end of the process. The balancer
/// sends callers here until it has asked twice for readiness.
const STAY_AT_LEAST: Duration = Duration::from_millis(3_000);
/// Time that is left for the end of the process before it is killed.
const END_BEFORE_KILL: Duration = Duration::from_millis(300);

/// Why the process can't run.
#[derive(Debug, Snafu)]
pub enum DirectError {
    /// The settings can't be used.
    #[snafu(transparent)]
    Settings {
        /// Cause.
        source: InstanceSettingsError,
    },
    /// The log can't be set up.
    #[snafu(transparent)]
    Logging {
        /// Cause.
        source: LoggingError,
    },
    /// An address can't be bound.
    #[snafu(display("{listen} can't be bound: {source}"))]
    Bind {
        /// The address.
        listen: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The signal handlers can't be installed.
    #[snafu(display("the signal handlers can't be installed: {source}"))]
    Signals {
        /// Cause.
        source: io::Error,
    },
}

/// Runs the process until it has drained.
///
/// # Errors
///
/// Fails when the settings can't be used or an address can't be bound.
pub fn run(level: Level) -> Result<(), DirectError> {
    start_logging(LogTarget::Stdout, LogFormat::Text, level)?;
    let settings = InstanceSettings::load(&settings_path())?;
    actix_rt::System::new().block_on(serve(settings))
}

async fn serve(settings: InstanceSettings) -> Result<(), DirectError> {
    let callers = bind(settings.callers)?;
    let readiness = bind(settings.readiness)?;
    let hub = Rc::new(Hub::new(settings));
    watch_signals(hub.drain.clone()).context(SignalsSnafu)?;
    info!("process: started entry={} incarnation={}", hub.settings.entry, hub.incarnation);
    spawn_local(serve_callers(callers, Rc::clone(&hub)));
    spawn_local(serve_readiness(readiness, Rc::clone(&hub)));
    spawn_local(follow_config(Rc::clone(&hub)));
    spawn_local(follow_backends(Rc::clone(&hub)));
    spawn_local(talk_to_peers(Rc::clone(&hub)));
    spawn_local(plan_while_holder(Rc::clone(&hub)));
    hub.drain.started().await;
    hub.note_stopping();
    stop(&hub).await;
    Ok(())
}

fn bind(listen: SocketAddr) -> Result<TcpListener, DirectError> {
    bind_reusable(listen).context(BindSnafu { listen })
}

/// Serves on until callers are sent elsewhere and have their answers.
async fn stop(hub: &Hub) {
    let since = Instant::now();
    let grace = hub.settings.bounds.grace.duration();
    let latest = since + grace.saturating_sub(END_BEFORE_KILL);
    sleep(STAY_AT_LEAST.min(grace)).await;
    tokio::select! {
        () = hub.drain.idle() => {}
        () = tokio::time::sleep_until(latest) => {}
    }
    info!("process: stopped in_progress={}", hub.drain.in_progress());
}
