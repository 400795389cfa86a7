//! Malformed settings and documents bring clear errors and no panic.

#![allow(clippy::unwrap_used)]

use arbutusfold::gateway::review;
use arbutusfold::{check, document, settings};
use proptest::prelude::*;
use proptest::test_runner;

/// Refused texts of each kind that the test must have seen.
const REFUSED_LEAST: usize = 5_000;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn good_document() -> serde_json::Value {
    serde_json::json!({
        "models": [{"name": "drafts", "layers": 4, "version": "1"}],
        "pipelines": [{"name": "drafts", "model": "drafts", "upstreams": ["left", "right"], "replicas": 1}],
        "upstreams": [
            {"name": "left", "address": "127.0.0.1:1", "domain": "nz-a", "capacity_layers": 2, "accelerator": "a"},
            {"name": "right", "address": "127.0.0.1:2", "domain": "nz-b", "capacity_layers": 2, "checks_fencing": true},
            {"name": "ledger", "address": "127.0.0.1:3", "domain": "nz-a"},
        ],
        "services": [{
            "name": "bonds", "upstreams": ["ledger"], "deadline_ms": 1000,
            "non_idempotent": [{"method": "POST", "path": "/releases"}],
        }],
        "organisations": [{"name": "desk", "key_digests": [KEY], "priority": "urgent", "weight": 2}],
        "links": [{"from": "nz-a", "to": "nz-c", "delay_us": 250, "bytes_per_second": 0}],
        "domains": ["nz-c"],
    })
}

fn good_gateway_document() -> serde_json::Value {
    serde_json::json!({
        "version": 7,
        "routes": [
            {"name": "chat", "hostname": "desk.example", "prefix": "/chat/", "type": "streaming",
             "timeoutMs": 20_000, "goalMs": 500, "gapAimMs": 200, "maxAttempts": 2, "resumable": true,
             "trafficSplit": [{"service": "model", "weight": 9}, {"service": "plain", "weight": 1}]},
            {"name": "post", "hostname": "desk.example", "prefix": "/post/", "type": "non_idempotent",
             "service": "plain"},
        ],
        "services": [
            {"name": "model", "engine": {"kvTokenBytes": 918_000, "stride": 3, "step_ms": 1.0,
             "usual": {"prompt": 774, "answer": 204}, "layers": 80, "layerMb": 1_750.0,
             "kinds": [{"name": "a", "sizeMb": 72_000.0, "pace": 2.4, "readX": 3.2}]}},
            {"name": "plain"},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304},
        "tenants": [{"name": "desk", "apiKeys": ["one", "two"], "priority": 1}],
    })
}

fn good_settings() -> serde_json::Value {
    serde_json::json!({
        "name": "entry-1", "region": "peru-central", "domain": "pe-a",
        "callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081", "peers": "127.0.0.1:8082",
        "seeds": ["127.0.0.1:8083"], "platform": "127.0.0.1:9000", "peer_keys": [KEY],
        "operator_tokens": [{"name": "ana", "digest": KEY}],
        "answer_keep_ms": 1000, "body_limit_bytes": 4096, "log_json": true,
    })
}

/// One fault put into a good text.
#[derive(Clone, Debug)]
enum TextFault {
    /// A value somewhere becomes another.
    Replace(usize, serde_json::Value),
    /// A field or element somewhere goes.
    Remove(usize),
    /// A field that nobody knows, or one that stands elsewhere, comes in.
    Add(usize, String, serde_json::Value),
    /// A stretch of the text goes.
    Cut(usize, usize),
    /// Some text comes in.
    Insert(usize, String),
    /// A stretch of the text comes twice.
    Repeat(usize, usize),
}

fn value() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(serde_json::Value::from),
        any::<i64>().prop_map(serde_json::Value::from),
        any::<u64>().prop_map(serde_json::Value::from),
        any::<f64>().prop_map(serde_json::Value::from),
        (0_u64..4).prop_map(serde_json::Value::from),
        ".{0,40}".prop_map(serde_json::Value::from),
        "[a-z:/. \u{0}-]{0,90}".prop_map(serde_json::Value::from),
    ];
    leaf.prop_recursive(3, 12, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(serde_json::Value::from),
            prop::collection::btree_map("[a-z_]{1,8}", inner, 0..4)
                .prop_map(|map| serde_json::Value::Object(map.into_iter().collect())),
        ]
    })
}

