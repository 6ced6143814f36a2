//! Validates that the pools of each model cover all of its layers.

use std::collections::BTreeSet;

use super::ValidationError;
use crate::{Catalog, LayerRange, Model, Object, Pool, PoolKind};

/// Returns all errors in the layer coverage of the models.
pub(super) fn validate(catalog: &Catalog) -> Vec<ValidationError> {
    let objects = catalog.objects();
    let models = objects.iter().filter_map(|object| match object {
        Object::Model(model) => Some((object, model)),
        _ => None,
    });
    models.flat_map(|(object, model)| validate_model(catalog, object, model)).collect()
}

fn validate_model(catalog: &Catalog, object: &Object, model: &Model) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    for (i, name) in model.pools.iter().enumerate() {
        let Some(pool) = catalog.pool(name) else { continue };
        if let Some(message) = pool_error(model, pool) {
            errors.push(ValidationError::new(object, &format!("pools[{i}]"), message));
        }
    }
    let all_known = model.pools.iter().all(|name| catalog.pool(name).is_some());
    if errors.is_empty() && all_known && !model.pools.is_empty() {
        let pools = model.pools.iter().filter_map(|name| catalog.pool(name));
        let ranges = pools.filter_map(|pool| pool.layers).collect();
        errors.extend(
            coverage_gap(model, &ranges)
                .map(|message| ValidationError::new(object, "pools", message)),
        );
    }
    errors
}

fn pool_error(model: &Model, pool: &Pool) -> Option<String> {
    let name = &pool.name;
    match (pool.serves, pool.layers) {
        (PoolKind::Service, _) => Some(format!("pool `{name}` is not an engine pool")),
        (PoolKind::Engine, Some(range)) if range.last() >= model.layers => {
            let last = model.layers.saturating_sub(1);
            Some(format!("pool `{name}` serves layers {range}, but the model has layers 0-{last}"))
        }
        _ => None,
    }
}

/// Returns an error message if no contiguous sequence of ranges covers the
/// layers from 0 to the last one.
///
/// Without any ranges, every pool serves all layers and there is no gap.
fn coverage_gap(model: &Model, ranges: &BTreeSet<LayerRange>) -> Option<String> {
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
        "no chain of layer ranges leads from layer {reached} to layer {}",
        model.layers - 1
    ))
}
