//! State shared by all tasks of the process.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ServiceConfig;
use bytes::Bytes;
use clementine_decide::fleet::Fleet;
use clementine_decide::ids::{BackendId, IncarnationId, StoreEra, StoreVersion, Tick};
use clementine_decide::lease::{LeaseLimits, LeaseState};
use clementine_decide::overload::RefusalRate;
use clementine_decide::paths::LinkUsage;
use clementine_decide::peers::{
    EntryCount, FeedPositions, FollowedTable, PeerView, Sightings, must_follow,
};
use clementine_decide::prefixes::PrefixIndex;
use clementine_decide::quarantine::{CrashLog, SuspectSlot};
use clementine_decide::retry::{SharedBudgets, SlackReports};
use clementine_decide::routing::RoutingTable;
use clementine_decide::shares::ShareLedger;
use clementine_http1::{BodyBudget, ReadLimits, ServerConn};
use clementine_objects::LayerRange;
use clementine_platform::settings::{InstanceBounds, InstanceSettings};
use clementine_platform::store::StoreClient;
use clementine_process::clock::{Clock, PauseWatch};
use clementine_process::logging::LogInterval;
use clementine_process::shutdown::Drain;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use spdlog::info;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::pool_queues::PoolQueues;
use super::retry_budgets::retry_limits;
use super::{DirectMetrics, Outbox, RateLimitedStore, TableSync};

/// Share of the process's memory for the bodies of callers' requests.
const BODY_SHARE: f64 = 0.4;
/// Share of the process's memory for the bodies of responses. The rest is for connections
/// and what the allocator keeps.
const RESPONSE_SHARE: f64 = 0.2;

/// Budget of a share of the process's memory.
fn body_budget(settings: &InstanceSettings, share: f64) -> BodyBudget {
    BodyBudget::new((settings.memory_bytes as f64 * share) as usize)
}

/// State shared by all tasks of the process.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) settings: InstanceSettings,
    /// Settings that can change while the process runs.
    pub(crate) bounds: Cell<InstanceBounds>,
    pub(crate) metrics: DirectMetrics,
    /// Identifies this run of the process; a restart gets a new value.
    pub(crate) incarnation: IncarnationId,
    pub(crate) clock: Clock,
    pub(crate) pauses: PauseWatch,
    /// HTTP codec settings of all connections.
    pub(crate) codec: ServiceConfig,
    pub(crate) store: RateLimitedStore,
    pub(crate) fleet: RefCell<Fleet>,
    /// Usage of the links between failure domains.
    pub(crate) links: RefCell<LinkUsage>,
    /// Leading parts of prompts that engines hold.
    pub(crate) prefixes: RefCell<PrefixIndex>,
    /// Limits the log lines on requests that are placed by what engines hold.
    pub(crate) prefix_log: LogInterval,
    /// Memory for the bodies of callers' requests.
    pub(crate) body_budget: BodyBudget,
    pub(crate) response_budget: BodyBudget,
    /// The other entries.
    pub(crate) peers: RefCell<PeerView>,
    /// The planner's lease.
    pub(crate) lease: RefCell<LeaseState>,
    /// Synchronization state of the configuration.
    pub(crate) config_sync: TableSync,
    /// Synchronization state of the list of backend servers.
    pub(crate) backend_list_sync: TableSync,
    /// Messages to send to other entries at once.
    pub(crate) outbox: Outbox,
    /// Recent reports on backend servers.
    pub(crate) sightings: RefCell<Sightings>,
    /// Requests that were running when backend servers crashed.
    pub(crate) crash_log: RefCell<CrashLog>,
    /// Slots of the saved suspects that this entry has written.
    pub(crate) saved_slots: RefCell<HashSet<SuspectSlot>>,
    /// Whether the list of backend servers has been loaded since the start.
    pub(crate) backend_list_loaded: Cell<bool>,
    /// Backend servers whose status report is being requested.
    pub(crate) report_requests: RefCell<HashSet<BackendId>>,
    /// Backend servers to which a liveness probe is connecting.
    pub(crate) connection_probes: RefCell<HashSet<BackendId>>,
    /// Notified when a backend server is marked as down.
    pub(crate) backend_down: Notify,
    /// Number of requests in progress, and whether the process is shutting down.
    pub(crate) drain: Drain,
    /// Starts when the process is about to exit, and counts open listeners and
    /// connections of callers.
    pub(crate) closing: Drain,
    pub(crate) rng: RefCell<SmallRng>,
    /// Share of recent requests that were refused for lack of capacity.
    pub(crate) refusal_rate: RefCell<RefusalRate>,
    /// Requests that wait for capacity.
    pub(super) queues: PoolQueues,
    pub(crate) retry_budgets: RefCell<SharedBudgets>,
    /// What other entries use of the retry budgets.
    pub(crate) slack_reports: RefCell<SlackReports>,
    /// Number of entries that share sums.
    pub(crate) entry_count: Cell<EntryCount>,
    /// Work of workspaces, and their shares while capacity is scarce.
    pub(crate) shares: RefCell<ShareLedger>,
    /// Limits the lines about requests over their share.
    pub(crate) shares_log: LogInterval,
    /// Limits the "no path" lines.
    pub(crate) no_path_log: LogInterval,
    /// Limits the lines about engines beyond the loss bound.
    pub(crate) loss_bound_log: LogInterval,
    routing_table: RefCell<Option<Rc<RoutingTable>>>,
    /// The document from which `routing_table` was decoded.
    config_document: RefCell<Option<Bytes>>,
    shutdown_started_at: Cell<Option<Instant>>,
}

