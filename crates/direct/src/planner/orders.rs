//! Sends load orders to engines and tracks them until they complete.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::fleet::{AcceleratorSpec, EngineSpec, Fleet, Member};
use clementine_decide::ids::{BackendId, DomainId, PoolId};
use clementine_decide::lease::FencingNumber;
use clementine_decide::placement::{
    Assignment, LayerHost, ListStabilizer, context_tokens_per_engine, plan_layers,
};
use clementine_objects::LayerRange;
use clementine_platform::engines::{EngineReport, OrderResponse, PlaceOrder};
use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::engines::{CALL_TIMEOUT, CallError, fetch_report, mark_down, place_layers};
use crate::shared::SharedState;

/// Interval at which the report of a loading engine is fetched.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Multiple of the usual load time after which an order is considered lost.
const LOAD_TIMEOUT_FACTOR: f64 = 3.0;
/// Minimum time after which an order is considered lost.
const MIN_LOAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before an engine that rejected an order gets another one.
const REJECTED_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of times that an order is sent if there is no response.
const MAX_SENDS: usize = 6;
/// Number of consecutive reports of an idle engine without the ordered layers
/// after which the order is considered lost.
const MAX_IDLE_REPORTS: u32 = 4;

/// Orders in progress, by engine.
type PendingOrders = Rc<RefCell<HashMap<BackendId, LayerRange>>>;

/// Sends the load orders that the placement requires.
pub(super) struct OrderDispatcher {
    shared: Rc<SharedState>,
    pending: PendingOrders,
    stabilizers: HashMap<PoolId, ListStabilizer>,
}

impl OrderDispatcher {
    pub(super) fn new(shared: Rc<SharedState>) -> Self {
        Self { shared, pending: PendingOrders::default(), stabilizers: HashMap::new() }
    }

    /// Computes the placement of each pool and starts the orders that it
    /// requires, up to the limit of concurrent loads.
    pub(super) fn dispatch(&mut self, fence: FencingNumber) {
        let Some(table) = self.shared.routing_table() else { return };
        for (pool, spec) in &table.pools {
            if let Some(engine) = spec.engine.as_ref().filter(|engine| engine.layers > 0) {
                self.dispatch_pool(pool, engine, fence);
            }
        }
    }

    fn dispatch_pool(&mut self, pool: &PoolId, engine: &Rc<EngineSpec>, fence: FencingNumber) {
        let max_pending = engine.max_concurrent_loads.max(1) as usize;
        let allowed = max_pending.saturating_sub(self.pending.borrow().len());
        if allowed == 0 {
            return;
        }
        let hosts = self.layer_hosts(pool, engine);
        let stabilizer = self.stabilizers.entry(pool.clone()).or_default();
        if !stabilizer.is_stable(engine.layers, &hosts, self.shared.now()) {
            return;
        }
        for assignment in plan_layers(engine.layers, &hosts, allowed) {
            self.start(assignment, engine, fence);
        }
    }

    fn layer_hosts(&self, pool: &PoolId, engine: &EngineSpec) -> Vec<LayerHost> {
        let fleet: &Fleet = &self.shared.fleet.borrow();
        let usable = |member: &&Member| member.can_host_layers();
        let accelerator =
            |member: &Member| engine.accelerator(member.backend.accelerator.as_ref()?);
        let mut domains: HashMap<&DomainId, Vec<&AcceleratorSpec>> = HashMap::new();
        let mut slots = 0;
        for member in fleet.pool(pool).filter(usable) {
            domains.entry(&member.backend.domain).or_default().extend(accelerator(member));
            slots = slots.max(member.backend.slots);
        }
        let context: HashMap<&DomainId, f64> = domains
            .iter()
            .map(|(domain, accelerators)| {
                (*domain, context_tokens_per_engine(engine, accelerators, slots))
            })
            .collect();
        let pending = self.pending.borrow();
        let host = |member: &Member| {
            let id = member.backend.id.clone();
            let tokens = context.get(&member.backend.domain).copied()?;
            let accelerator = accelerator(member)?;
            let max_layers = engine.max_layers(accelerator, tokens);
            Some(LayerHost {
                context_tokens: engine.context_capacity(accelerator, max_layers),
                layers: pending.get(&id).copied().or(member.backend.layers),
                loading: pending.contains_key(&id),
                id,
                domain: member.backend.domain.clone(),
                max_layers,
            })
        };
        fleet.pool(pool).filter(usable).filter_map(host).collect()
    }

