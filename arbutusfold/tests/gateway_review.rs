//! Review of an operator's document before it is sent.

#![allow(clippy::unwrap_used)]

use arbutusfold::check;
use arbutusfold::gateway::review;
use arbutusfold::gateway::review::FindingSeverity;
use serde_json::{Value, json};

/// A key that no report may show.
const KEY: &str = "secret-of-the-desk";

fn document() -> Value {
    json!({ "version": 7,
        "routes": [
            { "name": "chat", "hostname": "desk.example", "prefix": "/chat/", "type": "streaming",
              "timeoutMs": 20_000, "goalMs": 500, "gapAimMs": 200, "priority": 1,
              "trafficSplit": [{ "service": "model", "weight": 9 }, { "service": "plain", "weight": 1 }],
              "maxAttempts": 2, "resumable": true },
            { "name": "post", "hostname": "desk.example", "prefix": "/post/",
              "type": "non_idempotent", "service": "plain" }],
        "services": [
            { "name": "model", "maxConns": 500, "engine": {
                "slots": 64, "kvTokenBytes": 918_000, "stride": 3, "step_ms": 1.0,
                "per_seq_ms": 0.007, "read_per_s": 100_000.0, "usual": { "prompt": 774, "answer": 204 },
                "layers": 80, "layerMb": 1_750.0, "activationBytes": 45_900, "pipeMbps": 22_000.0,
                "models": [{ "name": "m", "loadS": 0.5 }],
                "kinds": [
                    { "name": "a", "sizeMb": 72_000.0, "pace": 2.4, "readX": 3.2 },
                    { "name": "b", "sizeMb": 21_600.0, "pace": 16.0, "readX": 8.2 }] } },
            { "name": "plain" }],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000 },
        "tenants": [
            { "name": "desk", "apiKeys": [KEY, "second"], "priority": 1 },
            { "name": "bonds", "apiKeys": ["third"] }] })
}

fn review(document: &Value) -> review::DocumentReview {
    review::review_bytes(document.to_string().as_bytes(), None)
}

fn compare(in_force: &Value, document: &Value) -> review::DocumentReview {
    let (document, in_force) = (document.to_string(), in_force.to_string());
    review::review_bytes(document.as_bytes(), Some(in_force.as_bytes()))
}

/// Returns severity, place and message of each finding of a kind.
fn found<'a>(
    review: &'a review::DocumentReview,
    code: &str,
) -> Vec<(FindingSeverity, &'a str, &'a str)> {
    let findings = review
        .findings
        .iter()
        .filter(|finding| finding.code == code);
    findings
        .map(|finding| (finding.severity, &*finding.place, &*finding.message))
        .collect()
}

/// Changes one value of the sound document and checks that this brings one finding, of
/// this kind and at this place, and no error of another kind.
#[track_caller]
fn assert_only(
    pointer: &str,
    value: Value,
    severity: FindingSeverity,
    code: &str,
    place: &str,
) -> String {
    let mut changed = document();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    match changed.pointer_mut(parent).unwrap() {
        Value::Object(map) => drop(map.insert(field.to_owned(), value)),
        Value::Array(list) => match field.parse::<usize>() {
            Ok(index) => list[index] = value,
            Err(_) => list.push(value),
        },
        _ => unreachable!(),
    }
    let review = review(&changed);
    let found = found(&review, code);
    assert_eq!(found.len(), 1, "{review:#?}");
    assert_eq!((found[0].0, found[0].1), (severity, place));
    let errors = usize::from(severity == FindingSeverity::Error);
    assert_eq!(review.errors, errors, "{review:#?}");
    found[0].2.to_owned()
}

#[track_caller]
fn assert_error(pointer: &str, value: Value, code: &str, place: &str) -> String {
    assert_only(pointer, value, FindingSeverity::Error, code, place)
}

#[track_caller]
fn assert_warning(pointer: &str, value: Value, code: &str, place: &str) -> String {
    assert_only(pointer, value, FindingSeverity::Warning, code, place)
}

#[test]
fn sound_document_has_no_findings() {
    let review = review(&document());
    assert_eq!(review.findings, []);
    assert_eq!(review.version, Some(7));
}

