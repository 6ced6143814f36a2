//! What the parts of the process share.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ServiceConfig;
use clementine_decide::fleet::Fleet;
use clementine_decide::ids::{BackendId, IncarnationId, Tick};
use clementine_decide::lease::{LeaseLimits, LeaseState};
use clementine_decide::overload::RefusalRate;
use clementine_decide::paths::LinkUsage;
use clementine_decide::peers::PeerView;
use clementine_decide::routing::RoutingTable;
use clementine_http1::{ReadLimits, ServerConn};
use clementine_platform::settings::{InstanceBounds, InstanceSettings};
use clementine_platform::store::StoreClient;
use clementine_process::clock::Clock;
use clementine_process::shutdown::Drain;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use spdlog::info;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::{BoundedStore, Followed, Meters, Retries};

/// What the parts of the process share.
#[derive(Debug)]
pub(crate) struct Hub {
    pub(crate) settings: InstanceSettings,
    /// Bounds of the settings, which may change while the process runs.
    pub(crate) bounds: Cell<InstanceBounds>,
    pub(crate) meters: Meters,
    /// This start of the process.
    pub(crate) incarnation: IncarnationId,
    pub(crate) clock: Clock,
    /// Codec settings of all connections.
    pub(crate) codec: ServiceConfig,
    pub(crate) store: BoundedStore,
    pub(crate) fleet: RefCell<Fleet>,
    /// Use of the links between failure domains.
    pub(crate) links: RefCell<LinkUsage>,
    /// The other entries.
    pub(crate) peers: RefCell<PeerView>,
    /// The planner's lease.
    pub(crate) lease: RefCell<LeaseState>,
    /// How far the configuration is followed.
    pub(crate) config_followed: Followed,
    /// How far the list of backend servers is followed.
    pub(crate) list_followed: Followed,
    /// Whether the list of backend servers has been read.
    pub(crate) listed: Cell<bool>,
    /// Backend servers that are being asked for their report.
    pub(crate) questions: RefCell<HashSet<BackendId>>,
    /// Backend servers that are being connected to for a sign of life.
    pub(crate) reaching: RefCell<HashSet<BackendId>>,
    /// Wakes whoever waits for news of a backend server's loss.
    pub(crate) losses: Notify,
    /// Requests in progress, and whether the process is stopping.
    pub(crate) drain: Drain,
    pub(crate) rng: RefCell<SmallRng>,
    /// Load against what there is room for.
    pub(crate) pressure: RefCell<RefusalRate>,
    pub(crate) retries: RefCell<Retries>,
    /// When it was last logged why no path was found, and how often it was
    /// not logged since.
    pub(crate) shortage_logged_at: Cell<Option<Tick>>,
    pub(crate) shortages_held_back: Cell<u64>,
    table: RefCell<Option<Rc<RoutingTable>>>,
    stopping_since: Cell<Option<Instant>>,
}

impl Hub {
    pub(crate) fn new(settings: InstanceSettings, meters: Meters) -> Self {
        let mut rng = SmallRng::try_from_rng(&mut rand::rngs::SysRng)
            .unwrap_or_else(|_| SmallRng::seed_from_u64(u64::from(std::process::id())));
        let incarnation = IncarnationId(rng.random());
        let codec = ServerConn::codec_config();
        let clock = Clock::start();
        Self {
            incarnation,
            store: BoundedStore::new(
                StoreClient::new(settings.store_address, codec.clone()),
                clock,
            ),
            clock,
            codec,
            fleet: RefCell::default(),
            links: RefCell::default(),
            peers: RefCell::default(),
            lease: RefCell::new(LeaseState::new(
                LeaseLimits::default(),
                settings.entry.clone(),
                incarnation,
            )),
            config_followed: Followed::default(),
            list_followed: Followed::default(),
            listed: Cell::new(false),
            questions: RefCell::default(),
            reaching: RefCell::default(),
            losses: Notify::new(),
            drain: Drain::default(),
            rng: RefCell::new(rng),
            pressure: RefCell::default(),
            retries: RefCell::new(Retries::new(settings.bounds)),
            shortage_logged_at: Cell::default(),
            shortages_held_back: Cell::default(),
            table: RefCell::default(),
            stopping_since: Cell::new(None),
            bounds: Cell::new(settings.bounds),
            meters,
            settings,
        }
    }

