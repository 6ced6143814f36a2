//! Checks that every reference names an existing object.

use super::ValidationError;
use crate::{Catalog, ModelName, Object, ObjectKind, PoolName, RouteName};

/// Least similarity, from 0 to 1, at which a name is suggested.
const SUGGESTION_SIMILARITY: f64 = 0.7;

/// Faults of all references in the catalog.
pub(super) fn check(catalog: &Catalog) -> Vec<ValidationError> {
    let mut faults = Vec::new();
    for object in catalog.objects() {
        for (field, kind, name) in references(&object) {
            if catalog.object(kind, name).is_none() {
                faults.push(ValidationError::new(&object, &field, missing(catalog, kind, name)));
            }
        }
    }
    faults
}

fn references(object: &Object) -> Vec<(String, ObjectKind, &str)> {
    match object {
        Object::Pool(_) | Object::Priority(_) => Vec::new(),
        Object::Route(route) => vec![("pool".into(), ObjectKind::Pool, route.pool.as_str())],
        Object::Model(model) => {
            let pools = model.pools.iter().map(PoolName::as_str);
            indexed("pools", ObjectKind::Pool, pools).collect()
        }
        Object::Workspace(workspace) => {
            let models = workspace.models.iter().map(ModelName::as_str);
            let routes = workspace.routes.iter().map(RouteName::as_str);
            let priority = ("priority".into(), ObjectKind::Priority, workspace.priority.as_str());
            std::iter::once(priority)
                .chain(indexed("models", ObjectKind::Model, models))
                .chain(indexed("routes", ObjectKind::Route, routes))
                .collect()
        }
    }
}

fn indexed<'a>(
    field: &'a str,
    kind: ObjectKind,
    names: impl Iterator<Item = &'a str> + 'a,
) -> impl Iterator<Item = (String, ObjectKind, &'a str)> + 'a {
    names.enumerate().map(move |(i, name)| (format!("{field}[{i}]"), kind, name))
}

fn missing(catalog: &Catalog, kind: ObjectKind, name: &str) -> String {
    let names = catalog.names(kind);
    let scored = names.iter().map(|near| (strsim::jaro_winkler(name, near), near));
    let nearest = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((similarity, near)) if similarity >= SUGGESTION_SIMILARITY => {
            format!("there is no {kind} `{name}`; did you mean `{near}`?")
        }
        _ => format!("there is no {kind} `{name}`"),
    }
}
