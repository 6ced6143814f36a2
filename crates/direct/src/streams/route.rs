//! Chooses the engine path, or the single backend server, of a stream.

use std::net::SocketAddr;
use std::rc::Rc;

use clementine_decide::fleet::{EngineSpec, Member};
use clementine_decide::ids::{BackendId, DomainId};
use clementine_decide::paths::{
    BoundExcess, Demand, PathLoad, PathPurpose, PathSearch, PathStage, PathTargets,
};
use clementine_objects::Millis;
use clementine_platform::requests::PromptSize;

use spdlog::info;

use super::prefix_hold::{PrefixHold, choose_path};
use crate::shared::{RequestContext, Reservation, SharedState};

/// Requirements for the route of an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct RouteRequirements<'a> {
    /// Events that the caller has already received.
    pub(super) events_sent: u64,
    /// Backend servers to avoid if there is a route without them.
    pub(super) avoid: &'a [BackendId],
    /// Backend servers to which the request may be sent; empty to allow all.
    pub(super) allowed_first: &'a [BackendId],
}

impl RouteRequirements<'_> {
    /// What the path is for. The runs that lose an engine look for another path all
    /// at once; a request that a server refused is not one of them.
    fn purpose(&self, shared: &SharedState) -> PathPurpose {
        let fleet = shared.fleet.borrow();
        let mut avoided = self.avoid.iter().filter_map(|id| fleet.get(id));
        if self.events_sent > 0 || avoided.any(Member::is_down) {
            PathPurpose::Repair
        } else {
            PathPurpose::NewRequest
        }
    }
}

/// Backend servers chosen for an attempt. Not to be confused with the configured
/// route, a [`RouteRule`](clementine_decide::routing::RouteRule).
pub(super) struct StreamRoute {
    /// Backend server to which the request is sent.
    pub(super) first: BackendId,
    pub(super) address: SocketAddr,
    /// Engines that process the request, in order; empty if a single backend
    /// server processes it.
    pub(super) path: Vec<PathStage>,
    /// Number of hops of the path between failure domains.
    pub(super) domain_crossings: usize,
    /// Records that the engines hold leading parts of the prompt.
    prefix_hold: Option<PrefixHold>,
    /// Counts as load on the backend servers until the route is dropped.
    _reservation: Reservation,
}

impl StreamRoute {
    /// All backend servers of the route.
    pub(super) fn backends(&self) -> impl Iterator<Item = &BackendId> {
        let single = self.path.is_empty().then_some(&self.first);
        self.path.iter().map(|stage| &stage.id).chain(single)
    }

    /// Records an event of the request.
    pub(super) fn record_event(&self) {
        if let Some(hold) = &self.prefix_hold {
            hold.record_event();
        }
    }

    /// Finds a route that keeps the first engine of the given route and avoids an
    /// engine that is down.
    pub(super) fn around(
        shared: &Rc<SharedState>,
        ctx: &RequestContext,
        route: &Self,
        events_sent: u64,
        down: &BackendId,
    ) -> Option<Self> {
        let table = shared.routing_table()?;
        let engine = table.pools.get(&ctx.pool)?.engine.clone()?;
        let requirements = RouteRequirements {
            events_sent,
            avoid: std::slice::from_ref(down),
            allowed_first: &[],
        };
        engine_route(shared, ctx, &engine, requirements, PathPurpose::Repair, &route.path)
    }

    /// Chooses a route. Backend servers to avoid are used only if there is no
    /// route without them.
    pub(super) fn choose(
        shared: &Rc<SharedState>,
        ctx: &RequestContext,
        requirements: RouteRequirements<'_>,
    ) -> Option<Self> {
        let purpose = requirements.purpose(shared);
        let route = choose_with(shared, ctx, requirements, purpose);
        if route.is_none() && !requirements.avoid.is_empty() {
            let requirements = RouteRequirements { avoid: &[], ..requirements };
            return choose_with(shared, ctx, requirements, purpose);
        }
        route
    }
}

fn choose_with(
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
    requirements: RouteRequirements<'_>,
    purpose: PathPurpose,
) -> Option<StreamRoute> {
    let table = shared.routing_table()?;
    let engine = table.pools.get(&ctx.pool)?.engine.clone();
    match engine.filter(|engine| engine.layers > 0) {
        Some(engine) => engine_route(shared, ctx, &engine, requirements, purpose, &[]),
        None => single_server_route(shared, ctx, requirements),
    }
}

fn engine_route(
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
    engine: &Rc<EngineSpec>,
    requirements: RouteRequirements<'_>,
    purpose: PathPurpose,
    current_path: &[PathStage],
) -> Option<StreamRoute> {
    let demand = demand(engine, ctx.req.prompt_size, requirements.events_sent);
    let fleet = shared.fleet.borrow();
    let now = shared.now();
    let mut candidates = fleet.path_candidates(&ctx.pool, engine, now, requirements.avoid);
    let is_any_cached =
        shared.prefixes.borrow().mark_cached(&ctx.prefix, &fleet, &mut candidates, now);
    drop(fleet);
    let links = shared.links.borrow();
    let search = PathSearch {
        spec: engine,
        candidates: &candidates,
        links: &links,
        demand,
        targets: targets(ctx),
        purpose,
        entries: shared.peers.borrow().serving_count() as u32,
        allowed_first: requirements.allowed_first,
        current_path,
        now,
    };
    let Some(chosen) = choose_path(shared, ctx, &search, is_any_cached) else {
        report_no_path(shared, ctx, &search);
        return None;
    };
    if let Some(excess) = &chosen.excess {
        report_excess(shared, ctx, excess);
    }
    let path = chosen.stages;
    let load = search.path_load(&path);
    drop(links);
    record_path_load(shared, &load);
    let domain_crossings = load.crossings.len();
    let first = path.first()?;
    let (id, address) = (first.id.clone(), first.address);
    let prefix_hold = PrefixHold::begin(shared, ctx, &path);
    let backends = path.iter().map(|stage| stage.id.clone()).collect();
    let reservation =
        Reservation::new(shared, backends, demand.prompt_tokens + demand.output_tokens);
    Some(StreamRoute {
        first: id,
        address,
        path,
        domain_crossings,
        prefix_hold,
        _reservation: reservation,
    })
}

