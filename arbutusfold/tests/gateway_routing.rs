//! Routing by the operator's document: prefixes, keys and weights.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold::gateway::routing;
use arbutusfold_platform::document;

fn rule(name: &str, prefix: &str, public: bool) -> document::RouteRule {
    document::RouteRule {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: document::RouteKind::Idempotent,
        timeout: time::Duration::from_secs(1),
        objective: None,
        gap_objective: None,
        priority: 4,
        services: vec![
            document::ServiceWeight {
                service: "first".to_owned(),
                weight: 90.0,
            },
            document::ServiceWeight {
                service: "second".to_owned(),
                weight: 10.0,
            },
        ],
        max_attempts: 2,
        public,
        has_prompt: false,
        resumable: false,
    }
}

fn table(keys: bool) -> routing::RoutingTable {
    let organisation = |name: &str, keys: &[&str], priority| document::OrganisationKeys {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority,
    };
    routing::RoutingTable::new(document::RoutingDocument {
        version: 3,
        routes: vec![
            rule("short", "/a/", false),
            rule("long", "/a/b/", false),
            rule("open", "/open/", true),
        ],
        services: Vec::new(),
        organisations: keys.then(|| {
            vec![
                organisation("house-1", &["k1", "k3"], Some(0)),
                organisation("house-2", &["k2"], None),
            ]
        }),
        limits: document::CallerLimits::default(),
    })
}

fn decided(
    table: &routing::RoutingTable,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Option<(String, Option<String>, u8)> {
    match table.decide(host, path, key) {
        routing::RouteVerdict::Allowed {
            rule,
            organisation,
            priority,
        } => Some((rule.name.clone(), organisation.map(str::to_owned), priority)),
        routing::RouteVerdict::NoRoute | routing::RouteVerdict::KeyUnknown => None,
    }
}

#[test]
fn longest_prefix_of_the_host_decides() {
    let table = table(true);
    let long = decided(&table, "DESK.example:8080", "/a/b/c", Some("k2")).unwrap();
    assert_eq!(long, ("long".to_owned(), Some("house-2".to_owned()), 4));
    let short = decided(&table, "desk.example", "/a/c", Some("k3")).unwrap();
    assert_eq!(short, ("short".to_owned(), Some("house-1".to_owned()), 0));
    let none = table.decide("other.example", "/a/b/c", Some("k1"));
    assert_eq!(none, routing::RouteVerdict::NoRoute);
    let outside = table.decide("desk.example", "/ab", Some("k1"));
    assert_eq!(outside, routing::RouteVerdict::NoRoute);
}

#[test]
fn unknown_keys_pass_on_public_routes_only() {
    let table = table(true);
    for key in [None, Some("stolen")] {
        let verdict = table.decide("desk.example", "/a/", key);
        assert_eq!(verdict, routing::RouteVerdict::KeyUnknown);
        let open = decided(&table, "desk.example", "/open/x", key).unwrap();
        assert_eq!(open.1, None);
    }
}

#[test]
fn document_without_organisations_asks_for_no_key() {
    let table = table(false);
    assert!(decided(&table, "desk.example", "/a/", None).is_some());
}

#[test]
fn services_get_requests_by_weight() {
    let rule = rule("split", "/a/", true);
    let first = (0..1_000)
        .filter(|draw| routing::choose_service(&rule, f64::from(*draw) / 1_000.0) == "first")
        .count();
    assert_eq!(first, 900);
    let mut idle = rule.clone();
    idle.services[1].weight = 0.0;
    assert_eq!(routing::choose_service(&idle, 0.999_999), "first");
}
