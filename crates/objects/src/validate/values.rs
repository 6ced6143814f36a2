//! Validates field values within an object and uniqueness between objects.

use super::ValidationError;
use crate::{Catalog, Object, PoolKind, Priority, Route};

/// Path prefix of the API that clementinehub serves itself.
const RESERVED_PREFIX: &str = "/v1";

/// Returns all errors in field values of the catalog.
pub(super) fn validate(catalog: &Catalog) -> Vec<ValidationError> {
    let objects = catalog.objects();
    let mut errors: Vec<_> =
        objects.iter().flat_map(|object| validate_object(catalog, object)).collect();
    errors.extend(validate_uniqueness(&objects));
    errors
}

fn validate_object(catalog: &Catalog, object: &Object) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    let mut require = |holds: bool, field: &str, message: &str| {
        if !holds {
            errors.push(ValidationError::new(object, field, message));
        }
    };
    match object {
        Object::Pool(pool) => {
            require(pool.concurrency > 0, "concurrency", "must be at least 1");
            let has_unused_range = pool.layers.is_some() && pool.serves == PoolKind::Service;
            require(!has_unused_range, "layers", "a service pool can't have a layer range");
        }
        Object::Route(route) => {
            require(route.path.starts_with('/'), "path", "must begin with `/`");
            require(!is_reserved(route), "path", "paths under `/v1` are reserved");
            require(route.timeout.0 > 0, "timeout", "must be longer than 0");
            let kind = catalog.pool(&route.pool).map(|pool| pool.serves);
            require(kind != Some(PoolKind::Engine), "pool", "a route must refer to a service pool");
        }
        Object::Model(model) => {
            require(model.layers > 0, "layers", "must be at least 1");
            require(!model.pools.is_empty(), "pools", "must name at least one pool");
        }
        Object::Workspace(workspace) => {
            let has_token = !workspace.token_sha256.is_empty();
            require(has_token, "token-sha256", "must contain at least one digest");
            require(workspace.deadline.0 > 0, "deadline", "must be longer than 0");
            let limits = &workspace.limits;
            let rate_is_valid = limits.requests_per_second != Some(0);
            require(rate_is_valid, "limits.requests-per-second", "must be at least 1");
            require(limits.concurrent != Some(0), "limits.concurrent", "must be at least 1");
        }
        Object::Priority(priority) => {
            require(priority.level <= Priority::MAX_LEVEL, "level", "must be between 0 and 9");
        }
    }
    errors
}

fn is_reserved(route: &Route) -> bool {
    let path = route.path.trim_end_matches('/');
    path.is_empty() || path == RESERVED_PREFIX || path.starts_with("/v1/")
}

fn validate_uniqueness(objects: &[Object]) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    for (i, later) in objects.iter().enumerate() {
        for earlier in &objects[..i] {
            if let Some((field, message)) = conflict(earlier, later) {
                errors.push(ValidationError::new(later, field, message));
            }
        }
    }
    errors
}

fn conflict(earlier: &Object, later: &Object) -> Option<(&'static str, String)> {
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
