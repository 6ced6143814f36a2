//! Entries that can never match a request or be used by one.

use std::collections::BTreeSet;

use super::Finding;
use crate::{Catalog, LayerRange, Model, Object, Pool, Route, Workspace};

/// Returns all entries without effect.
pub(super) fn find(catalog: &Catalog) -> Vec<Finding> {
    let objects = catalog.objects();
    objects.iter().flat_map(|object| find_in(catalog, &objects, object)).collect()
}

fn find_in(catalog: &Catalog, objects: &[Object], object: &Object) -> Vec<Finding> {
    match object {
        Object::Pool(pool) => {
            let is_used = objects.iter().any(|user| uses_pool(user, pool));
            unless(is_used, object, "no route or model uses it")
        }
        Object::Route(route) => {
            let may_use = |workspace: &Workspace| workspace.routes.contains(&route.name);
            let mut findings =
                unless(catalog.workspaces().any(may_use), object, "no workspace may use it");
            findings.extend(unmatchable_path(object, route));
            findings
        }
        Object::Model(model) => {
            let may_use = |workspace: &Workspace| workspace.models.contains(&model.name);
            let mut findings =
                unless(catalog.workspaces().any(may_use), object, "no workspace may use it");
            findings.extend(repeated(object, "pools", &model.pools));
            findings.extend(unused_stages(catalog, object, model));
            findings
        }
        Object::Workspace(workspace) => {
            let is_usable = !workspace.models.is_empty() || !workspace.routes.is_empty();
            let mut findings = unless(is_usable, object, "it may use no model and no route");
            findings.extend(repeated(object, "models", &workspace.models));
            findings.extend(repeated(object, "routes", &workspace.routes));
            findings
        }
        // Callers name priorities in a header.
        Object::Priority(_) => Vec::new(),
    }
}

fn unless(holds: bool, object: &Object, message: &str) -> Vec<Finding> {
    if holds { Vec::new() } else { vec![Finding::new(object, "name", message)] }
}

fn uses_pool(user: &Object, pool: &Pool) -> bool {
    match user {
        Object::Route(route) => route.pool == pool.name,
        Object::Model(model) => model.pools.contains(&pool.name),
        _ => false,
    }
}

/// The path of a request has neither a query nor a fragment, and no spaces.
fn unmatchable_path(object: &Object, route: &Route) -> Option<Finding> {
    let never = |c: char| matches!(c, '?' | '#') || c.is_whitespace() || c.is_control();
    let found = route.path.chars().find(|c| never(*c))?;
    Some(Finding::new(object, "path", format!("never matches, no path contains {found:?}")))
}

fn repeated<T: PartialEq + std::fmt::Display>(
    object: &Object,
    field: &str,
    names: &[T],
) -> Vec<Finding> {
    let is_repeated = |(i, name): &(usize, &T)| names[..*i].contains(name);
    let repeated = names.iter().enumerate().filter(is_repeated);
    repeated
        .map(|(i, name)| {
            Finding::new(object, &format!("{field}[{i}]"), format!("`{name}` is named before"))
        })
        .collect()
}

/// Pools of a model to which no request is ever sent.
fn unused_stages(catalog: &Catalog, object: &Object, model: &Model) -> Vec<Finding> {
    let pools = || model.pools.iter().enumerate();
    let known = || pools().filter_map(|(i, name)| Some((i, catalog.pool(name)?)));
    let whole = known().find(|(_, pool)| pool.layers.is_none()).map(|(_, pool)| pool);
    let ranges = known().filter_map(|(_, pool)| pool.layers).collect();
    let mut findings = Vec::new();
    for (i, pool) in known() {
        let Some(range) = pool.layers else { continue };
        let message = match whole {
            Some(whole) => {
                format!("never used, pool `{}` has all layers and takes precedence", whole.name)
            }
            None if !is_on_chain(range, &ranges, model.layers) => {
                format!("never used, its layers {range} are on no chain that has all layers")
            }
            None => continue,
        };
        findings.push(Finding::new(object, &format!("pools[{i}]"), message));
    }
    findings
}

/// Whether ranges lead from the first layer to this range and from it to the last layer.
fn is_on_chain(range: LayerRange, ranges: &BTreeSet<LayerRange>, layers: u32) -> bool {
    let mut from_start = BTreeSet::from([0]);
    for range in ranges {
        if from_start.contains(&range.first()) {
            from_start.insert(range.last() + 1);
        }
    }
    let mut to_end = BTreeSet::from([layers]);
    for range in ranges.iter().rev() {
        if to_end.contains(&(range.last() + 1)) {
            to_end.insert(range.first());
        }
    }
    from_start.contains(&range.first()) && to_end.contains(&(range.last() + 1))
}
