//! The engines, or the one backend server, of a stream.

use std::net::SocketAddr;
use std::rc::Rc;

use clementine_decide::fleet::EngineSpec;
use clementine_decide::ids::{BackendId, DomainId, Tick};
use clementine_decide::paths::{
    Demand, Link, PathCandidate, PathSearch, PathStage, bottlenecks, transfer_bytes,
};
use clementine_objects::Millis;
use clementine_platform::requests::PromptSize;

use spdlog::info;

use crate::hub::{Hub, RequestContext, Reservation};

/// What the next run of a stream asks of its route.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wish<'a> {
    /// Events that the caller has.
    pub(super) events: u64,
    /// Backend servers to avoid, if that leaves a route.
    pub(super) avoid: &'a [BackendId],
    /// Backend servers that the request may be sent to; all where there are
    /// none.
    pub(super) first: &'a [BackendId],
}

/// Where one run of a stream goes.
pub(super) struct StreamRoute {
    /// Backend server that the request is sent to.
    pub(super) first: BackendId,
    pub(super) address: SocketAddr,
    /// Engines that the request passes through; empty for a plain server.
    pub(super) path: Vec<PathStage>,
    /// Links between failure domains that the request passes.
    pub(super) crossings: usize,
    /// Counts the work as long as the run lasts.
    _reservation: Reservation,
}

impl StreamRoute {
    /// All backend servers of the route.
    pub(super) fn backends(&self) -> impl Iterator<Item = &BackendId> {
        let plain = self.path.is_empty().then_some(&self.first);
        self.path.iter().map(|leg| &leg.id).chain(plain)
    }

    /// The same route with its first engine, but around one that is down.
    pub(super) fn around(
        hub: &Rc<Hub>,
        ctx: &RequestContext,
        route: &Self,
        events_sent: u64,
        down: &BackendId,
    ) -> Option<Self> {
        let table = hub.routing_table()?;
        let engine = table.pools.get(&ctx.pool)?.engine.clone()?;
        let wish = Wish { events: events_sent, avoid: std::slice::from_ref(down), first: &[] };
        through_engines(hub, ctx, &engine, wish, &route.path)
    }

    /// Chooses a route that avoids some backend servers, or none if that
    /// leaves no route.
    pub(super) fn choose(hub: &Rc<Hub>, ctx: &RequestContext, wish: Wish<'_>) -> Option<Self> {
        let table = hub.routing_table()?;
        let engine = table.pools.get(&ctx.pool)?.engine.clone();
        let route = match engine.filter(|engine| engine.layers > 0) {
            Some(engine) => through_engines(hub, ctx, &engine, wish, &[]),
            None => to_plain_server(hub, ctx, wish.avoid),
        };
        if route.is_none() && !wish.avoid.is_empty() {
            return Self::choose(hub, ctx, Wish { avoid: &[], ..wish });
        }
        route
    }
}

fn through_engines(
    hub: &Rc<Hub>,
    ctx: &RequestContext,
    engine: &Rc<EngineSpec>,
    wish: Wish<'_>,
    current_path: &[PathStage],
) -> Option<StreamRoute> {
    let demand = demand(engine, ctx.req.prompt_size, wish.events);
    let stops = hub.fleet.borrow().path_candidates(&ctx.pool, engine, hub.now(), wish.avoid);
    let links = hub.links.borrow();
    let search = PathSearch {
        spec: engine,
        candidates: &stops,
        links: &links,
        demand,
        allowed_first: wish.first,
        current_path,
        now: hub.now(),
    };
    let Some(path) = search.cheapest_path() else {
        log_shortages(hub, ctx, engine, &stops, demand);
        return None;
    };
    drop(links);
    let crossings = note_links(hub, engine, &stops, &path, demand);
    let first = path.first()?;
    let (id, address) = (first.id.clone(), first.address);
    let backends = path.iter().map(|leg| leg.id.clone()).collect();
    let reservation = Reservation::new(hub, backends, demand.prompt_tokens + demand.output_tokens);
    Some(StreamRoute { first: id, address, path, crossings, _reservation: reservation })
}