#[test]
fn refused_document_is_named_with_its_place() {
    let message = assert_error(
        "/routes/1/type",
        json!("sometimes"),
        "refused",
        "routes[1].type",
    );
    assert_eq!(message, "unknown kind \"sometimes\"");
    let slash = json!("post/");
    assert_error("/routes/1/prefix", slash, "refused", "routes[1].prefix");
    let message = assert_error(
        "/routes/1/service",
        Value::Null,
        "refused",
        "routes[1].service",
    );
    assert_eq!(message, "missing");
    for bytes in [&b""[..], b"{\"version\":", b"\xff\x00", b"[]", b"null"] {
        let review = review::review_bytes(bytes, None);
        assert_eq!(found(&review, "refused")[0].1, "document");
        assert_eq!(review.errors, 1);
    }
}

#[test]
fn document_longer_than_gateways_read_is_an_error() {
    let mut text = document().to_string();
    // The store's answers of 8 MiB hold it in base64.
    text.push_str(&" ".repeat(6 << 20));
    let review = review::review_bytes(text.as_bytes(), None);
    assert_eq!(found(&review, "too_long").len(), 1);
}

#[test]
fn unreadable_document_in_force_does_not_hide_findings() {
    let mut changed = document();
    changed["version"] = json!(0);
    let review = review::review_bytes(changed.to_string().as_bytes(), Some(b"{"));
    assert_eq!(found(&review, "in_force_refused")[0].1, "in force");
    assert_eq!(found(&review, "version_zero").len(), 1);
    assert_eq!(review.in_force, None);
}

#[test]
fn version_that_no_gateway_takes_is_an_error() {
    assert_error("/version", json!(0), "version_zero", "version");
}

/// Requests find routes by host and prefix, and organisations by their keys.
#[test]
fn names_that_routes_or_organisations_share_are_warnings() {
    let place = "routes[1]";
    assert_warning("/routes/1/name", json!("chat"), "name_shared", place);
    let place = "organisations[1]";
    assert_warning("/tenants/1/name", json!("desk"), "name_shared", place);
}

#[test]
fn copied_names_of_services_and_cards_are_errors() {
    let service = json!({ "name": "model" });
    assert_error("/services/-", service, "name_twice", "services[2]");
    let pointer = "/services/0/engine/kinds/1/name";
    let place = "services[0].engine.cards[1]";
    assert_error(pointer, json!("a"), "name_twice", place);
}

#[test]
fn entries_without_names_are_warnings() {
    let mut changed = document();
    changed["routes"][0]["name"] = json!("");
    assert_eq!(review(&changed).findings, []);
    changed["routes"][1]["name"] = json!("");
    changed["tenants"][0]["name"] = json!("");
    let review = review(&changed);
    let places: Vec<_> = found(&review, "name_missing")
        .into_iter()
        .map(|(_, place, _)| place)
        .collect();
    assert_eq!(places, ["routes[1]", "organisations[0]"]);
    assert_eq!(review.errors, 0);
}

#[test]
fn route_behind_one_with_the_same_host_and_prefix_never_matches() {
    let mut changed = document();
    changed["routes"][1]["hostname"] = json!("DESK.example");
    changed["routes"][1]["prefix"] = json!("/chat/");
    let mut third = changed["routes"][1].clone();
    third["name"] = json!("third");
    changed["routes"].as_array_mut().unwrap().push(third);
    let review = review(&changed);
    let found = found(&review, "route_hidden");
    let places: Vec<_> = found.iter().map(|(_, place, _)| *place).collect();
    assert_eq!(places, ["routes[1]", "routes[2]"]);
    assert!(found[1].2.contains("routes[0] \"chat\""));
    // A longer or shorter prefix hides nothing.
    changed["routes"][1]["prefix"] = json!("/chat/more/");
    changed["routes"][2]["prefix"] = json!("/");
    assert_eq!(self::review(&changed).findings, []);
}

#[test]
fn hosts_that_no_request_has_are_warnings() {
    let pointer = "/routes/1/hostname";
    for (host, code) in [
        ("desk.example:8080", "host_with_port"),
        ("[::1]", "host_with_port"),
        (" desk.example", "host_unmatchable"),
        ("bücher.example", "host_unmatchable"),
        ("*.example", "host_wildcard"),
        ("", "host_empty"),
    ] {
        assert_warning(pointer, json!(host), code, "routes[1]");
    }
}

