//! Runs the process until it has drained.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_platform::settings::{InstanceSettings, InstanceSettingsError, settings_path};
use clementine_process::admin::serve_admin;
use clementine_process::http::bind_reusable;
use clementine_process::logging::{LogFormat, LogTarget, start_logging};
use clementine_process::metrics::Metrics;
use clementine_process::settings::AdminSettings;
use clementine_process::shutdown::watch_signals;
use clementine_process::start::{BindSnafu, SignalsSnafu, StartError};
use snafu::{ResultExt, Snafu};
use spdlog::{Level, info};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::accept::accept;
use crate::callers::serve_caller;
use crate::follow::{follow_backends, follow_config};
use crate::peers::talk_to_peers;
use crate::planner::{hold_lease, plan_while_holder};
use crate::readiness::serve_balancer;
use crate::reload::watch_settings;
use crate::shared::{DirectMetrics, SharedState};

/// Least time from the request to stop to the end of the process. The balancer
/// sends callers here until it has asked twice for readiness.
const STAY_AT_LEAST: Duration = Duration::from_secs(3);
/// Time that is left for the end of the process before it is killed.
const END_BEFORE_KILL: Duration = Duration::from_millis(300);

/// Why the process can't run.
#[derive(Debug, Snafu)]
pub enum DirectError {
    /// The platform's settings can't be used.
    #[snafu(transparent)]
    Settings {
        /// Cause.
        source: InstanceSettingsError,
    },
    /// The process can't start with them.
    #[snafu(transparent)]
    Start {
        /// Cause.
        source: StartError,
    },
}

/// Runs the process until it has drained.
///
/// # Errors
///
/// Fails when the settings can't be used or an address can't be bound.
pub fn run(level: Level, metrics_port: Option<u16>) -> Result<(), DirectError> {
    start_logging(LogTarget::Stdout, LogFormat::Text, level).map_err(StartError::from)?;
    let path = settings_path();
    let read = InstanceSettings::load(&path)?;
    let mut settings = read.clone();
    settings.metrics_address = metrics_port.map(|port| SocketAddr::new(settings.ip, port));
    actix_rt::System::new().block_on(async {
        let running = start(settings)?;
        watch_signals(running.shared.drain.clone()).context(SignalsSnafu)?;
        watch_settings(Rc::clone(&running.shared), path, read).context(SignalsSnafu)?;
        running.stopped().await;
        Ok(())
    })
}

/// An entry that serves callers.
#[derive(Debug)]
pub struct Running {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness: SocketAddr,
    shared: Rc<SharedState>,
}

/// Starts an entry within the present runtime.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub fn start(settings: InstanceSettings) -> Result<Running, StartError> {
    let (callers, callers_at) = bind(settings.listen_address)?;
    let (readiness, readiness_at) = bind(settings.readiness_address)?;
    let metrics = Metrics::start()?;
    let direct_metrics = DirectMetrics::new(&metrics.meter());
    let metrics_at = settings.metrics_address;
    let shared = Rc::new(SharedState::new(settings, direct_metrics));
    if let Some(listen) = metrics_at {
        let settings = AdminSettings { listen, token: None };
        serve_admin(&settings, metrics, Rc::clone(&shared), None)?;
    }
    info!(
        "process: started entry={} incarnation={} readiness={} callers={}",
        shared.settings.entry, shared.incarnation, readiness_at, callers_at
    );
    spawn_local(accept(callers, Rc::clone(&shared), "callers", serve_caller));
    spawn_local(accept(readiness, Rc::clone(&shared), "readiness", serve_balancer));
    spawn_local(follow_config(Rc::clone(&shared)));
    spawn_local(follow_backends(Rc::clone(&shared)));
    spawn_local(talk_to_peers(Rc::clone(&shared)));
    spawn_local(hold_lease(Rc::clone(&shared)));
    spawn_local(plan_while_holder(Rc::clone(&shared)));
    Ok(Running { callers: callers_at, readiness: readiness_at, shared })
}

fn bind(listen: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = bind_reusable(listen).context(BindSnafu { listen })?;
    let address = listener.local_addr().context(BindSnafu { listen })?;
    Ok((listener, address))
}

impl Running {
    /// Asks the entry to stop.
    pub fn stop(&self) {
        self.shared.drain.start();
    }

    /// Waits until the entry has been asked to stop and has drained: callers
    /// are sent elsewhere and have their answers.
    pub async fn stopped(&self) {
        self.shared.drain.started().await;
        self.shared.record_shutdown_start();
        let since = Instant::now();
        let grace = self.shared.bounds.get().grace.duration();
        let latest = since + grace.saturating_sub(END_BEFORE_KILL);
        sleep(STAY_AT_LEAST.min(grace)).await;
        tokio::select! {
            () = self.shared.drain.idle() => {}
            () = sleep_until(latest) => {}
        }
        info!("process: stopped in_progress={}", self.shared.drain.in_progress());
    }
}
