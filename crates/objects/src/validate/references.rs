//! Validates that every reference names an existing object.

use super::ValidationError;
use crate::{Catalog, ModelName, Object, ObjectKind, PoolName, RouteName};

/// Minimum Jaro-Winkler similarity, from 0 to 1, for suggesting a name.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.7;

/// Returns an error for each reference to an object that does not exist.
pub(super) fn validate(catalog: &Catalog) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    for object in catalog.objects() {
        for (field, kind, name) in references(&object) {
            if catalog.object(kind, name).is_none() {
                errors.push(ValidationError::new(
                    &object,
                    &field,
                    missing_message(catalog, kind, name),
                ));
            }
        }
    }
    errors
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

fn missing_message(catalog: &Catalog, kind: ObjectKind, name: &str) -> String {
    let names = catalog.names(kind);
    let scored = names.iter().map(|known| (strsim::jaro_winkler(name, known), known));
    let nearest = scored.max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((similarity, candidate)) if similarity >= MIN_SUGGESTION_SIMILARITY => {
            format!("there is no {kind} `{name}`; did you mean `{candidate}`?")
        }
        _ => format!("there is no {kind} `{name}`"),
    }
}