/// Pause between two lines on why no path was found; they change slowly.
const SHORTAGE_PAUSE: Millis = Millis(500);

fn log_shortages(
    hub: &Hub,
    ctx: &RequestContext,
    engine: &EngineSpec,
    stops: &[PathCandidate],
    demand: Demand,
) {
    let now = hub.now();
    let held_back = hub.no_path_lines_suppressed.get();
    let recent = |at: Tick| now.since(at) < SHORTAGE_PAUSE;
    if hub.no_path_logged_at.get().is_some_and(recent) {
        return hub.no_path_lines_suppressed.set(held_back + 1);
    }
    hub.no_path_logged_at.set(Some(now));
    hub.no_path_lines_suppressed.set(0);
    let found: Vec<String> =
        bottlenecks(engine.layers, stops).iter().map(ToString::to_string).collect();
    info!(
        "paths: id={} no path stops={} tokens={:.0} {} lines_held_back={}",
        ctx.req.id,
        stops.len(),
        demand.prompt_tokens + demand.output_tokens,
        found.join(" "),
        held_back
    );
}

/// Counts the request at the links between failure domains that it passes, and
/// gives their number.
fn note_links(
    hub: &Hub,
    engine: &EngineSpec,
    stops: &[PathCandidate],
    path: &[PathStage],
    demand: Demand,
) -> usize {
    let domain =
        |leg: &PathStage| stops.iter().find(|stop| stop.id == leg.id).map(|stop| &stop.domain);
    let mut links = hub.links.borrow_mut();
    let mut crossings = 0;
    for hop in path.windows(2) {
        let (Some(a), Some(b)) = (domain(&hop[0]), domain(&hop[1])) else { continue };
        if a != b {
            links.add(Link::between(a, b), transfer_bytes(engine, demand), hub.now());
            crossings += 1;
        }
    }
    crossings
}

fn to_plain_server(
    hub: &Rc<Hub>,
    ctx: &RequestContext,
    avoid: &[BackendId],
) -> Option<StreamRoute> {
    let fleet = hub.fleet.borrow();
    let mut rng = hub.rng.borrow_mut();
    let member = fleet.fastest(&ctx.pool, hub.now(), avoid, &mut *rng)?;
    let (id, address) = (member.backend.id.clone(), member.backend.address);
    drop((fleet, rng));
    let reservation = Reservation::new(hub, vec![id.clone()], 0.0);
    Some(StreamRoute {
        first: id,
        address,
        path: Vec::new(),
        crossings: 0,
        _reservation: reservation,
    })
}

/// What a request needs: its prompt, and the answer that is still to come.
fn demand(engine: &EngineSpec, size: Option<PromptSize>, events_sent: u64) -> Demand {
    let Some(size) = size else {
        return Demand {
            prompt_tokens: engine.typical_prompt_tokens.into(),
            output_tokens: engine.typical_output_tokens.into(),
        };
    };
    let estimate =
        size.estimated_output_tokens.unwrap_or(size.max_output_tokens).min(size.max_output_tokens);
    let sent = events_sent as f64;
    let rest = (f64::from(estimate) - sent).max(f64::from(estimate) * LEAST_REST);
    Demand { prompt_tokens: f64::from(size.prompt_tokens) + sent, output_tokens: rest }
}

/// Least part of the estimated answer that is taken to be still to come.
const LEAST_REST: f64 = 0.1;

/// Failure domains of a path, for the log.
pub(super) fn describe(path: &[PathStage], hub: &Hub) -> String {
    let fleet = hub.fleet.borrow();
    let domain =
        |id: &BackendId| -> Option<DomainId> { Some(fleet.get(id)?.backend.domain.clone()) };
    let legs = path.iter().map(|leg| {
        let domain = domain(&leg.id).map_or_else(String::new, |domain| domain.to_string());
        format!("{}@{}:{}", leg.id, domain, leg.layers)
    });
    legs.collect::<Vec<_>>().join(",")
}
