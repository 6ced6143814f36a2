//! Starts and stops the process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::prefixes::PrefixAffinity;
use clementine_platform::settings::{
    InstanceBounds, InstanceSettings, InstanceSettingsError, settings_path,
};
use clementine_process::admin::serve_admin;
use clementine_process::http::bind_reusable;
use clementine_process::logging::{LogFormat, LogTarget, start_logging};
use clementine_process::metrics::Metrics;
use clementine_process::settings::AdminSettings;
use clementine_process::shutdown::watch_signals;
use clementine_process::start::{BindSnafu, SignalsSnafu, StartError};
use snafu::{ResultExt, Snafu};
use spdlog::{Level, info, warn};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::accept::accept_connections;
use crate::callers::serve_caller;
use crate::crashes::load_saved_quarantine;
use crate::follow::{follow_backends, follow_config};
use crate::peers::exchange_messages;
use crate::planner::{maintain_lease, run_planner};
use crate::readiness::serve_readiness;
use crate::reload::watch_settings;
use crate::shared::{DirectMetrics, SharedState};

/// Minimum time from the start of the shutdown to the exit of the process. The
/// load balancer sends callers here until two readiness checks have failed.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_secs(3);
/// Part of the grace period that is left for the exit of the process, before
/// the platform kills it.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Maximum time for the last responses and the closing of connections. Part of
/// [`EXIT_MARGIN`].
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Error that prevents the process from running.
#[derive(Debug, Snafu)]
pub enum DirectError {
    /// The platform's settings are unreadable or invalid.
    #[snafu(transparent)]
    Settings {
        /// Underlying error.
        source: InstanceSettingsError,
    },
    /// The process could not be started.
    #[snafu(transparent)]
    Start {
        /// Underlying error.
        source: StartError,
    },
}

/// Runs the process until a signal stops it and it has drained.
///
/// # Errors
///
/// Returns an error if the settings are unreadable or invalid, or an address
/// cannot be bound.
pub fn run(
    level: Level,
    metrics_port: Option<u16>,
    prefix_affinity: PrefixAffinity,
) -> Result<(), DirectError> {
    start_logging(LogTarget::Stdout, LogFormat::Text, level).map_err(StartError::from)?;
    let path = settings_path();
    let loaded = InstanceSettings::load(&path, &InstanceBounds::default())?;
    for warning in &loaded.warnings {
        warn!("settings: {}", warning);
    }
    let mut settings = loaded.clone();
    settings.prefix_affinity = prefix_affinity;
    settings.metrics_address = metrics_port.map(|port| SocketAddr::new(settings.ip, port));
    actix_rt::System::new().block_on(async {
        let running = start(settings)?;
        watch_signals(running.shared.drain.clone()).context(SignalsSnafu)?;
        watch_settings(Rc::clone(&running.shared), path, loaded).context(SignalsSnafu)?;
        running.stopped().await;
        Ok(())
    })
}

/// A started entry.
#[derive(Debug)]
pub struct Running {
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint for the load balancer.
    pub readiness: SocketAddr,
    shared: Rc<SharedState>,
}

/// Starts an entry on the current thread's runtime.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub fn start(settings: InstanceSettings) -> Result<Running, StartError> {
    let (caller_listener, callers) = bind(settings.listen_address)?;
    let (readiness_listener, readiness) = bind(settings.readiness_address)?;
    let metrics = Metrics::start()?;
    let direct_metrics = DirectMetrics::new(&metrics.meter());
    let metrics_address = settings.metrics_address;
    let shared = Rc::new(SharedState::new(settings, direct_metrics));
    if let Some(listen) = metrics_address {
        let settings = AdminSettings { listen, token: None };
        serve_admin(&settings, metrics, Rc::clone(&shared), None)?;
    }
    info!(
        "process: started entry={} incarnation={} readiness={} callers={}",
        shared.settings.entry, shared.incarnation, readiness, callers
    );
    spawn_local(accept_connections(caller_listener, Rc::clone(&shared), "callers", serve_caller));
    spawn_local(accept_connections(
        readiness_listener,
        Rc::clone(&shared),
        "readiness",
        serve_readiness,
    ));
    spawn_local(shared.pauses.clone().run());
    spawn_local(follow_config(Rc::clone(&shared)));
    spawn_local(follow_backends(Rc::clone(&shared)));
    spawn_local(exchange_messages(Rc::clone(&shared)));
    spawn_local(load_saved_quarantine(Rc::clone(&shared)));
    spawn_local(maintain_lease(Rc::clone(&shared)));
    spawn_local(run_planner(Rc::clone(&shared)));
    Ok(Running { callers, readiness, shared })
}

fn bind(listen: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = bind_reusable(listen).context(BindSnafu { listen })?;
    let address = listener.local_addr().context(BindSnafu { listen })?;
    Ok((listener, address))
}

impl Running {
    /// Starts the shutdown.
    pub fn stop(&self) {
        self.shared.drain.start();
    }

    /// Waits until the shutdown has started and the entry has drained: the load
    /// balancer has had time to stop sending callers, and no request is in
    /// progress or the grace period is about to end. Then the listeners are closed,
    /// and the connections once their last requests have been answered.
    pub async fn stopped(&self) {
        self.shared.drain.wait_started().await;
        self.shared.record_shutdown_start();
        let started = Instant::now();
        let grace = self.shared.bounds.get().grace.duration();
        let deadline = started + grace.saturating_sub(EXIT_MARGIN);
        sleep(MIN_SHUTDOWN_TIME.min(grace.saturating_sub(EXIT_MARGIN))).await;
        tokio::select! {
            () = self.shared.drain.wait_idle() => {}
            () = sleep_until(deadline) => {}
        }
        info!("process: stopped in_progress={}", self.shared.drain.in_progress());
        self.shared.closing.start();
        if timeout(CLOSE_TIMEOUT, self.shared.closing.wait_idle()).await.is_err() {
            info!("process: connections left={}", self.shared.closing.in_progress());
        }
    }
}
