//! Validation of a document reports all errors, each with its position and the
//! allowed values.

#![allow(clippy::unwrap_used)]

use arbutusfold::{check, document, schema, settings};
use serde::de;

fn valid_document() -> String {
    let digest = document::digest_key("caller");
    format!(
        r#"{{
    // The model that drafts letters.
    "models": [{{"name": "drafts", "layers": 4, "version": "1"}}],
    "pipelines": [{{"name": "drafts", "model": "drafts", "upstreams": ["left", "right"]}}],
    "upstreams": [
        {{"name": "left", "address": "127.0.0.1:1", "domain": "nz-a", "capacity_layers": 2}},
        {{"name": "right", "address": "127.0.0.1:2", "domain": "nz-b", "capacity_layers": 2}},
        {{"name": "ledger", "address": "127.0.0.1:3", "domain": "nz-a"}},
    ],
    "services": [{{
        "name": "bonds", "upstreams": ["ledger"],
        "non_idempotent": [{{"method": "POST", "path": "/releases"}}],
    }}],
    "organisations": [{{"name": "desk", "key_digests": ["{digest}"], "priority": "urgent"}}],
    "links": [{{"from": "nz-a", "to": "nz-c", "delay_us": 250}}],
    "domains": ["nz-c"],
}}"#
    )
}

fn errors_in(text: &str) -> String {
    document::parse(text).unwrap_err().to_string()
}

#[test]
fn valid_document_is_accepted() {
    let document = document::parse(&valid_document()).unwrap();
    assert_eq!(document.upstreams.len(), 3);
    assert_eq!(document.pipelines[0].replicas, 1);
}

#[test]
fn fields_of_the_wrong_type_are_all_reported() {
    let text = r#"{
    "modles": [],
    "models": [
        {"name": "two words", "layers": 0, "version": 1},
        {"name": "m", "layers": 2.5, "version": "1", "layers": 3, "size": 7},
    ],
    "pipelines": {},
    "upstreams": [{"name": "left", "address": "localhost:1", "domain": null}],
    "organisations": [{
        "name": "é", "key_digests": ["ABC"], "priority": "high",
        "weight": -1, "tokens_per_second": 99999999999999999999,
    }],
}"#;
    insta::assert_snapshot!(errors_in(text));
}

#[test]
fn invalid_references_are_all_reported() {
    let text = valid_document()
        .replace(r#""model": "drafts""#, r#""model": "draft""#)
        .replace(
            r#"["left", "right"]"#,
            r#"["left", "left", "ledger", "centre"]"#,
        )
        .replace(
            r#""name": "right", "address": "127.0.0.1:2""#,
            r#""name": "left", "address": "127.0.0.1:1""#,
        )
        .replace(r#""upstreams": ["ledger"]"#, r#""upstreams": ["leger"]"#)
        .replace(r#""to": "nz-c""#, r#""to": "nz-d""#);
    insta::assert_snapshot!(errors_in(&text));
}

#[test]
fn pipeline_without_capacity_for_its_layers_is_refused() {
    let text = valid_document().replace(
        r#""upstreams": ["left", "right"]"#,
        r#""upstreams": ["left", "right"], "replicas": 2"#,
    );
    insta::assert_snapshot!(errors_in(&text));
}

#[test]
fn syntax_errors_have_positions() {
    let text = valid_document().replace(r#""pipelines": ["#, r#""pipelines" ["#);
    insta::assert_snapshot!(errors_in(&text));
    insta::assert_snapshot!(errors_in(""));
    insta::assert_snapshot!(errors_in(&"[".repeat(100_000)));
}

#[test]
fn long_lists_of_errors_are_truncated() {
    let text = format!(r#"{{"models": [{}]}}"#, "1,".repeat(1_000));
    let report = document::parse(&text).unwrap_err().report;
    assert_eq!(report.issues.len(), 200);
    assert_eq!(report.omitted, 1_000 + 3 - 200);
}

/// Returns the field names of a struct, which serde lists in the error for an
/// unknown field.
fn fields_of<T: de::DeserializeOwned>() -> Vec<String> {
    let value = serde_json::json!({"?": 0});
    let Err(error) = serde_json::from_value::<T>(value) else {
        panic!("an unknown field was accepted");
    };
    let text = error.to_string();
    text.split('`')
        .skip(3)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

fn assert_same_fields<T: de::DeserializeOwned>(fields: &[check::FieldSpec]) {
    let listed: Vec<_> = fields.iter().map(|field| field.name.to_owned()).collect();
    assert_eq!(listed, fields_of::<T>());
}

#[test]
fn schema_lists_the_fields_of_the_structs() {
    assert_same_fields::<document::ConfigDocument>(schema::DOCUMENT);
    assert_same_fields::<document::ModelSpec>(schema::MODEL);
    assert_same_fields::<document::PipelineSpec>(schema::PIPELINE);
    assert_same_fields::<document::UpstreamSpec>(schema::UPSTREAM);
    assert_same_fields::<document::ServiceSpec>(schema::SERVICE);
    assert_same_fields::<document::CallSpec>(schema::CALL);
    assert_same_fields::<document::OrganisationSpec>(schema::ORGANISATION);
    assert_same_fields::<document::LinkSpec>(schema::LINK);
    assert_same_fields::<settings::NodeSettings>(settings::NODE_SETTINGS);
    assert_same_fields::<settings::OperatorToken>(settings::OPERATOR_TOKEN);
}