fn fault() -> impl Strategy<Value = TextFault> {
    let place = any::<usize>;
    prop_oneof![
        4 => (place(), value()).prop_map(|(place, value)| TextFault::Replace(place, value)),
        2 => place().prop_map(TextFault::Remove),
        2 => (place(), "[a-z_]{1,12}|name|layers|weight", value())
            .prop_map(|(place, name, value)| TextFault::Add(place, name, value)),
        1 => (place(), 1_usize..40).prop_map(|(place, length)| TextFault::Cut(place, length)),
        1 => (place(), ".{1,6}|[\\[\\]{}\",:/*]{1,6}")
            .prop_map(|(place, text)| TextFault::Insert(place, text)),
        1 => (place(), 1_usize..40).prop_map(|(place, length)| TextFault::Repeat(place, length)),
    ]
}

/// Returns the pointers to every value, the root left out.
fn pointers(value: &serde_json::Value, begin: &str, found: &mut Vec<String>) {
    let children: Vec<_> = match value {
        serde_json::Value::Object(map) => map
            .iter()
            .map(|(key, value)| (key.clone(), value))
            .collect(),
        serde_json::Value::Array(list) => list
            .iter()
            .enumerate()
            .map(|(index, value)| (index.to_string(), value))
            .collect(),
        _ => Vec::new(),
    };
    for (key, value) in children {
        let pointer = format!("{begin}/{key}");
        found.push(pointer.clone());
        pointers(value, &pointer, found);
    }
}

fn spoil_value(good: &mut serde_json::Value, fault: &TextFault) {
    let mut places = Vec::new();
    pointers(good, "", &mut places);
    if places.is_empty() {
        return;
    }
    let pick = |place: usize| places[place % places.len()].clone();
    match fault {
        TextFault::Replace(place, value) => {
            *good.pointer_mut(&pick(*place)).unwrap() = value.clone()
        }
        TextFault::Remove(place) => {
            let pointer = pick(*place);
            let (parent, key) = pointer.rsplit_once('/').unwrap();
            match good.pointer_mut(parent).unwrap() {
                serde_json::Value::Object(map) => drop(map.remove(key)),
                serde_json::Value::Array(list) => drop(list.remove(key.parse().unwrap())),
                _ => unreachable!(),
            }
        }
        TextFault::Add(place, name, value) => {
            let target = good.pointer_mut(&pick(*place)).unwrap();
            if let serde_json::Value::Object(map) = target {
                map.insert(name.clone(), value.clone());
            }
        }
        _ => {}
    }
}

fn spoil_text(text: &str, fault: &TextFault) -> String {
    let mut bytes: Vec<_> = text.chars().collect();
    let range = |place: usize, length: usize| {
        let begin = place % bytes.len();
        begin..(begin + length).min(bytes.len())
    };
    match fault {
        TextFault::Cut(place, length) => drop(bytes.drain(range(*place, *length))),
        TextFault::Insert(place, text) => {
            let begin = place % bytes.len();
            bytes.splice(begin..begin, text.chars());
        }
        TextFault::Repeat(place, length) => {
            let range = range(*place, *length);
            let again = bytes[range.clone()].to_vec();
            bytes.splice(range.end..range.end, again);
        }
        _ => {}
    }
    bytes.into_iter().collect()
}

fn spoil(good: serde_json::Value, faults: &[TextFault]) -> String {
    let mut value = good;
    faults
        .iter()
        .for_each(|fault| spoil_value(&mut value, fault));
    let text = serde_json::to_string_pretty(&value).unwrap();
    faults
        .iter()
        .fold(text, |text, fault| match text.is_empty() {
            true => text,
            false => spoil_text(&text, fault),
        })
}