/// What the caller still expects. Time that the request has waited is gone.
fn targets(ctx: &RequestContext) -> PathTargets {
    let waited = Millis::from(ctx.arrived.elapsed());
    PathTargets {
        first_event: Some(Millis(ctx.rule.target_latency.0.saturating_sub(waited.0))),
        gap: ctx.rule.target_gap,
        time_left: Some(Millis::from(ctx.time_left())),
    }
}

/// Minimum interval between log lines that explain why no path was found, or none
/// within the loss bound. The reasons change slowly.
const PATH_LOG_INTERVAL: Millis = Millis(500);

/// Counts the resources that prevent a path, and logs them with their failure domains. At
/// most one line per [`PATH_LOG_INTERVAL`] is logged, with the number of suppressed ones.
fn report_no_path(shared: &SharedState, ctx: &RequestContext, search: &PathSearch<'_>) {
    let shortages = search.shortages();
    for shortage in &shortages {
        shared.metrics.count_shortage(shortage.resource.name());
    }
    let Some(suppressed) = shared.no_path_log.admit(shared.now(), PATH_LOG_INTERVAL) else {
        return;
    };
    let shortages: Vec<String> = shortages.iter().map(ToString::to_string).collect();
    info!(
        "paths: id={} no path engines={} tokens={:.0} {} lines_held_back={}",
        ctx.req.id,
        search.candidates.len(),
        search.demand.prompt_tokens + search.demand.output_tokens,
        shortages.join(" "),
        suppressed
    );
}

/// Counts a path that is beyond the loss bound, and logs it at most once per
/// [`PATH_LOG_INTERVAL`].
fn report_excess(shared: &SharedState, ctx: &RequestContext, excess: &BoundExcess) {
    shared.metrics.count_path_beyond_bound(excess.relaxation().name());
    if let Some(suppressed) = shared.loss_bound_log.admit(shared.now(), PATH_LOG_INTERVAL) {
        info!(
            "paths: id={} beyond loss bound backend={} repair_ms={:.0} bound_ms={} relaxed={} \
             lines_held_back={}",
            ctx.req.id,
            excess.engine,
            excess.repair_ms,
            excess.bound.max_repair().0,
            excess.relaxation(),
            suppressed
        );
    }
}

/// Adds the load of a path to its engines and links, before the request is sent.
fn record_path_load(shared: &SharedState, load: &PathLoad) {
    let now = shared.now();
    let mut links = shared.links.borrow_mut();
    for crossing in &load.crossings {
        links.add(crossing.link.clone(), crossing.bytes, now);
        links.add_repair(&crossing.link, crossing.repair_ms, now);
    }
    let mut fleet = shared.fleet.borrow_mut();
    for work in &load.prefills {
        if let Some(member) = fleet.get_mut(&work.id) {
            member.record_prefill(work.ms, now);
        }
    }
}

fn single_server_route(
    shared: &Rc<SharedState>,
    ctx: &RequestContext,
    requirements: RouteRequirements<'_>,
) -> Option<StreamRoute> {
    let RouteRequirements { avoid, allowed_first, .. } = requirements;
    let fleet = shared.fleet.borrow();
    let mut rng = shared.rng.borrow_mut();
    let member = fleet.fastest(&ctx.pool, shared.now(), avoid, allowed_first, &mut *rng)?;
    let (id, address) = (member.backend.id.clone(), member.backend.address);
    drop((fleet, rng));
    let reservation = Reservation::new(shared, vec![id.clone()], 0.0);
    Some(StreamRoute {
        first: id,
        address,
        path: Vec::new(),
        domain_crossings: 0,
        prefix_hold: None,
        _reservation: reservation,
    })
}

/// Tokens that the request still needs. Output that the caller has already
/// received counts as part of the prompt, with one token per event.
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
    let remaining = (f64::from(estimate) - sent).max(f64::from(estimate) * MIN_REMAINING_OUTPUT);
    Demand { prompt_tokens: f64::from(size.prompt_tokens) + sent, output_tokens: remaining }
}

/// Lower bound of the remaining output, as a fraction of the estimated output.
/// Applies to streams that are close to the estimate or beyond it.
const MIN_REMAINING_OUTPUT: f64 = 0.1;

/// Formats a path for the log as `ENGINE@DOMAIN:LAYERS,..`.
pub(super) fn format_path(path: &[PathStage], shared: &SharedState) -> String {
    let fleet = shared.fleet.borrow();
    let domain =
        |id: &BackendId| -> Option<DomainId> { Some(fleet.get(id)?.backend.domain.clone()) };
    let stages = path.iter().map(|stage| {
        let domain = domain(&stage.id).map_or_else(String::new, |domain| domain.to_string());
        format!("{}@{}:{}", stage.id, domain, stage.layers)
    });
    stages.collect::<Vec<_>>().join(",")
}
