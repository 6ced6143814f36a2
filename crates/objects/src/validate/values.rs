//! Checks of values within and between objects of one kind.

use super::ValidationError;
use crate::{Catalog, Object, PoolKind, Priority, Route};

/// Path prefixes that clementinehub answers itself.
const RESERVED_PREFIX: &str = "/v1";

/// Faults of the values in the catalog.
pub(super) fn check(catalog: &Catalog) -> Vec<ValidationError> {
    let objects = catalog.objects();
    let mut faults: Vec<_> =
        objects.iter().flat_map(|object| check_object(catalog, object)).collect();
    faults.extend(check_pairs(&objects));
    faults
}

fn check_object(catalog: &Catalog, object: &Object) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    let mut require = |holds: bool, field: &str, message: &str| {
        if !holds {
            faults.push(ValidationError::new(object, field, message));
        }
    };
    match object {
        Object::Pool(pool) => {
            require(pool.concurrency > 0, "concurrency", "must be at least 1");
            let ranged = pool.layers.is_some() && pool.serves == PoolKind::Service;
            require(!ranged, "layers", "a pool of services holds no layers");
        }
        Object::Route(route) => {
            require(route.path.starts_with('/'), "path", "must begin with `/`");
            require(!is_reserved(route), "path", "paths under `/v1` are reserved");
            require(route.timeout.0 > 0, "timeout", "must be longer than 0");
            let kind = catalog.pool(&route.pool).map(|pool| pool.serves);
            require(kind != Some(PoolKind::Engine), "pool", "a route needs a pool of services");
        }
        Object::Model(model) => {
            require(model.layers > 0, "layers", "must be at least 1");
            require(!model.pools.is_empty(), "pools", "must name at least one pool");
        }
        Object::Workspace(workspace) => {
            let tokens = !workspace.token_sha256.is_empty();
            require(tokens, "token-sha256", "must hold at least one digest");
            require(workspace.deadline.0 > 0, "deadline", "must be longer than 0");
            let limits = &workspace.limits;
            let rate = limits.requests_per_second != Some(0);
            require(rate, "limits.requests-per-second", "must be at least 1");
            require(limits.concurrent != Some(0), "limits.concurrent", "must be at least 1");
        }
        Object::Priority(priority) => {
            require(priority.level <= Priority::MAX_LEVEL, "level", "must be from 0 to 9");
        }
    }
    faults
}

fn is_reserved(route: &Route) -> bool {
    let path = route.path.trim_end_matches('/');
    path.is_empty() || path == RESERVED_PREFIX || path.starts_with("/v1/")
}

fn check_pairs(objects: &[Object]) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    for (i, later) in objects.iter().enumerate() {
        for earlier in &objects[..i] {
            if let Some((field, message)) = clash(earlier, later) {
                faults.push(ValidationError::new(later, field, message));
            }
        }
    }
    faults
}

fn clash(earlier: &Object, later: &Object) -> Option<(&'static str, String)> {
    match (earlier, later) {
        (Object::Route(a), Object::Route(b)) => {
            let same = a.path.trim_end_matches('/') == b.path.trim_end_matches('/');
            same.then(|| ("path", format!("route `{}` has the same path", a.name)))
        }
        (Object::Workspace(a), Object::Workspace(b)) => {
            let shared = b.token_sha256.iter().any(|digest| a.token_sha256.contains(digest));
            shared.then(|| ("token-sha256", format!("workspace `{}` has the same token", a.name)))
        }
        _ => None,
    }
}