    fn start(&self, assignment: Assignment, engine: &Rc<EngineSpec>, fence: FencingNumber) {
        if self.shared.is_paused(&assignment.id) {
            return;
        }
        self.pending.borrow_mut().insert(assignment.id.clone(), assignment.layers);
        let load_timeout = load_timeout(engine, assignment.layers);
        let task = OrderTask { shared: Rc::clone(&self.shared), assignment, fence, load_timeout };
        let pending = Rc::clone(&self.pending);
        spawn_local(async move {
            task.run().await;
            pending.borrow_mut().remove(&task.assignment.id);
        });
    }
}

fn load_timeout(engine: &EngineSpec, layers: LayerRange) -> Duration {
    let usual = engine.load_time.duration().mul_f64(engine.model_fraction(layers.count()));
    usual.mul_f64(LOAD_TIMEOUT_FACTOR).max(MIN_LOAD_TIMEOUT)
}

/// The task that sends one order and waits until it completes.
struct OrderTask {
    shared: Rc<SharedState>,
    assignment: Assignment,
    fence: FencingNumber,
    load_timeout: Duration,
}

impl OrderTask {
    async fn run(&self) {
        for _ in 0..MAX_SENDS {
            let Some(report) = self.fetch_report().await else { return };
            if report.layers == Some(self.assignment.layers) && !report.busy {
                return self.record(&report);
            }
            // The lease may have expired since the order was decided or last sent.
            if self.shared.lease.borrow().fence(self.shared.now()) != Some(self.fence) {
                return;
            }
            match self.send(report.orders_started).await {
                Ok(OrderResponse::Begun | OrderResponse::Done) => return self.wait_loaded().await,
                Err(CallError::OtherServer | CallError::NoListener) => return,
                // The order may be lost, or still be carried out. It can be sent
                // again, because the order count in it ensures that only one of
                // the copies is carried out.
                Err(_) => {}
                // The next placement is based on the engine's state at that
                // time. A busy engine rejects all orders until it is done.
                Ok(OrderResponse::Conflict | OrderResponse::Fenced | OrderResponse::Refused(_)) => {
                    return sleep(REJECTED_DELAY).await;
                }
            }
        }
    }

    async fn send(&self, orders_started: u64) -> Result<OrderResponse, CallError> {
        let order = PlaceOrder {
            layers: self.assignment.layers,
            expected_orders_started: orders_started,
            fence: self.fence,
            evict: self.assignment.urgent && self.assignment.replaces,
        };
        let response = place_layers(&self.shared, &self.assignment.id, &order).await;
        info!(
            "planner: order backend={} layers={} after_orders={} fence={} urgent={} answer={:?}",
            self.assignment.id,
            order.layers,
            orders_started,
            order.fence,
            self.assignment.urgent,
            response
        );
        response
    }

    /// Waits until the engine has loaded the layers, is idle without them or gone, or the
    /// load timeout expires.
    async fn wait_loaded(&self) {
        let end = Instant::now() + self.load_timeout;
        let mut idle = 0;
        while Instant::now() < end && idle < MAX_IDLE_REPORTS {
            sleep(REPORT_INTERVAL).await;
            if self.shared.is_paused(&self.assignment.id) {
                continue;
            }
            let Some(report) = self.fetch_report().await else {
                if self.is_gone() {
                    break;
                }
                continue;
            };
            self.record(&report);
            if report.layers == Some(self.assignment.layers) && !report.busy {
                let Assignment { id, layers, .. } = &self.assignment;
                return info!("planner: loaded backend={} layers={}", id, layers);
            }
            idle = if report.busy { 0 } else { idle + 1 };
        }
        let Assignment { id, layers, .. } = &self.assignment;
        warn!("planner: backend={} did not load layers={} in time", id, layers);
    }

    async fn fetch_report(&self) -> Option<EngineReport> {
        match fetch_report(&self.shared, &self.assignment.id, CALL_TIMEOUT).await {
            Ok(report) => Some(report),
            Err(error) => {
                let id = &self.assignment.id;
                warn!("planner: backend={} report request failed: {}", id, error);
                if matches!(error, CallError::NoListener) {
                    mark_down(&self.shared, id, "connection-refused");
                }
                None
            }
        }
    }

    /// Whether the engine was found down or removed meanwhile.
    fn is_gone(&self) -> bool {
        let fleet = self.shared.fleet.borrow();
        fleet.get(&self.assignment.id).is_none_or(|member| !member.can_host_layers())
    }

    fn record(&self, report: &EngineReport) {
        self.shared.record_layers(&self.assignment.id, report.layers, report.orders_started);
    }
}
