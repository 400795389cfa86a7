//! Sessions, drafts and forms of the console.

#![allow(clippy::unwrap_used)]

use arbutusfold::console::{draft, form, session};
use arbutusfold::{check, document, schema, settings};

const KEYS: [&str; 2] = [
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
    "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100",
];

fn settings(keys: &[&str], token: &str) -> settings::NodeSettings {
    let text = serde_json::json!({
        "name": "entry-1", "region": "r", "domain": "d",
        "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3",
        "platform": "127.0.0.1:4", "peer_keys": keys,
        "operator_tokens": [{"name": "ana.maria", "digest": document::digest_key(token)}],
    });
    settings::parse(&text.to_string()).unwrap()
}

fn headers(cookie: &str) -> http::HeaderMap {
    let mut headers = http::HeaderMap::new();
    let value = format!("other=1; arbutusfold_session={cookie}");
    headers.insert(http::header::COOKIE, value.parse().unwrap());
    headers
}

fn now_ms() -> u64 {
    arbutusfold::event::unix_millis()
}

#[test]
fn session_holds_on_every_node_until_it_runs_out() {
    let begun =
        session::OperatorSession::begin(&settings(&KEYS[..1], "token"), "ana.maria").unwrap();
    let held = headers(&begun.cookie);
    // Another node whose first key is newer still knows the older one.
    let other = settings(&[KEYS[1], KEYS[0]], "token");
    let seen = session::OperatorSession::of_request(&other, &held, now_ms()).unwrap();
    assert_eq!(seen.operator, "ana.maria");
    let late = now_ms() + session::SESSION_TIME.as_millis() as u64 + 1;
    assert!(session::OperatorSession::of_request(&other, &held, late).is_none());
    assert!(begun.set_cookie().contains("HttpOnly; SameSite=Strict"));
}

#[test]
fn forged_and_withdrawn_sessions_are_refused() {
    let known = settings(&KEYS[..1], "token");
    let begun = session::OperatorSession::begin(&known, "ana.maria").unwrap();
    let forged = begun.cookie.replacen("ana", "ann", 1);
    let longer = format!("9{}", begun.cookie);
    for cookie in [&forged, &longer, "", "1.2", "9999999999999.ana.maria."] {
        let seen = session::OperatorSession::of_request(&known, &headers(cookie), now_ms());
        assert!(seen.is_none(), "{cookie}");
    }
    let strange = settings(&KEYS[1..], "token");
    let renewed = settings(&KEYS[..1], "another token");
    for settings in [&strange, &renewed] {
        let held = headers(&begun.cookie);
        assert!(session::OperatorSession::of_request(settings, &held, now_ms()).is_none());
    }
}

#[test]
fn form_codes_belong_to_one_session() {
    let known = settings(&KEYS[..1], "token");
    let begun = session::OperatorSession::begin(&known, "ana.maria").unwrap();
    assert!(begun.takes_form(&known, &begun.form_code(&known)));
    assert!(!begun.takes_form(&known, ""));
    let other = session::OperatorSession {
        operator: "ana.maria".to_owned(),
        cookie: "another".to_owned(),
    };
    assert!(!begun.takes_form(&known, &other.form_code(&known)));
}

fn base() -> serde_json::Value {
    serde_json::json!({
        "models": [], "pipelines": [], "upstreams": [],
        "organisations": [{"name": "a", "key_digests": []}, {"name": "b", "key_digests": []}],
    })
}

#[test]
fn draft_applies_in_order_and_tells_what_is_lost() {
    let mut typed = draft::DocumentDraft::default();
    let entry = |name: &str, weight: u32| {
        Some(serde_json::json!({"name": name, "key_digests": [], "weight": weight}))
    };
    typed.add("organisations", Some("a".to_owned()), entry("c", 2));
    typed.add("organisations", Some("c".to_owned()), entry("c", 3));
    typed.add("organisations", Some("b".to_owned()), None);
    typed.add("organisations", Some("b".to_owned()), entry("b", 1));
    typed.add("services", None, Some(serde_json::json!({"name": "s"})));
    typed.add("nowhere", None, entry("x", 1));
    let drafted = typed.apply(&base());
    assert_eq!(
        drafted.value["organisations"],
        serde_json::json!([{"name": "c", "key_digests": [], "weight": 3}])
    );
    assert_eq!(drafted.value["services"][0]["name"], "s");
    assert_eq!(drafted.lost.len(), 2);
}

#[test]
fn every_entry_survives_its_form() {
    let call = serde_json::json!({
        "name": "bonds", "upstreams": ["left", "right"], "deadline_ms": 500,
        "non_idempotent": [{"method": "POST", "path": "/a"}, {"method": "PUT", "path": "/b"}],
    });
    let runner = serde_json::json!({
        "name": "left", "address": "127.0.0.1:1", "domain": "nz-a", "accelerator": "a",
        "capacity_layers": 4, "checks_fencing": true,
    });
    for (fields, entry) in [(schema::SERVICE, call), (schema::UPSTREAM, runner)] {
        let shown = form::fields_of(fields, &entry, "", &[]);
        let mut sent = form_urlencoded::Serializer::new(String::new());
        for field in &shown {
            if field.input != form::InputKind::Tick || field.is_ticked() {
                // Browsers send line breaks as carriage return and line feed.
                sent.append_pair(&field.name, &field.value.replace('\n', "\r\n"));
            }
        }
        let sent = form::SentForm::parse(sent.finish().as_bytes());
        assert_eq!(form::entry_of(fields, &sent), entry);
    }
}

#[test]
fn typed_key_is_kept_as_its_digest_only() {
    let sent = form::SentForm::parse(b"field.name=desk&new_key=secret");
    let entry = form::entry_of(schema::ORGANISATION, &sent);
    let digest = document::digest_key("secret");
    assert_eq!(entry["key_digests"], serde_json::json!([digest]));
    assert!(!entry.to_string().contains("secret"));
}

#[test]
fn wrong_values_stay_typed_with_their_errors_beside() {
    let sent = form::SentForm::parse(b"field.name=two+words&field.layers=many&field.version=1");
    let entry = form::entry_of(schema::MODEL, &sent);
    let issue = |field: &str| check::CheckIssue {
        line: 1,
        column: 1,
        path: format!("models[0].{field}"),
        found: "x".to_owned(),
        allowed: "y".to_owned(),
    };
    let issues = [issue("name"), issue("layers")];
    let fields = form::fields_of(schema::MODEL, &entry, "models[0]", &issues);
    let typed: Vec<_> = fields.iter().map(|field| field.value.as_str()).collect();
    assert_eq!(typed, ["two words", "many", "1"]);
    let errors: Vec<_> = fields.iter().map(|field| field.errors.len()).collect();
    assert_eq!(errors, [1, 1, 0]);
}