impl SharedState {
    pub(crate) fn new(settings: InstanceSettings, metrics: DirectMetrics) -> Self {
        let mut rng = SmallRng::try_from_rng(&mut rand::rngs::SysRng)
            .unwrap_or_else(|_| SmallRng::seed_from_u64(u64::from(std::process::id())));
        let incarnation = IncarnationId(rng.random());
        let codec = ServerConn::codec_config();
        let clock = Clock::start();
        Self {
            incarnation,
            store: RateLimitedStore::new(
                StoreClient::new(settings.store_address, codec.clone()),
                clock,
                metrics.store_calls(),
            ),
            clock,
            pauses: PauseWatch::new(clock),
            codec,
            fleet: RefCell::default(),
            links: RefCell::default(),
            prefixes: RefCell::default(),
            prefix_log: LogInterval::default(),
            body_budget: body_budget(&settings, BODY_SHARE),
            response_budget: body_budget(&settings, RESPONSE_SHARE),
            peers: RefCell::default(),
            lease: RefCell::new(LeaseState::new(
                LeaseLimits::default(),
                settings.entry.clone(),
                incarnation,
            )),
            config_sync: TableSync::default(),
            backend_list_sync: TableSync::default(),
            outbox: Outbox::default(),
            sightings: RefCell::default(),
            crash_log: RefCell::default(),
            saved_slots: RefCell::default(),
            backend_list_loaded: Cell::new(false),
            report_requests: RefCell::default(),
            connection_probes: RefCell::default(),
            backend_down: Notify::new(),
            drain: Drain::default(),
            closing: Drain::default(),
            rng: RefCell::new(rng),
            refusal_rate: RefCell::default(),
            queues: PoolQueues::default(),
            retry_budgets: RefCell::new(SharedBudgets::new(
                settings.entry.clone(),
                incarnation,
                retry_limits(&settings.bounds),
            )),
            slack_reports: RefCell::default(),
            entry_count: Cell::default(),
            shares: RefCell::default(),
            shares_log: LogInterval::default(),
            no_path_log: LogInterval::default(),
            loss_bound_log: LogInterval::default(),
            routing_table: RefCell::default(),
            config_document: RefCell::default(),
            shutdown_started_at: Cell::new(None),
            bounds: Cell::new(settings.bounds),
            metrics,
            settings,
        }
    }

    /// Current time.
    pub(crate) fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Version of the planner's lease row if this process holds the lease.
    pub(crate) fn held_lease_version(&self) -> Option<StoreVersion> {
        self.lease.borrow().held_version(self.now())
    }

    /// Latest era of the store that any entry has seen.
    pub(crate) fn store_era(&self) -> StoreEra {
        let config = self.config_sync.newest_version_anywhere().era;
        let backends = self.backend_list_sync.newest_version_anywhere().era;
        self.store.era().max(config).max(backends)
    }

    /// Synchronization state of a followed table.
    pub(crate) const fn table_sync(&self, table: FollowedTable) -> &TableSync {
        match table {
            FollowedTable::Config => &self.config_sync,
            FollowedTable::Backends => &self.backend_list_sync,
        }
    }

    /// Whether this process reads changes from the store, because it plans or too
    /// few of its neighbors pass them on.
    pub(crate) fn must_follow_store(&self) -> bool {
        let preceding = self.peers.borrow().followers_before(&self.settings.entry, self.now());
        must_follow(preceding) || self.held_lease_version().is_some()
    }

    /// Whether the neighbors that precede this entry would follow the store
    /// instead of it if they could.
    pub(crate) fn is_standby_follower(&self) -> bool {
        let peers = self.peers.borrow();
        !must_follow(peers.neighbors().filter(|id| **id < self.settings.entry).count())
    }

    /// The positions to announce to the neighbors, if this process follows the
    /// store successfully.
    pub(crate) fn feed_positions(&self) -> Option<FeedPositions> {
        let followed = self.config_sync.is_followed() && self.backend_list_sync.is_followed();
        (followed && self.must_follow_store()).then(|| FeedPositions {
            config: self.config_sync.feed_position(),
            backends: self.backend_list_sync.feed_position(),
        })
    }

    /// The current configuration, or `None` until the first one is applied.
    pub(crate) fn routing_table(&self) -> Option<Rc<RoutingTable>> {
        self.routing_table.borrow().clone()
    }

