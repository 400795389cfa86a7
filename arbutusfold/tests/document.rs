//! A document is checked whole, and each error says where and what is allowed.

#![allow(clippy::unwrap_used)]

use arbutusfold::{check, document, schema, settings};
use serde::de;

fn good() -> String {
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

fn refusal(text: &str) -> String {
    document::parse(text).unwrap_err().to_string()
}

#[test]
fn good_document_is_taken() {
    let document = document::parse(&good()).unwrap();
    assert_eq!(document.upstreams.len(), 3);
    assert_eq!(document.pipelines[0].replicas, 1);
}

#[test]
fn fields_of_the_wrong_shape_are_all_named() {
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
    insta::assert_snapshot!(refusal(text));
}

#[test]
fn references_that_do_not_hold_are_all_named() {
    let text = good()
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
    insta::assert_snapshot!(refusal(&text));
}

#[test]
fn pipeline_without_room_for_its_layers_is_refused() {
    let text = good().replace(
        r#""upstreams": ["left", "right"]"#,
        r#""upstreams": ["left", "right"], "replicas": 2"#,
    );
    insta::assert_snapshot!(refusal(&text));
}

#[test]
fn broken_syntax_is_placed() {
    let text = good().replace(r#""pipelines": ["#, r#""pipelines" ["#);
    insta::assert_snapshot!(refusal(&text));
    insta::assert_snapshot!(refusal(""));
    insta::assert_snapshot!(refusal(&"[".repeat(100_000)));
}

#[test]
fn long_lists_of_errors_are_cut() {
    let text = format!(r#"{{"models": [{}]}}"#, "1,".repeat(1_000));
    let report = document::parse(&text).unwrap_err().report;
    assert_eq!(report.issues.len(), 200);
    assert_eq!(report.omitted, 1_000 + 3 - 200);
}

/// Names the fields of a struct, by the error for an unknown one.
fn fields_of<T: de::DeserializeOwned>() -> Vec<String> {
    let value = serde_json::json!({"?": 0});
    let Err(error) = serde_json::from_value::<T>(value) else {
        panic!("an unknown field was taken");
    };
    let text = error.to_string();
    text.split('`')
        .skip(3)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

fn assert_same<T: de::DeserializeOwned>(fields: &[check::FieldSpec]) {
    let listed: Vec<_> = fields.iter().map(|field| field.name.to_owned()).collect();
    assert_eq!(listed, fields_of::<T>());
}

#[test]
fn schema_lists_the_fields_of_the_structs() {
    assert_same::<document::ConfigDocument>(schema::DOCUMENT);
    assert_same::<document::ModelSpec>(schema::MODEL);
    assert_same::<document::PipelineSpec>(schema::PIPELINE);
    assert_same::<document::UpstreamSpec>(schema::UPSTREAM);
    assert_same::<document::ServiceSpec>(schema::SERVICE);
    assert_same::<document::CallSpec>(schema::CALL);
    assert_same::<document::OrganisationSpec>(schema::ORGANISATION);
    assert_same::<document::LinkSpec>(schema::LINK);
    assert_same::<settings::NodeSettings>(settings::NODE_SETTINGS);
    assert_same::<settings::OperatorToken>(settings::OPERATOR_TOKEN);
}