#[test]
fn prefixes_that_no_path_has_are_warnings() {
    for prefix in ["/a?b=c/", "/a#b/", "/a b/", "/a\u{0}/"] {
        let pointer = "/routes/1/prefix";
        assert_warning(pointer, json!(prefix), "prefix_unmatchable", "routes[1]");
    }
}

#[test]
fn routes_to_nowhere_are_errors() {
    let place = "routes[1].services[0]";
    let pointer = "/routes/1/service";
    assert_error(pointer, json!("plian"), "service_unknown", place);
    let split = json!([{ "service": "model", "weight": 0 }, { "service": "plain", "weight": -1 }]);
    let pointer = "/routes/0/trafficSplit";
    assert_error(pointer, split, "no_share", "routes[0]");
}

#[test]
fn shares_that_get_no_requests_are_warnings() {
    let pointer = "/routes/0/trafficSplit/1/weight";
    let place = "routes[0].services[1]";
    assert_warning(pointer, json!(0), "share_zero", place);
    assert_warning(pointer, json!(-5), "share_zero", place);
    let pointer = "/routes/0/trafficSplit/-";
    let share = json!({ "service": "model", "weight": 1 });
    let place = "routes[0].services[2]";
    assert_warning(pointer, share, "share_twice", place);
    let huge =
        json!([{ "service": "model", "weight": 1e308 }, { "service": "plain", "weight": 1e308 }]);
    let pointer = "/routes/0/trafficSplit";
    assert_warning(pointer, huge, "shares_overflow", "routes[0]");
}

#[test]
fn service_that_no_route_names_is_a_warning() {
    let service = json!({ "name": "old" });
    assert_warning("/services/-", service, "service_unused", "services[2]");
}

#[test]
fn public_flag_without_keys_is_a_warning() {
    let mut changed = document();
    changed["routes"][1]["public"] = json!(true);
    assert_eq!(review(&changed).findings, []);
    changed["tenants"] = Value::Null;
    let review = review(&changed);
    assert_eq!(found(&review, "public_without_effect")[0].1, "routes[1]");
    assert_eq!(review.findings.len(), 1);
}

#[test]
fn routes_that_nobody_can_use_are_errors() {
    let mut changed = document();
    changed["routes"][1]["public"] = json!(true);
    changed["tenants"] = json!([]);
    let review = review(&changed);
    assert_eq!(found(&review, "no_key_exists")[0].1, "routes[0]");
    assert_eq!(review.errors, 1);
}

#[test]
fn organisation_without_keys_is_a_warning() {
    let (pointer, place) = ("/tenants/1/apiKeys", "organisations[1]");
    assert_warning(pointer, json!([]), "organisation_without_keys", place);
}

#[test]
fn keys_that_two_organisations_hold_are_errors() {
    let (pointer, place) = ("/tenants/1/apiKeys/0", "organisations[1].keys[0]");
    let message = assert_error(pointer, json!(KEY), "key_shared", place);
    assert!(message.contains("organisations[0].keys[0]"), "{message}");
    assert!(!message.contains(KEY));
}

#[test]
fn keys_without_effect_are_warnings() {
    let (pointer, place) = ("/tenants/0/apiKeys/1", "organisations[0].keys[1]");
    assert_warning(pointer, json!(KEY), "key_twice", place);
    for key in ["", " third", "third\n", "schlüssel"] {
        assert_warning(pointer, json!(key), "key_unmatchable", place);
    }
}

#[test]
fn keys_are_not_shown_when_the_document_is_refused() {
    let mut changed = document();
    let odd = format!("{KEY}, expected \"{KEY}\"");
    for spoilt in [
        json!([{ "name": "desk", "apiKeys": odd }]),
        json!([{ "name": "desk", "apiKeys": [[odd]] }]),
        json!([{ "name": "desk", "apiKeys": [], "priority": odd }]),
        json!(odd),
        json!([odd]),
    ] {
        changed["tenants"] = spoilt;
        let text = review(&changed).to_string();
        assert!(text.contains("refused") && !text.contains(KEY), "{text}");
    }
}

