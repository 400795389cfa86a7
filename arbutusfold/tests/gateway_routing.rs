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
            ..
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

/// Returns a table with a public route at `/N/` and an organisation with the key `N` for
/// each of these priorities.
fn ranked(routes: &[u8], organisations: &[Option<u8>]) -> routing::RoutingTable {
    let route = |(number, priority): (usize, &u8)| document::RouteRule {
        priority: *priority,
        ..rule("ranked", &format!("/{number}/"), true)
    };
    let organisation = |(number, priority): (usize, &Option<u8>)| document::OrganisationKeys {
        name: format!("house-{number}"),
        keys: vec![number.to_string()],
        priority: *priority,
    };
    let organisations = organisations.iter().enumerate().map(organisation);
    routing::RoutingTable::new(document::RoutingDocument {
        version: 3,
        routes: routes.iter().enumerate().map(route).collect(),
        services: Vec::new(),
        organisations: Some(organisations.collect()),
        limits: document::CallerLimits::default(),
    })
}

/// Returns the priority and the rank of a request to a route of an organisation.
fn order(table: &routing::RoutingTable, route: usize, key: Option<usize>) -> (u8, u8) {
    let key = key.map(|number| number.to_string());
    match table.decide("desk.example", &format!("/{route}/"), key.as_deref()) {
        routing::RouteVerdict::Allowed { priority, rank, .. } => (priority, rank),
        verdict => panic!("{verdict:?}"),
    }
}

#[test]
fn rank_goes_by_the_organisation_and_then_by_the_route() {
    let routes: Vec<u8> = (0..16).collect();
    let organisations: Vec<_> = (0..16).map(Some).chain([None]).collect();
    let table = ranked(&routes, &organisations);
    for (route, number) in (0..16).flat_map(|route| (0..16).map(move |number| (route, number))) {
        let rank = (16 * number + route) as u8;
        assert_eq!(order(&table, route, Some(number)), (number as u8, rank));
    }
    // The route stands for an organisation that states none, and for callers of none.
    for (route, key) in (0..16).flat_map(|route| [(route, Some(16)), (route, None)]) {
        let expected = (route as u8, (17 * route) as u8);
        assert_eq!(order(&table, route, key), expected);
    }
}

/// Guards against a large priority that comes before a smaller one, or that orders the
/// requests of another organisation.
#[test]
fn large_priorities_share_the_last_rank() {
    let priorities = [0, 14, 15, 16, 31, 32, 255];
    let table = ranked(&priorities, &priorities.map(Some));
    let numbers = 0..priorities.len();
    let pairs = numbers.flat_map(|number| (0..priorities.len()).map(move |route| (number, route)));
    let ranks = pairs.map(|(number, route)| order(&table, route, Some(number)).1);
    let ranks: Vec<_> = ranks.collect();
    assert!(ranks[..14].is_sorted_by(|one, other| one < other || *one % 16 == 15));
    let rows: Vec<_> = ranks.chunks(priorities.len()).collect();
    assert!(rows.iter().all(|row| row.is_sorted()));
    assert!(rows[..3].windows(2).all(|pair| pair[0][6] < pair[1][0]));
    assert!(rows[2..].windows(2).all(|pair| pair[0] == pair[1]));
}

/// Guards against waiting requests that change places with new ones when a document
/// changes the priority of another route or organisation.
#[test]
fn rank_depends_on_the_request_alone() {
    let before = ranked(&[3, 3], &[None, None]);
    let after = ranked(&[3, 7], &[None, Some(1)]);
    for key in [Some(0), None] {
        assert_eq!(order(&before, 0, key), (3, 3 * 17));
        assert_eq!(order(&after, 0, key), (3, 3 * 17));
    }
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
