//! Checks that the pools of each model hold all of its layers.

use std::collections::BTreeSet;

use super::ValidationError;
use crate::{Catalog, LayerRange, Model, Object, Pool, PoolKind};

/// Faults of the models' layer coverage.
pub(super) fn check(catalog: &Catalog) -> Vec<ValidationError> {
    let objects = catalog.objects();
    let models = objects.iter().filter_map(|object| match object {
        Object::Model(model) => Some((object, model)),
        _ => None,
    });
    models.flat_map(|(object, model)| check_model(catalog, object, model)).collect()
}

fn check_model(catalog: &Catalog, object: &Object, model: &Model) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    for (i, name) in model.pools.iter().enumerate() {
        let Some(pool) = catalog.pool(name) else { continue };
        if let Some(message) = pool_fault(model, pool) {
            faults.push(ValidationError::new(object, &format!("pools[{i}]"), message));
        }
    }
    let known = model.pools.iter().all(|name| catalog.pool(name).is_some());
    if faults.is_empty() && known && !model.pools.is_empty() {
        let pools = model.pools.iter().filter_map(|name| catalog.pool(name));
        let ranges = pools.filter_map(|pool| pool.layers).collect();
        faults.extend(
            uncovered(model, &ranges).map(|message| ValidationError::new(object, "pools", message)),
        );
    }
    faults
}

fn pool_fault(model: &Model, pool: &Pool) -> Option<String> {
    let name = &pool.name;
    match (pool.serves, pool.layers) {
        (PoolKind::Service, _) => Some(format!("pool `{name}` does not hold model engines")),
        (PoolKind::Engine, Some(range)) if range.last() >= model.layers => {
            let last = model.layers.saturating_sub(1);
            Some(format!("pool `{name}` holds layers {range}, the model has layers 0-{last}"))
        }
        _ => None,
    }
}

/// Says which layer no chain of ranges reaches, when the ranges do not join.
fn uncovered(model: &Model, ranges: &BTreeSet<LayerRange>) -> Option<String> {
    if ranges.is_empty() {
        return None;
    }
    let mut boundaries = BTreeSet::from([0]);
    for range in ranges {
        if boundaries.contains(&range.first()) {
            boundaries.insert(range.last() + 1);
        }
    }
    if boundaries.contains(&model.layers) {
        return None;
    }
    let reached = boundaries.last().copied().unwrap_or(0);
    Some(format!(
        "no chain of layer ranges goes on from layer {reached} to layer {}",
        model.layers - 1
    ))
}
