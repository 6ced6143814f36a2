//! Routing configurations of entries that reach backend servers themselves.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::Finding;
use crate::{Millis, ObjectKind, ObjectRef};

/// A route of a routing configuration, with its limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeclaredRoute {
    /// Name of the route.
    pub name: CompactString,
    /// Host that requests have to match.
    pub host: CompactString,
    /// Path prefix that requests have to match. Matches only if it begins and ends with `/`.
    pub prefix: CompactString,
    /// Maximum duration of a request.
    pub timeout: Millis,
    /// Target for the first event or the response; 0 if there is none.
    pub target_latency: Millis,
    /// Target for the longest pause between two events.
    pub target_gap: Option<Millis>,
    /// Maximum number of servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a request that may have run may be run again.
    pub is_repeatable: bool,
    /// Pools between which the requests are split, with their weights.
    pub pools: Vec<(CompactString, u32)>,
}

/// A routing configuration, as far as it is checked.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DeclaredRouting {
    /// Routes in the order of the document, in which a later one replaces an earlier one.
    pub routes: Vec<DeclaredRoute>,
    /// Names of the pools.
    pub pools: Vec<CompactString>,
}

/// Returns entries that can never match or be used, and limits that contradict each other.
/// `servers` is the number of servers of those pools for which it is known.
pub fn check_routing(
    routing: &DeclaredRouting,
    servers: &BTreeMap<CompactString, u32>,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (i, route) in routing.routes.iter().enumerate() {
        let problems = match_problems(route, &routing.routes[i + 1..]).into_iter();
        let problems = problems.chain(limit_problems(route)).chain(pool_problems(route, servers));
        let object = ObjectRef { kind: ObjectKind::Route, name: route.name.clone() };
        findings.extend(problems.map(|(field, message)| Finding {
            object: object.clone(),
            field: field.into(),
            message,
        }));
    }
    let is_used = |pool: &CompactString| {
        routing.routes.iter().flat_map(|route| &route.pools).any(|(name, _)| name == pool)
    };
    for pool in routing.pools.iter().filter(|pool| !is_used(pool)) {
        let object = ObjectRef { kind: ObjectKind::Pool, name: pool.clone() };
        let message = "no route uses it".to_owned();
        findings.push(Finding { object, field: "name".into(), message });
    }
    findings
}

type Problem = (&'static str, String);

fn match_problems(route: &DeclaredRoute, later: &[DeclaredRoute]) -> Vec<Problem> {
    let mut problems = Vec::new();
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        let message = format!("never matches, `{}` must begin and end with `/`", route.prefix);
        problems.push(("prefix", message));
    }
    let same = |other: &&DeclaredRoute| other.host == route.host && other.prefix == route.prefix;
    if let Some(other) = later.iter().find(same) {
        let message = format!("never matches, route `{}` has the same host and prefix", other.name);
        problems.push(("prefix", message));
    }
    problems
}

fn limit_problems(route: &DeclaredRoute) -> Vec<Problem> {
    let mut problems = Vec::new();
    let timeout = route.timeout;
    if timeout < route.target_latency {
        let target = route.target_latency;
        problems.push(("timeout", format!("{timeout} is below the target latency {target}")));
    }
    if let Some(gap) = route.target_gap.filter(|gap| *gap > timeout) {
        problems.push(("target-gap", format!("{gap} is above the timeout {timeout}")));
    }
    if route.max_attempts == 0 {
        problems.push(("max-attempts", "0 acts like 1".to_owned()));
    }
    if route.max_attempts > 1 && !route.is_repeatable {
        let attempts = route.max_attempts;
        let message =
            format!("{attempts} has no effect, a request that may have run is not run again");
        problems.push(("max-attempts", message));
    }
    problems
}

fn pool_problems(route: &DeclaredRoute, servers: &BTreeMap<CompactString, u32>) -> Vec<Problem> {
    let total: u64 = route.pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut problems = Vec::new();
    for (pool, weight) in &route.pools {
        if *weight == 0 && total > 0 {
            problems.push(("split", format!("pool `{pool}` has weight 0 and gets no requests")));
        }
        let Some(servers) = servers.get(pool).filter(|servers| **servers < route.max_attempts)
        else {
            continue;
        };
        let attempts = route.max_attempts;
        let message = format!("{attempts} is more than the {servers} servers of pool `{pool}`");
        problems.push(("max-attempts", message));
    }
    problems
}