#[test]
fn objective_that_the_timeout_cuts_off_is_a_warning() {
    let code = "objective_over_timeout";
    let message = assert_warning("/routes/0/goalMs", json!(30_000), code, "routes[0]");
    assert_eq!(
        message,
        "the objective of 30s is never reached: the timeout is 20s"
    );
    assert_warning("/routes/0/gapAimMs", json!(20_001), code, "routes[0]");
    // The timeout of a route that sets none.
    assert_warning("/routes/1/goalMs", json!(30_001), code, "routes[1]");
}

#[test]
fn times_that_nothing_can_meet_are_found() {
    for timeout in [json!(0), json!(-1), json!(30)] {
        let (pointer, place) = ("/routes/1/timeoutMs", "routes[1]");
        assert_error(pointer, timeout, "timeout_too_short", place);
    }
    assert_warning("/routes/0/goalMs", json!(0), "objective_zero", "routes[0]");
}

#[test]
fn attempts_that_are_never_made_are_warnings() {
    let code = "attempts_without_effect";
    assert_warning("/routes/1/maxAttempts", json!(2), code, "routes[1]");
    assert_warning("/routes/0/resumable", json!(false), code, "routes[0]");
    let code = "attempts_over_limit";
    assert_warning("/routes/0/maxAttempts", json!(5), code, "routes[0]");
    let code = "resumable_without_stream";
    assert_warning("/routes/1/resumable", json!(true), code, "routes[1]");
}

#[test]
fn priorities_that_runners_are_not_told_are_warnings() {
    let code = "priority_over_limit";
    assert_warning("/routes/0/priority", json!(10), code, "routes[0]");
    assert_warning("/tenants/0/priority", json!(10), code, "organisations[0]");
}

#[test]
fn limits_on_callers_that_are_never_in_force_are_warnings() {
    let code = "head_bytes_out_of_range";
    for bytes in [0, 8_191, 65_537] {
        assert_warning("/limits/maxHeaderBytes", json!(bytes), code, "limits");
    }
    let code = "body_bytes_zero";
    assert_warning("/limits/maxBodyBytes", json!(0), code, "limits");
    let pointer = "/limits/headerTimeoutMs";
    assert_warning(pointer, json!(0), "head_time_zero", "limits");
    assert_warning(pointer, json!(90_001), "head_time_over_limit", "limits");
    let pointer = "/limits/idleTimeoutMs";
    assert_warning(pointer, json!(90_001), "idle_time_over_limit", "limits");
}

#[test]
fn card_that_is_too_small_for_a_layer_and_a_request_is_a_warning() {
    let pointer = "/services/0/engine/kinds/1/sizeMb";
    let place = "services[0].engine.cards[1]";
    for size in [0, 1_750, 1_755] {
        assert_warning(pointer, json!(size), "card_without_room", place);
    }
}

#[test]
fn engine_that_fits_no_card_is_an_error() {
    let mut changed = document();
    changed["services"][0]["engine"]["layerMb"] = json!(100_000.0);
    let review = review(&changed);
    let found = found(&review, "engine_without_room");
    assert_eq!(found[0].1, "services[0].engine");
    assert_eq!((review.errors, review.warnings), (1, 2));
}

#[test]
fn engine_without_cards_that_holds_no_usual_request_is_an_error() {
    let mut changed = document();
    let engine = &mut changed["services"][0]["engine"];
    engine["kinds"] = json!([]);
    engine["kvCapacity"] = json!(1_000);
    let small = review(&changed);
    assert_eq!(found(&small, "engine_without_room").len(), 1);
    changed["services"][0]["engine"]["kvCapacity"] = json!(1_200);
    assert_eq!(review(&changed).findings, []);
}

#[test]
fn path_over_more_runners_than_it_may_have_is_an_error() {
    let mut changed = document();
    let engine = &mut changed["services"][0]["engine"];
    engine["layers"] = json!(4_000);
    let review = review(&changed);
    assert_eq!(found(&review, "path_too_long").len(), 1, "{review:#?}");
}

#[test]
fn more_layers_than_gateways_take_are_an_error() {
    for layers in [10_001_u32, 400_000, u32::MAX] {
        let (pointer, place) = ("/services/0/engine/layers", "services[0].engine");
        assert_error(pointer, json!(layers), "refused", place);
    }
}

