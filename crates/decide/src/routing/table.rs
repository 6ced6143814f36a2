//! Routing table of one configuration version, validated when it is built.

use std::collections::HashMap;
use std::rc::Rc;

use clementine_objects::Millis;
use compact_str::CompactString;
use snafu::Snafu;

use super::{RouteRule, WorkspaceRule};
use crate::fleet::EngineSpec;
use crate::ids::PoolId;

/// Configuration of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSpec {
    /// Path of the health check.
    pub health_path: CompactString,
    /// Maximum number of connections that one backend server accepts in total.
    pub max_connections: u32,
    /// Engine settings, for pools that serve a model.
    pub engine: Option<Rc<EngineSpec>>,
    /// Time for which engines keep a prompt after the last request with it; zero if
    /// they don't.
    pub prompt_retention: Millis,
}

/// Reasons why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RoutingError {
    /// A route names a pool that does not exist.
    #[snafu(display("route `{route}` names pool `{pool}`, which does not exist"))]
    UnknownPool {
        /// The route.
        route: CompactString,
        /// The missing pool.
        pool: PoolId,
    },
    /// A route has no pool.
    #[snafu(display("route `{route}` has no pool"))]
    NoPool {
        /// The route.
        route: CompactString,
    },
}

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the request line and headers.
    pub max_header_bytes: usize,
    /// Maximum size of the body.
    pub max_body_bytes: usize,
    /// Time within which the headers have to arrive.
    pub header_timeout: Millis,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// Builder of a [`RoutingTable`].
#[derive(Debug, Default)]
pub struct RoutingTableBuilder {
    version: u64,
    limits: CallerLimits,
    routes: Vec<RouteRule>,
    pools: HashMap<PoolId, PoolSpec>,
    keys: HashMap<CompactString, Rc<WorkspaceRule>>,
    requires_api_key: bool,
}

impl RoutingTableBuilder {
    /// Creates a builder for a configuration version, without routes.
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds a route.
    pub fn route(&mut self, rule: RouteRule) {
        self.routes.push(rule);
    }

    /// Adds a pool.
    pub fn pool(&mut self, id: PoolId, spec: PoolSpec) {
        self.pools.insert(id, spec);
    }

    /// Requires an API key on routes that are not public, also if there is no valid one.
    pub const fn require_api_keys(&mut self) {
        self.requires_api_key = true;
    }

    /// Adds a workspace and its API keys, one of which is then required.
    pub fn workspace(
        &mut self,
        rule: WorkspaceRule,
        keys: impl IntoIterator<Item = CompactString>,
    ) {
        let rule = Rc::new(rule);
        self.require_api_keys();
        self.keys.extend(keys.into_iter().map(|key| (key, Rc::clone(&rule))));
    }

    /// Validates all references and builds the table.
    ///
    /// # Errors
    ///
    /// Returns an error if a route names no pool or one that does not exist.
    pub fn build(self) -> Result<RoutingTable, RoutingError> {
        let mut hosts: HashMap<CompactString, HashMap<CompactString, Rc<RouteRule>>> =
            HashMap::new();
        for rule in self.routes {
            check_route(&rule, &self.pools)?;
            let prefixes = hosts.entry(rule.host.clone()).or_default();
            prefixes.insert(rule.prefix.clone(), Rc::new(rule));
        }
        Ok(RoutingTable {
            version: self.version,
            limits: self.limits,
            hosts,
            pools: self.pools,
            keys: self.keys,
            requires_api_key: self.requires_api_key,
        })
    }
}

fn check_route(rule: &RouteRule, pools: &HashMap<PoolId, PoolSpec>) -> Result<(), RoutingError> {
    if rule.pools.is_empty() {
        return NoPoolSnafu { route: rule.name.clone() }.fail();
    }
    for weighted in &rule.pools {
        if !pools.contains_key(&weighted.pool) {
            let (route, pool) = (rule.name.clone(), weighted.pool.clone());
            return UnknownPoolSnafu { route, pool }.fail();
        }
    }
    Ok(())
}

/// Routing table of one configuration version.
///
/// Invariant: every pool named by a route exists.
#[derive(Debug)]
pub struct RoutingTable {
    /// Version set by the operator.
    pub version: u64,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// Pools by name.
    pub pools: HashMap<PoolId, PoolSpec>,
    hosts: HashMap<CompactString, HashMap<CompactString, Rc<RouteRule>>>,
    keys: HashMap<CompactString, Rc<WorkspaceRule>>,
    requires_api_key: bool,
}

impl RoutingTable {
    /// Returns the route of a host with the longest prefix that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let prefixes = self.hosts.get(host)?;
        let mut slashes = path.char_indices().rev().filter(|(_, c)| *c == '/');
        slashes.find_map(|(at, _)| prefixes.get(&path[..=at]))
    }

    /// Returns the workspace of an API key.
    pub fn workspace(&self, key: &str) -> Option<&Rc<WorkspaceRule>> {
        self.keys.get(key)
    }

    /// Whether routes that are not public require an API key.
    pub const fn requires_api_key(&self) -> bool {
        self.requires_api_key
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }
}
