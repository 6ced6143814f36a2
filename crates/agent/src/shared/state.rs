//! The agent's shared state, status and state dump.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use clementine_decide::admission::{AdmissionLimits, AdmissionQueue};
use clementine_decide::balance::LoadReport;
use clementine_decide::config::{ConfigUpdate, LocalConfig};
use clementine_decide::dedup::DedupTable;
use clementine_decide::ids::{AgentRef, IncarnationId};
use clementine_decide::limits::{LimitBoard, LimitReport, LimitTotals};
use clementine_decide::quarantine::{CrashLog, SuspectGate};
use clementine_decide::stage::StageLimits;
use clementine_net::Dialer;
use clementine_objects::{Repeat, Revision};
use clementine_process::admin::AdminProcess;
use clementine_process::clock::{Clock, PauseWatch};
use clementine_process::shutdown::Drain;
use clementine_wire::{AgentDescription, AgentState, AgentStatus};
use opentelemetry::metrics::Meter;
use serde_json::{Value, json};
use spdlog::{info, warn};
use tokio::sync::Notify;

use super::{AgentMetrics, Job};
use crate::backend::IdleConnections;
use crate::responses::{ResponseStore, ResponseStoreLimits};
use crate::settings::AgentSettings;
use crate::stages::StageRunner;

/// Concurrency limit until the pool's declaration is known.
const INITIAL_SLOTS: usize = 1;

/// The agent's shared state.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(super) settings: AgentSettings,
    pub(super) clock: Clock,
    pub(crate) pauses: PauseWatch,
    /// Deduplication table of requests that must be executed at most once.
    pub(super) once_dedup: RefCell<DedupTable>,
    /// Deduplication table of requests that may be retried under another work
    /// id.
    pub(super) repeatable_dedup: RefCell<DedupTable>,
    /// Notified after either table has decided on a run request.
    pub(super) dedup_changed: Notify,
    pub(super) admission: RefCell<AdmissionQueue<Job>>,
    pub(super) responses: RefCell<ResponseStore>,
    /// Requests that were running when backend servers crashed.
    pub(super) crash_log: RefCell<CrashLog>,
    /// What entries use of the limits of workspaces.
    limit_board: RefCell<LimitBoard>,
    /// Admits requests that are suspected of crashing a backend server.
    pub(super) suspect_gate: Rc<RefCell<SuspectGate>>,
    pub(super) idle_connections: IdleConnections,
    pub(super) backend_up: Cell<bool>,
    /// Number of times that the backend server was found alive after a loss or at the start.
    pub(super) liveness_proofs: Cell<u64>,
    pub(super) drain: Drain,
    pub(super) metrics: AgentMetrics,
    address: SocketAddr,
    incarnation: IncarnationId,
    config: RefCell<LocalConfig>,
    stages: Rc<StageRunner>,
}

impl SharedState {
    /// Creates the state of an agent that others reach at `address`.
    pub(crate) fn new(
        settings: AgentSettings,
        address: SocketAddr,
        dialer: Rc<Dialer>,
        drain: Drain,
        meter: &Meter,
    ) -> Rc<Self> {
        let incarnation = IncarnationId(rand::random());
        let limits = AdmissionLimits { slots: INITIAL_SLOTS, queue: settings.queue };
        let response_limits = ResponseStoreLimits {
            max_response_bytes: settings.max_response_bytes,
            max_total_bytes: settings.max_total_bytes,
            repeatable_retention: settings.repeatable_retention,
            once_retention: settings.once_retention,
        };
        let clock = Clock::start();
        let stage_limits =
            StageLimits { requests: settings.stage_requests, output_size: settings.stage_bytes };
        Rc::new(Self {
            clock,
            pauses: PauseWatch::new(clock),
            once_dedup: RefCell::new(DedupTable::new(incarnation, settings.dedup_records)),
            repeatable_dedup: RefCell::new(DedupTable::new(incarnation, settings.dedup_records)),
            dedup_changed: Notify::new(),
            admission: RefCell::new(AdmissionQueue::new(limits)),
            responses: RefCell::new(ResponseStore::new(response_limits)),
            crash_log: RefCell::default(),
            limit_board: RefCell::default(),
            suspect_gate: Rc::default(),
            idle_connections: IdleConnections::default(),
            backend_up: Cell::new(false),
            liveness_proofs: Cell::new(0),
            drain,
            metrics: AgentMetrics::new(meter),
            address,
            incarnation,
            config: RefCell::default(),
            stages: StageRunner::new(settings.backend, dialer, clock, stage_limits),
            settings,
        })
    }

