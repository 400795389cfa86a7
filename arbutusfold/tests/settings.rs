//! Validation of a node's settings.

#![allow(clippy::unwrap_used)]

use arbutusfold::settings;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

fn valid_settings() -> String {
    format!(
        r#"{{
    "name": "entry-1", "region": "peru-central", "domain": "pe-a",
    "callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081",
    "peers": "127.0.0.1:8082",
    "platform": "127.0.0.1:9000",
    "peer_keys": ["{KEY}"],
    "operator_tokens": [{{"name": "ana", "digest": "{KEY}"}}],
}}"#
    )
}

#[test]
fn valid_settings_are_accepted() {
    let settings = settings::parse(&valid_settings()).unwrap();
    assert_eq!(settings.operator_tokens[0].name, "ana");
    assert_eq!(settings.stop_limit_ms.as_secs(), 120);
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = valid_settings()
        .replace(r#""name": "entry-1", "#, "")
        .replace("127.0.0.1:8081", "127.0.0.1:8080")
        .replace(&format!(r#"["{KEY}"]"#), "[]")
        .replace("pe-a", "pe a")
        .replace(r#""platform""#, r#""platfrom""#)
        .replace(
            r#""operator_tokens": ["#,
            r#""body_limit_bytes": 12, "answer_keep_ms": "10s", "operator_tokens": ["open",
        {"name": "ana"},"#,
        );
    let error = settings::parse_file("entry-1.json", &text).unwrap_err();
    insta::assert_snapshot!(error.to_string());
}