    /// Applies a configuration. One that is not newer than the current one is
    /// ignored.
    pub(crate) fn apply_config(&self, table: RoutingTable, document: Bytes) {
        let previous = self.routing_table().map(|current| current.version);
        if previous.is_some_and(|previous| previous >= table.version) {
            return;
        }
        let (version, routes) = (table.version, table.route_count());
        info!("config: version {} in force, {} routes, was {:?}", version, routes, previous);
        self.queues.retain_pools(|pool| table.pools.contains_key(pool));
        self.routing_table.replace(Some(Rc::new(table)));
        self.config_document.replace(Some(document));
        self.places_freed();
    }

    /// The document of the current configuration.
    pub(crate) fn config_document(&self) -> Option<Bytes> {
        self.config_document.borrow().clone()
    }

    /// Records that the process has been asked to shut down.
    pub(crate) fn record_shutdown_start(&self) {
        self.shutdown_started_at.set(Some(Instant::now()));
    }

    /// Time since the process was asked to shut down.
    pub(crate) fn shutdown_elapsed(&self) -> Option<Duration> {
        self.shutdown_started_at.get().map(|since| since.elapsed())
    }

    /// Whether the load balancer may send callers to this process.
    pub(crate) fn is_ready(&self) -> bool {
        !self.drain.is_draining()
            && self.backend_list_loaded.get()
            && self.routing_table.borrow().is_some()
    }

    /// Limits for reading callers' requests.
    pub(crate) fn read_limits(&self) -> ReadLimits {
        let Some(table) = self.routing_table() else { return ReadLimits::default() };
        let limits = table.limits;
        ReadLimits {
            max_head_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            head_timeout: limits.header_timeout.duration(),
            idle_timeout: limits.idle_timeout.duration(),
        }
    }

    /// Whether a backend server is an engine with loaded layers.
    pub(crate) fn has_layers(&self, id: &BackendId) -> bool {
        self.fleet.borrow().get(id).is_some_and(|member| member.backend.layers.is_some())
    }

    /// Applies changed settings.
    pub(crate) fn apply_bounds(&self, bounds: InstanceBounds) {
        self.bounds.set(bounds);
        self.retry_budgets.borrow_mut().set_total(retry_limits(&bounds));
    }

    /// Applies an engine's report of its layers and of the orders that it has started.
    pub(crate) fn record_layers(
        &self,
        id: &BackendId,
        layers: Option<LayerRange>,
        orders_started: u64,
    ) {
        let mut fleet = self.fleet.borrow_mut();
        let Some(member) = fleet.get_mut(id) else { return };
        let changed = member.backend.layers != layers;
        member.apply_report(layers, orders_started);
        drop(fleet);
        if changed {
            self.places_freed();
        }
    }

    /// Marks a backend server as down. Returns whether it was up before.
    pub(crate) fn set_down(&self, id: &BackendId, reason: &'static str) -> bool {
        let mut fleet = self.fleet.borrow_mut();
        let changed = fleet.get_mut(id).is_some_and(|member| member.set_down(true));
        drop(fleet);
        if changed {
            info!("fleet: backend={} down reason={}", id, reason);
            self.metrics.count_backend_down(reason);
            self.backend_down.notify_waiters();
        }
        changed
    }

    /// Marks a backend server as up again. Returns whether it was down before.
    pub(crate) fn set_up(&self, id: &BackendId) -> bool {
        let mut fleet = self.fleet.borrow_mut();
        let changed = fleet.get_mut(id).is_some_and(|member| member.set_down(false));
        drop(fleet);
        if changed {
            self.places_freed();
        }
        changed
    }

    /// Sets whether a backend server is draining and gets no new runs. Returns
    /// whether the value changed.
    pub(crate) fn set_leaving(&self, id: &BackendId, leaving: bool) -> bool {
        let mut fleet = self.fleet.borrow_mut();
        let changed = fleet.get_mut(id).is_some_and(|member| member.set_leaving(leaving));
        drop(fleet);
        if changed && !leaving {
            self.places_freed();
        }
        changed
    }

    /// Applies the number of entries and the load that the other entries reported.
    pub(crate) fn apply_peer_loads(&self) {
        let peers = self.peers.borrow();
        self.observe_entries(peers.live_count());
        let totals = peers.load_totals();
        self.fleet.borrow_mut().set_remote_load(&totals.backends);
        self.links.borrow_mut().set_remote(totals.links);
        self.shares.borrow_mut().merge(totals.shares);
        drop(peers);
        self.update_limit_shares();
        self.places_freed();
    }

    /// Records that a backend server failed a request, which starts its backoff.
    pub(crate) fn record_failure(&self, id: &BackendId, reason: &str, request: &str) {
        let now = self.now();
        if let Some(member) = self.fleet.borrow_mut().get_mut(id) {
            member.record_failure(now);
        }
        info!("fleet: backend={} paused reason={} request={}", id, reason, request);
    }
}
