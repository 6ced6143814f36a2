//! Gives the orders that the plan asks for and follows them to their end.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clementine_decide::fleet::{CardSpec, EngineSpec, Fleet, Member};
use clementine_decide::ids::{BackendId, DomainId, PoolId};
use clementine_decide::placement::{
    Assignment, LayerHost, ListStabilizer, context_tokens_per_engine, plan_layers,
};
use clementine_objects::LayerRange;
use clementine_platform::engines::{EngineReport, OrderAnswer, PlaceOrder};
use spdlog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::engines::{CALL_LIMIT, CallError, ask_report, place_layers};
use crate::shared::SharedState;

/// Pause between two looks at an engine that loads.
const REPORT_PAUSE: Duration = Duration::from_millis(150);
/// Multiple of the usual load time after which an order counts as lost.
const LOAD_PATIENCE: f64 = 3.0;
/// Least time after which an order counts as lost.
const LOAD_AT_LEAST: Duration = Duration::from_secs(2);

/// Pause after an order that an engine refused, before it is given another.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);
/// Times that an order is sent which gets no answer.
const MOST_SENDS: usize = 6;
/// Reports in a row of an engine that does nothing and does not hold the
/// layers, after which its order counts as lost.
const IDLE_REPORTS: u32 = 4;

/// Orders that have not come to their end, by engine.
type Pending = Rc<RefCell<HashMap<BackendId, LayerRange>>>;

/// Gives the orders that the plan asks for.
pub(super) struct Orders {
    shared: Rc<SharedState>,
    pending: Pending,
    settling: HashMap<PoolId, ListStabilizer>,
}

impl Orders {
    pub(super) fn new(shared: Rc<SharedState>) -> Self {
        Self { shared, pending: Pending::default(), settling: HashMap::new() }
    }

    /// Gives the orders that are due, as many as may load at a time.
    pub(super) fn step(&mut self, term: u64) {
        let Some(table) = self.shared.routing_table() else { return };
        for (pool, spec) in &table.pools {
            if let Some(engine) = spec.engine.as_ref().filter(|engine| engine.layers > 0) {
                self.step_pool(pool, engine, term);
            }
        }
    }

    fn step_pool(&mut self, pool: &PoolId, engine: &Rc<EngineSpec>, term: u64) {
        let holders = self.holders(pool, engine);
        let settling = self.settling.entry(pool.clone()).or_default();
        if !settling.is_stable(engine.layers, &holders, self.shared.now()) {
            return;
        }
        let at_once = engine.loads_at_once.max(1) as usize;
        let room = at_once.saturating_sub(self.pending.borrow().len());
        for step in plan_layers(engine.layers, &holders).into_iter().take(room) {
            self.start(step, engine, term);
        }
    }

    fn holders(&self, pool: &PoolId, engine: &EngineSpec) -> Vec<LayerHost> {
        let fleet: &Fleet = &self.shared.fleet.borrow();
        let usable = |member: &&Member| member.can_host_layers();
        let card = |member: &Member| engine.card(member.backend.card.as_ref()?);
        let mut domains: HashMap<&DomainId, Vec<&CardSpec>> = HashMap::new();
        let mut slots = 0;
        for member in fleet.pool(pool).filter(usable) {
            domains.entry(&member.backend.domain).or_default().extend(card(member));
            slots = slots.max(member.backend.slots);
        }
        let context: HashMap<&DomainId, f64> = domains
            .iter()
            .map(|(domain, cards)| (*domain, context_tokens_per_engine(engine, cards, slots)))
            .collect();
        let pending = self.pending.borrow();
        let holder = |member: &Member| {
            let id = member.backend.id.clone();
            let tokens = context.get(&member.backend.domain).copied()?;
            let card = card(member)?;
            let max_layers = engine.max_layers(card, tokens);
            Some(LayerHost {
                context_tokens: engine.context_capacity(card, max_layers),
                layers: pending.get(&id).copied().or(member.backend.layers),
                loading: pending.contains_key(&id),
                id,
                domain: member.backend.domain.clone(),
                max_layers,
            })
        };
        fleet.pool(pool).filter(usable).filter_map(holder).collect()
    }