    /// Returns the runner of this agent's stage of split models.
    pub(crate) const fn stages(&self) -> &Rc<StageRunner> {
        &self.stages
    }

    /// Returns the reference that claims store for this agent: its address,
    /// incarnation and current epoch.
    pub(crate) fn agent_ref(&self) -> AgentRef {
        let epoch = self.once_dedup.borrow().epoch();
        AgentRef { address: self.address, incarnation: self.incarnation, epoch }
    }

    /// Returns the agent's identity, state and load.
    pub(crate) fn describe(&self) -> AgentDescription {
        AgentDescription {
            pool: self.settings.pool.clone(),
            domain: self.settings.domain.clone(),
            status: self.status(),
        }
    }

    /// Returns the changing part of the description.
    pub(crate) fn status(&self) -> AgentStatus {
        AgentStatus {
            agent: self.agent_ref(),
            state: self.state(),
            load: self.load(),
            revision: self.config.borrow().revision(),
        }
    }

    /// Applies a configuration update and returns the resulting revision.
    pub(crate) fn configure(self: &Rc<Self>, update: &ConfigUpdate) -> Revision {
        let applied = self.config.borrow_mut().apply_update(update);
        let revision = self.config.borrow().revision();
        match applied {
            Ok(true) => {
                info!("config: revision {} is in force", revision);
                self.apply_config();
            }
            Ok(false) => {}
            Err(error) => warn!("config: failed to apply an update: {}", error),
        }
        revision
    }

    /// Returns the update that brings a process at `revision` up to date.
    pub(crate) fn config_since(&self, revision: Revision) -> ConfigUpdate {
        self.config.borrow().update_since(revision)
    }

    /// Records what an entry uses of the limits of workspaces and returns what all other
    /// entries use.
    pub(crate) fn exchange_limits(&self, report: LimitReport) -> LimitTotals {
        self.limit_board.borrow_mut().exchange(report, self.clock.now())
    }

    /// Returns the deduplication table for a kind of request.
    pub(super) const fn dedup(&self, repeat: Repeat) -> &RefCell<DedupTable> {
        match repeat {
            Repeat::Safe => &self.repeatable_dedup,
            Repeat::Never => &self.once_dedup,
        }
    }

    fn apply_config(self: &Rc<Self>) {
        let Some(snapshot) = self.config.borrow().snapshot() else { return };
        let Some(pool) = snapshot.catalog.pool(&self.settings.pool) else { return };
        let slots = usize::try_from(pool.concurrency).unwrap_or(usize::MAX);
        let limits = AdmissionLimits { slots, queue: self.settings.queue };
        let started = self.admission.borrow_mut().set_limits(limits);
        self.spawn_jobs(started);
    }

    fn state(&self) -> AgentState {
        if self.drain.is_draining() {
            AgentState::Leaving
        } else if self.backend_up.get() {
            AgentState::Ready
        } else {
            AgentState::Starting
        }
    }

    fn load(&self) -> LoadReport {
        let admission = self.admission.borrow();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        LoadReport {
            running: count(admission.running()),
            queued: count(admission.queued()),
            slots: count(admission.slots()),
            service_time: admission.service_time(),
        }
    }
}

impl AdminProcess for SharedState {
    fn not_ready(&self) -> Option<String> {
        match self.state() {
            AgentState::Ready => None,
            AgentState::Starting => Some("the backend server accepts no connections".to_owned()),
            AgentState::Leaving => Some("leaving".to_owned()),
        }
    }

    fn state(&self) -> Value {
        let responses = self.responses.borrow();
        json!({
            "process": "clementine-agent",
            "version": env!("CARGO_PKG_VERSION"),
            "description": self.describe(),
            "backend": self.settings.backend.to_string(),
            "in_progress": self.drain.in_progress(),
            "gate": {
                "epoch": self.once_dedup.borrow().epoch(),
                "once_records": self.once_dedup.borrow().len(),
                "repeatable_records": self.repeatable_dedup.borrow().len(),
                "records_limit": 2 * self.settings.dedup_records,
            },
            "answers": {
                "count": responses.len(),
                "bytes": responses.bytes(),
                "bytes_limit": self.settings.max_total_bytes,
            },
            "quarantine": self.crash_log.borrow().len(),
            "stages": {
                "requests": self.stages.len(),
                "requests_limit": self.settings.stage_requests,
                "output_bytes": self.stages.output_bytes(),
                "output_bytes_limit": self.settings.stage_bytes,
            },
        })
    }
}
