//! Findings in valid catalogs, one case per rule.

use std::collections::BTreeMap;

use clementine_objects::{
    Catalog, DeclaredRoute, DeclaredRouting, Millis, Object, check_catalog, check_routing,
    validate_catalog,
};

const BASE: &str = include_str!("../../../examples/klyuchar.yaml");
/// Digest of a token that no workspace of the example has.
const DIGEST: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

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
fn example_has_no_findings() {
    assert_eq!(check_catalog(&catalog(BASE)), []);
}

/// Documents added to the example or replacing objects in it, and the expected findings.
const CASES: [(&str, &[&str]); 11] = [
    (
        "{kind: pool, name: spare, serves: service, concurrency: 1}",
        &["pool `spare`: name: no route or model uses it"],
    ),
    (
        "{kind: route, name: r, path: /r, pool: orders, repeat: safe, timeout: 1s}",
        &["route `r`: name: no workspace may use it"],
    ),
    (
        "{kind: route, name: stock, path: '/stock?all', pool: orders, repeat: safe, timeout: 1s}",
        &["route `stock`: path: never matches, no path contains '?'"],
    ),
    (
        "{kind: model, name: m, layers: 32, pools: [assistants, assistants]}",
        &[
            "model `m`: name: no workspace may use it",
            "model `m`: pools[1]: `assistants` is named before",
        ],
    ),
    (
        "{kind: model, name: key-advisor, layers: 32, pools: [assistants, halves-first, halves-last]}",
        &[
            "model `key-advisor`: pools[1]: never used, pool `assistants` has all layers and takes precedence",
            "model `key-advisor`: pools[2]: never used, pool `assistants` has all layers and takes precedence",
        ],
    ),
    (
        "{kind: pool, name: middle, serves: engine, layers: 8-23, concurrency: 1}\n---\n\
         {kind: model, name: key-advisor-large, layers: 32, pools: [halves-first, middle, halves-last]}",
        &[
            "model `key-advisor-large`: pools[1]: never used, its layers 8-23 are on no chain that has all layers",
        ],
    ),
    (
        "{kind: workspace, name: w, token-sha256: [DIGEST], priority: batch, deadline: 1s}",
        &["workspace `w`: name: it may use no model and no route"],
    ),
    (
        "{kind: workspace, name: w, token-sha256: [DIGEST], priority: batch, deadline: 1s, \
         models: [key-advisor, key-advisor], routes: [stock, stock]}",
        &[
            "workspace `w`: models[1]: `key-advisor` is named before",
            "workspace `w`: routes[1]: `stock` is named before",
        ],
    ),
    (
        "{kind: workspace, name: w, token-sha256: [DIGEST], priority: batch, deadline: 6s, \
         routes: [stock]}",
        &[
            "workspace `w`: deadline: 6s has no effect, the routes of the workspace time out after 5s",
        ],
    ),
    (
        "{kind: workspace, name: w, token-sha256: [DIGEST], priority: batch, deadline: 5s, \
         routes: [stock], limits: {requests-per-second: 10, concurrent: 51}}",
        &[
            "workspace `w`: limits.concurrent: 51 is never reached, 10 requests per second of at most 5s are 50 at once",
        ],
    ),
    // Requests to models and the longer of two routes are limited by nothing shorter.
    (
        "{kind: workspace, name: w, token-sha256: [DIGEST], priority: batch, deadline: 10s, \
         routes: [stock, cut-orders], limits: {requests-per-second: 10, concurrent: 100}}\n---\n\
         {kind: workspace, name: v, token-sha256: [DIGEST2], priority: batch, deadline: 90s, \
         models: [key-advisor], routes: [stock], limits: {requests-per-second: 1, concurrent: 9}}",
        &[],
    ),
];

#[test]
fn findings_name_object_and_field() {
    for (documents, expected) in CASES {
        let other = DIGEST.replace('a', "b");
        let documents = documents.replace("DIGEST2", &other).replace("DIGEST", DIGEST);
        let catalog = catalog(&format!("{BASE}---\n{documents}\n"));
        assert_eq!(validate_catalog(&catalog), [], "{documents}");
        let findings: Vec<_> = check_catalog(&catalog).iter().map(ToString::to_string).collect();
        assert_eq!(findings, expected, "{documents}");
    }
}

/// A streaming route with limits that fit together.
fn route(name: &str, prefix: &str) -> DeclaredRoute {
    DeclaredRoute {
        name: name.into(),
        host: "h".into(),
        prefix: prefix.into(),
        timeout: Millis(9_000),
        target_latency: Millis(500),
        target_gap: Some(Millis(200)),
        max_attempts: 2,
        is_repeatable: true,
        pools: vec![("model".into(), 1)],
    }
}

/// Findings in a routing configuration with two servers in the pool `model`.
fn routing_findings(routes: Vec<DeclaredRoute>) -> Vec<String> {
    let routing = DeclaredRouting { routes, pools: vec!["model".into()] };
    let servers = BTreeMap::from([("model".into(), 2)]);
    check_routing(&routing, &servers).iter().map(ToString::to_string).collect()
}

#[test]
fn routes_with_limits_that_fit_have_no_findings() {
    let other_host = DeclaredRoute { host: "i".into(), ..route("c", "/a/") };
    let routes = vec![route("a", "/a/"), route("b", "/a/b/"), other_host];
    assert_eq!(routing_findings(routes), [""; 0]);
}

#[test]
fn findings_in_routing_name_route_and_field() {
    type Change = fn(&mut DeclaredRoute);
    let changed = |change: Change| {
        let mut changed = route("a", "/a/");
        change(&mut changed);
        routing_findings(vec![changed])
    };
    let cases: [(Change, &str); 7] = [
        (|r| r.prefix = "/a".into(), "prefix: never matches, `/a` must begin and end with `/`"),
        (|r| r.timeout = Millis(400), "timeout: 400ms is below the target latency 500ms"),
        (|r| r.target_gap = Some(Millis(10_000)), "target-gap: 10s is above the timeout 9s"),
        (|r| r.max_attempts = 0, "max-attempts: 0 acts like 1"),
        (
            |r| r.is_repeatable = false,
            "max-attempts: 2 has no effect, a request that may have run is not run again",
        ),
        (|r| r.max_attempts = 3, "max-attempts: 3 is more than the 2 servers of pool `model`"),
        (
            |r| r.pools.push(("other".into(), 0)),
            "split: pool `other` has weight 0 and gets no requests",
        ),
    ];
    for (change, expected) in cases {
        assert_eq!(changed(change), [format!("route `a`: {expected}")]);
    }
    let shadowed = routing_findings(vec![route("a", "/a/"), route("b", "/a/")]);
    let expected = "route `a`: prefix: never matches, route `b` has the same host and prefix";
    assert_eq!(shadowed, [expected]);
    assert_eq!(routing_findings(Vec::new()), ["pool `model`: name: no route uses it"]);
}