    fn start(&self, step: Assignment, engine: &Rc<EngineSpec>, term: u64) {
        let Some(address) = self.shared.fleet.borrow().get(&step.id).map(|m| m.backend.address)
        else {
            return;
        };
        self.pending.borrow_mut().insert(step.id.clone(), step.layers);
        let patience = patience(engine, step.layers);
        let task = OrderTask { shared: Rc::clone(&self.shared), step, address, term, patience };
        let pending = Rc::clone(&self.pending);
        spawn_local(async move {
            task.carry_out().await;
            pending.borrow_mut().remove(&task.step.id);
        });
    }
}

fn patience(engine: &EngineSpec, layers: LayerRange) -> Duration {
    let usual = engine.load_time.duration().mul_f64(engine.model_fraction(layers.count()));
    usual.mul_f64(LOAD_PATIENCE).max(LOAD_AT_LEAST)
}

/// One order on its way.
struct OrderTask {
    shared: Rc<SharedState>,
    step: Assignment,
    address: SocketAddr,
    term: u64,
    patience: Duration,
}

impl OrderTask {
    async fn carry_out(&self) {
        for _ in 0..MOST_SENDS {
            let Some(report) = self.report().await else { return };
            if report.layers == Some(self.step.layers) && !report.busy {
                return self.note(&report);
            }
            match self.send(report.orders_started).await {
                Ok(OrderAnswer::Begun | OrderAnswer::Done) => return self.wait_loaded().await,
                // Lost, or carried out later: the count of orders makes sure
                // that only one of two copies is carried out.
                Err(_) => {}
                // The plan is made again from what the engine says then; one
                // that is busy refuses every order until it is done.
                Ok(OrderAnswer::Conflict | OrderAnswer::Fenced | OrderAnswer::Refused(_)) => {
                    return sleep(REFUSED_PAUSE).await;
                }
            }
        }
    }

    async fn send(&self, after_orders: u64) -> Result<OrderAnswer, CallError> {
        let order = PlaceOrder {
            layers: self.step.layers,
            expected_order_count: after_orders,
            term: self.term,
            evict: self.step.urgent && self.step.replaces,
        };
        let answer = place_layers(&self.shared, self.address, &order).await;
        info!(
            "planner: order backend={} layers={} after_orders={} term={} urgent={} answer={:?}",
            self.step.id, order.layers, after_orders, order.term, self.step.urgent, answer
        );
        answer
    }

    /// Waits until the engine holds the layers, is idle without them, or some
    /// time has passed.
    async fn wait_loaded(&self) {
        let end = Instant::now() + self.patience;
        let mut idle = 0;
        while Instant::now() < end && idle < IDLE_REPORTS {
            sleep(REPORT_PAUSE).await;
            let Some(report) = self.report().await else { continue };
            self.note(&report);
            if report.layers == Some(self.step.layers) && !report.busy {
                let layers = self.step.layers;
                return info!("planner: loaded backend={} layers={}", self.step.id, layers);
            }
            idle = if report.busy { 0 } else { idle + 1 };
        }
        warn!("planner: backend={} did not load {} in time", self.step.id, self.step.layers);
    }

    async fn report(&self) -> Option<EngineReport> {
        match ask_report(&self.shared, self.address, CALL_LIMIT).await {
            Ok(report) => Some(report),
            Err(error) => {
                warn!("planner: backend={} gave no report: {}", self.step.id, error);
                None
            }
        }
    }

    fn note(&self, report: &EngineReport) {
        if let Some(member) = self.shared.fleet.borrow_mut().get_mut(&self.step.id) {
            member.apply_report(report.layers, report.orders_started);
        }
    }
}