#[test]
fn numbers_of_an_engine_that_make_no_sense_are_found() {
    let place = "services[0].engine";
    let pointer = "/services/0/engine/step_ms";
    assert_error(pointer, json!(-1.0), "number_negative", place);
    let pointer = "/services/0/engine/pipeMbps";
    assert_warning(pointer, json!(0), "link_without_effect", place);
    let pointer = "/services/0/engine/usual";
    assert_warning(pointer, Value::Null, "answer_length_missing", place);
    let place = "services[0].engine.cards[0]";
    let pointer = "/services/0/engine/kinds/0/pace";
    assert_error(pointer, json!(-1), "number_negative", place);
}

#[test]
fn version_that_is_not_higher_is_an_error() {
    let review = compare(&document(), &document());
    assert_eq!(found(&review, "version_not_higher")[0].1, "version");
    assert_eq!((review.errors, review.differences), (1, 0));
    assert_eq!((review.version, review.in_force), (Some(7), Some(7)));
}

#[test]
fn differences_are_named_by_entry_and_field() {
    let mut changed = document();
    changed["version"] = json!(8);
    changed["routes"][0]["timeoutMs"] = json!(10_000);
    changed["routes"][0]["trafficSplit"][0]["weight"] = json!(5);
    changed["routes"][1]["name"] = json!("put");
    changed["services"][0]["engine"]["layerMb"] = json!(1_700);
    changed["services"][1]["engine"] =
        json!({ "kvCapacity": 10, "usual": { "prompt": 1, "answer": 1 } });
    changed["services"][1]["healthPath"] = json!("/health");
    changed["limits"]["maxBodyBytes"] = json!(1_000);
    changed["tenants"] = json!([
        { "name": "house", "apiKeys": ["fourth"] },
        { "name": "desk", "apiKeys": ["second", "fifth", "sixth"], "priority": 2 }]);
    let review = compare(&document(), &changed);
    assert_eq!(review.errors, 0, "{review:#?}");
    insta::assert_snapshot!(review);
}

#[test]
fn begin_and_end_of_keys_are_differences() {
    let mut keyless = document();
    keyless["tenants"] = Value::Null;
    let begin = compare(&keyless, &document());
    assert_eq!(found(&begin, "keys_needed").len(), 1);
    let end = compare(&document(), &keyless);
    assert_eq!(found(&end, "keys_not_needed").len(), 1);
    assert!(!begin.to_string().contains(KEY) && !end.to_string().contains(KEY));
}

#[test]
fn unnamed_routes_are_recognised_by_what_they_match() {
    let mut old = document();
    old["routes"][0]["name"] = json!("");
    let mut new = old.clone();
    new["version"] = json!(8);
    new["routes"][0]["priority"] = json!(2);
    new["routes"].as_array_mut().unwrap().reverse();
    let review = compare(&old, &new);
    assert_eq!(found(&review, "route_changed")[0].1, "routes[1]");
    assert_eq!(review.findings.len(), 1, "{review:#?}");
}

#[test]
fn findings_are_bounded_and_errors_come_first() {
    let mut changed = document();
    let hidden = changed["routes"][1].clone();
    let routes = changed["routes"].as_array_mut().unwrap();
    for index in 0..1_000 {
        let mut route = hidden.clone();
        route["name"] = json!(format!("r-{index}"));
        routes.push(route);
    }
    routes.last_mut().unwrap()["service"] = json!("nowhere");
    let review = review(&changed);
    assert_eq!(review.findings.len(), check::ISSUE_LIMIT);
    assert_eq!(review.findings[0].code, "service_unknown");
    assert_eq!((review.errors, review.warnings), (1, 1_000));
    assert_eq!(review.omitted, 1_001 - check::ISSUE_LIMIT);
    assert!(review.to_string().contains("further findings: 801\n"));
}

#[test]
fn long_and_odd_names_stay_short_and_on_one_line() {
    let name = "long\n\u{1b}[31m".repeat(10_000);
    let mut changed = document();
    changed["routes"][1]["service"] = json!(name);
    changed["routes"][1]["hostname"] = json!(format!("{name}:1"));
    let mut old = document();
    old["version"] = json!(6);
    let review = compare(&old, &changed);
    for finding in &review.findings {
        let text = finding.to_string();
        assert!(text.len() < 1_000, "{text}");
        assert!(!text.contains(['\n', '\u{1b}']), "{text:?}");
    }
}