/// Checks that a report says where, what and what else, in bounded length.
fn assert_clear(report: &check::CheckReport, text: &str) {
    let lines: Vec<_> = text.split('\n').collect();
    assert!(!report.issues.is_empty());
    for issue in &report.issues {
        assert!((1..=lines.len()).contains(&issue.line), "{issue}");
        let length = lines[issue.line - 1].chars().count();
        assert!((1..=length + 1).contains(&issue.column), "{issue}");
        assert!(
            !issue.found.is_empty() && !issue.allowed.is_empty(),
            "{issue}"
        );
        assert!(!issue.to_string().contains('\n'), "{issue}");
        assert!(issue.to_string().len() < 1_500, "{issue}");
        // The fields fit, so the struct must take them.
        let whole =
            issue.allowed == "a configuration document" || issue.allowed == "settings of a node";
        assert!(!whole, "{issue}");
    }
}

/// Runs `refuse` on spoilt texts and returns how many were refused.
fn run(good: fn() -> serde_json::Value, refuse: fn(&str) -> Option<check::CheckReport>) -> usize {
    let (refused, cases) = run_spoilt(good, |text| match refuse(text) {
        Some(report) => {
            assert_clear(&report, text);
            true
        }
        None => false,
    });
    assert!(refused >= REFUSED_LEAST.min(cases * 3 / 4));
    refused
}

/// Runs `is_refused` on spoilt texts and returns how many of how many were refused.
fn run_spoilt(
    good: fn() -> serde_json::Value,
    is_refused: impl Fn(&str) -> bool,
) -> (usize, usize) {
    let cases = std::env::var("ARBUTUSFOLD_FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(6_000);
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let random = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = test_runner::TestRunner::new_with_rng(config, random);
    let refused = std::cell::Cell::new(0);
    let faults = prop::collection::vec(fault(), 1..5);
    let outcome = runner.run(&faults, |faults| {
        let text = spoil(good(), &faults);
        refused.set(refused.get() + usize::from(is_refused(&text)));
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
    println!("{} of {cases} refused", refused.get());
    (refused.get(), cases as usize)
}

#[test]
fn good_texts_are_taken() {
    document::parse(&good_document().to_string()).unwrap();
    settings::parse(&good_settings().to_string()).unwrap();
}

#[test]
fn malformed_documents_bring_clear_errors() {
    run(good_document, |text| {
        document::parse(text).err().map(|error| error.report)
    });
}

#[test]
fn malformed_settings_bring_clear_errors() {
    run(good_settings, |text| {
        settings::parse(text).err().map(|error| error.report)
    });
}

/// Checks that a review is bounded and that its counts are right.
fn assert_bounded(found: &review::DocumentReview) {
    let all = found.errors + found.warnings + found.differences;
    assert_eq!(all, found.findings.len() + found.omitted);
    assert!(found.findings.len() <= check::ISSUE_LIMIT);
    for finding in &found.findings {
        let text = finding.to_string();
        assert!(!text.contains('\n') && text.len() < 3_000, "{text:?}");
    }
}

#[test]
fn malformed_gateway_documents_are_reviewed() {
    let good = good_gateway_document().to_string();
    assert_eq!(review::review_bytes(good.as_bytes(), None).findings, []);
    let in_force = good.replace(r#""version":7"#, r#""version":6"#);
    let found_by_kind = std::cell::Cell::new([0; 2]);
    let (refused, cases) = run_spoilt(good_gateway_document, |text| {
        let found = review::review_bytes(text.as_bytes(), Some(in_force.as_bytes()));
        assert_bounded(&found);
        let swapped = review::review_bytes(in_force.as_bytes(), Some(text.as_bytes()));
        assert_bounded(&swapped);
        let [warned, differing] = found_by_kind.get();
        found_by_kind.set([
            warned + usize::from(found.warnings > 0),
            differing + usize::from(found.differences > 0),
        ]);
        found.errors > 0
    });
    let [warned, differing] = found_by_kind.get();
    println!("{warned} warned, {differing} differing");
    // The faults must reach what comes behind the decoder.
    assert!(refused >= cases / 2);
    assert!(warned >= cases / 100 && differing >= cases / 100);
}

#[test]
fn arbitrary_bytes_are_reviewed() {
    let config = test_runner::Config {
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let random = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &[4; 32]);
    let mut runner = test_runner::TestRunner::new_with_rng(config, random);
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    let outcome = runner.run(&bytes, |bytes| {
        assert_bounded(&review::review_bytes(&bytes, Some(&bytes)));
        Ok(())
    });
    outcome.unwrap();
}