    /// The present.
    pub(crate) fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Version of the lease's row with which this process holds the planner's
    /// lease, if it does.
    pub(crate) fn holds_lease(&self) -> Option<u64> {
        self.lease.borrow().held_version(self.now())
    }

    /// The configuration in force, once there is one.
    pub(crate) fn table(&self) -> Option<Rc<RoutingTable>> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force unless a newer one is.
    pub(crate) fn publish(&self, table: RoutingTable) {
        let held = self.table().map(|held| held.version);
        if held.is_some_and(|held| held >= table.version) {
            return;
        }
        let (version, routes) = (table.version, table.route_count());
        info!("config: version {} in force, {} routes, was {:?}", version, routes, held);
        self.table.replace(Some(Rc::new(table)));
    }

    /// Notes that the process has been asked to stop.
    pub(crate) fn note_stopping(&self) {
        self.stopping_since.set(Some(Instant::now()));
    }

    /// Time since the process was asked to stop.
    pub(crate) fn stopping_for(&self) -> Option<Duration> {
        self.stopping_since.get().map(|since| since.elapsed())
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.drain.is_draining() && self.listed.get() && self.table.borrow().is_some()
    }

    /// Bounds of what callers may send.
    pub(crate) fn read_limits(&self) -> ReadLimits {
        let Some(table) = self.table() else { return ReadLimits::default() };
        let limits = table.limits;
        ReadLimits {
            max_head_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            head_timeout: limits.header_timeout.duration(),
            idle_timeout: limits.idle_timeout.duration(),
        }
    }

    /// Whether a backend server is an engine that holds layers.
    pub(crate) fn holds_layers(&self, id: &BackendId) -> bool {
        self.fleet.borrow().get(id).is_some_and(|member| member.backend.layers.is_some())
    }

    /// Puts changed bounds in force.
    pub(crate) fn change_bounds(&self, bounds: InstanceBounds) {
        self.bounds.set(bounds);
        self.retries.borrow_mut().change_bounds(bounds);
    }

    /// Takes a backend server out of use; tells whether that is news.
    pub(crate) fn note_down(&self, id: &BackendId, reason: &'static str) -> bool {
        let mut fleet = self.fleet.borrow_mut();
        let news = fleet.get_mut(id).is_some_and(|member| member.set_down(true));
        drop(fleet);
        if news {
            info!("fleet: backend={} down reason={}", id, reason);
            self.meters.count_backend_lost(reason);
            self.losses.notify_waiters();
        }
        news
    }

    /// Takes a backend server into use again; tells whether that is news.
    pub(crate) fn note_up(&self, id: &BackendId) -> bool {
        self.fleet.borrow_mut().get_mut(id).is_some_and(|member| member.set_down(false))
    }

    /// Notes whether a backend server takes new runs; tells whether that is
    /// news.
    pub(crate) fn note_leaving(&self, id: &BackendId, leaving: bool) -> bool {
        self.fleet.borrow_mut().get_mut(id).is_some_and(|member| member.set_leaving(leaving))
    }

    /// Counts the other entries' work at the backend servers.
    pub(crate) fn share_loads(&self) {
        let peers = self.peers.borrow();
        self.retries.borrow_mut().note_entries(peers.serving_count());
        self.fleet.borrow_mut().set_remote_load(&peers.load_totals());
        self.links.borrow_mut().set_remote(peers.link_totals());
    }

    /// Notes that a backend server failed a request.
    pub(crate) fn note_failure(&self, id: &BackendId, reason: &str, request: &str) {
        let now = self.now();
        if let Some(member) = self.fleet.borrow_mut().get_mut(id) {
            member.record_failure(now);
        }
        info!("fleet: backend={} paused reason={} request={}", id, reason, request);
    }
}
