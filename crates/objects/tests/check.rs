//! Validation of a catalog, one case per rule.

use clementine_objects::{Catalog, Object, validate_catalog};

const BASE: &str = include_str!("../../../examples/klyuchar.yaml");

fn catalog(documents: &str) -> Catalog {
    use serde::Deserialize;
    let mut catalog = Catalog::default();
    for document in serde_yaml_ng::Deserializer::from_str(documents) {
        let value = serde_yaml_ng::Value::deserialize(document).expect("valid YAML");
        let object: Object = serde_yaml_ng::from_value(value).expect("valid object");
        catalog.put(object);
    }
    catalog
}

#[test]
fn example_is_valid() {
    assert_eq!(validate_catalog(&catalog(BASE)), []);
}

/// A document added to the example or replacing an object in it, and the
/// expected validation errors.
const CASES: [(&str, &[&str]); 12] = [
    (
        "{kind: route, name: r, path: /r, pool: order, repeat: safe, timeout: 1s}",
        &["route `r`: pool: there is no pool `order`; did you mean `orders`?"],
    ),
    (
        "{kind: route, name: r, path: /r, pool: assistants, repeat: safe, timeout: 1s}",
        &["route `r`: pool: a route must refer to a service pool"],
    ),
    (
        "{kind: route, name: r, path: /v1/x, pool: orders, repeat: safe, timeout: 0ms}",
        &[
            "route `r`: path: paths under `/v1` are reserved",
            "route `r`: timeout: must be longer than 0",
        ],
    ),
    (
        "{kind: route, name: z, path: /stock/, pool: orders, repeat: safe, timeout: 1s}",
        &["route `z`: path: route `stock` has the same path"],
    ),
    (
        "{kind: pool, name: orders, serves: service, layers: 0-1, concurrency: 1}",
        &["pool `orders`: layers: a service pool can't have a layer range"],
    ),
    (
        "{kind: pool, name: halves-last, serves: engine, layers: 17-31, concurrency: 1}",
        &[
            "model `key-advisor-large`: pools: no chain of layer ranges leads from layer 16 to layer 31",
        ],
    ),
    (
        "{kind: pool, name: halves-last, serves: engine, layers: 15-31, concurrency: 1}",
        &[
            "model `key-advisor-large`: pools: no chain of layer ranges leads from layer 16 to layer 31",
        ],
    ),
    (
        "{kind: model, name: m, layers: 16, pools: [halves-first, halves-last]}",
        &[
            "model `m`: pools[1]: pool `halves-last` serves layers 16-31, but the model has layers 0-15",
        ],
    ),
    (
        "{kind: model, name: m, layers: 4, pools: [orders]}",
        &["model `m`: pools[0]: pool `orders` is not an engine pool"],
    ),
    (
        "{kind: model, name: m, layers: 0, pools: []}",
        &["model `m`: layers: must be at least 1", "model `m`: pools: must name at least one pool"],
    ),
    ("{kind: priority, name: p, level: 10}", &["priority `p`: level: must be between 0 and 9"]),
    (
        "{kind: workspace, name: w, token-sha256: [], priority: countr, deadline: 1s}",
        &[
            "workspace `w`: priority: there is no priority `countr`; did you mean `counter`?",
            "workspace `w`: token-sha256: must contain at least one digest",
        ],
    ),
];

#[test]
fn errors_name_object_and_field() {
    for (document, expected) in CASES {
        let errors = validate_catalog(&catalog(&format!("{BASE}---\n{document}\n")));
        let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
        assert_eq!(errors, expected, "{document}");
    }
}
