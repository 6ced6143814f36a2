//! Shared state of the entry process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use awc::Client;
use clementine_decide::config::LocalConfig;
use clementine_decide::ids::IncarnationId;
use clementine_decide::limits::WorkspaceLimiter;
use clementine_decide::quarantine::CrashLog;
use clementine_decide::retry::{RetryBudget, RetryBudgetLimits};
use clementine_net::Dialer;
use clementine_process::admin::AdminProcess;
use clementine_process::clock::{Clock, PauseWatch};
use clementine_process::logging::LogInterval;
use clementine_process::shutdown::Drain;
use clementine_stores::{CallLimiter, CallLimits, DynamoTable, EndpointSlices, S3Objects};
use opentelemetry::metrics::Meter;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::EntryMetrics;
use crate::config::WorkspaceIndex;
use crate::fleet::Fleet;
use crate::limits::LimitBoards;
use crate::settings::EntrySettings;
use crate::store::{ClaimTable, ConfigTable};

/// Shared state of the entry process.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Clock,
    pub(crate) pauses: PauseWatch,
    /// Whether the process is shutting down; the readiness check then fails.
    pub(crate) leaving: Cell<bool>,
    /// Requests in progress.
    pub(crate) drain: Drain,
    pub(crate) metrics: EntryMetrics,
    pub(crate) fleet: Fleet,
    pub(crate) config: RefCell<LocalConfig>,
    pub(crate) workspace_index: RefCell<WorkspaceIndex>,
    pub(crate) config_changed: Notify,
    pub(crate) config_table: ConfigTable,
    pub(crate) claims: ClaimTable,
    pub(crate) objects: S3Objects,
    pub(crate) instances: EndpointSlices,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    /// Requests that were running when backend servers crashed.
    pub(crate) crash_log: RefCell<CrashLog>,
    /// Requests of workspaces with limits.
    pub(crate) limiter: Rc<RefCell<WorkspaceLimiter>>,
    /// Agents through which entries learn of each other's requests.
    pub(crate) limit_boards: LimitBoards,
    /// Notified when a request of a workspace with limits has started.
    pub(crate) limit_used: Notify,
    /// Limits the lines about refusals by a limit.
    pub(crate) limits_log: LogInterval,
    table_limiter: Rc<CallLimiter>,
    objects_limiter: Rc<CallLimiter>,
}

impl Entry {
    /// Creates the state of a starting entry, with no configuration and no agents.
    pub(crate) fn new(settings: EntrySettings, dialer: Rc<Dialer>, meter: &Meter) -> Rc<Self> {
        let platform = settings.platform.clone();
        let limits = CallLimits {
            calls_per_second: platform.calls_per_second,
            call_timeout: platform.call_timeout,
        };
        let new_limiter = || Rc::new(CallLimiter::new(limits));
        let (table_limiter, objects_limiter) = (new_limiter(), new_limiter());
        let client = Client::builder().disable_redirects().finish();
        let table = DynamoTable::new(
            client.clone(),
            &platform.table_url,
            &platform.table,
            Rc::clone(&table_limiter),
        );
        let objects =
            S3Objects::new(client.clone(), &platform.objects_url, Rc::clone(&objects_limiter));
        let clock = Clock::start();
        Rc::new(Self {
            clock,
            pauses: PauseWatch::new(clock),
            leaving: Cell::new(false),
            drain: Drain::default(),
            metrics: EntryMetrics::new(meter),
            limiter: Rc::new(RefCell::new(WorkspaceLimiter::new(IncarnationId(rand::random())))),
            limit_boards: LimitBoards::new(Rc::clone(&dialer)),
            limit_used: Notify::new(),
            limits_log: LogInterval::default(),
            fleet: Fleet::new(settings.subset, dialer),
            config: RefCell::default(),
            workspace_index: RefCell::default(),
            config_changed: Notify::new(),
            config_table: ConfigTable::new(table.clone()),
            claims: ClaimTable::new(table, settings.claim_retention),
            objects,
            instances: EndpointSlices::new(client, &platform.instances_url, new_limiter()),
            retry_budget: RefCell::new(RetryBudget::new(RetryBudgetLimits::default())),
            crash_log: RefCell::default(),
            table_limiter,
            objects_limiter,
            settings,
        })
    }
}

impl AdminProcess for Entry {
    fn not_ready(&self) -> Option<String> {
        if self.leaving.get() {
            return Some("leaving".to_owned());
        }
        if self.config.borrow().snapshot().is_none() {
            return Some("no configuration has been loaded yet".to_owned());
        }
        (!self.fleet.has_instance_list())
            .then(|| "the instance list has not been read yet".to_owned())
    }

    fn state(&self) -> Value {
        let now = self.clock.now();
        json!({
            "process": "clementine-entry",
            "version": env!("CARGO_PKG_VERSION"),
            "domain": self.settings.domain,
            "revision": self.config.borrow().revision(),
            "not_ready": self.not_ready(),
            "in_progress": self.drain.in_progress(),
            "in_progress_limit": self.settings.limits.in_progress,
            "quarantine": self.crash_log.borrow().len(),
            "workspaces_limited": self.limiter.borrow().tracked(),
            "table_calls": self.table_limiter.counts(),
            "table_circuit_closed": self.table_limiter.is_circuit_closed(),
            "object_calls": self.objects_limiter.counts(),
            "fleet": self.fleet.state(now),
        })
    }
}
