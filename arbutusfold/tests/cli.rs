//! Exit codes and output of commands that run without a fleet.

#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::path;
use std::process;

struct CommandRun {
    code: i32,
    out: String,
    err: String,
}

fn run(arguments: &[&str], input: &str) -> CommandRun {
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_arbutusfold"))
        .args(arguments)
        .env_remove("ARBUTUSFOLD_TOKEN")
        .env_remove("ARBUTUSFOLD_NODE")
        .stdin(process::Stdio::piped())
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped())
        .spawn()
        .unwrap();
    // A command that reads no input may exit first, which breaks the pipe.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    CommandRun {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn temp_file(name: &str, text: &str) -> path::PathBuf {
    let path = std::env::temp_dir().join(format!("arbutusfold-cli-{}-{name}", process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn wrong_command_lines_end_with_2() {
    for arguments in [&["nod"][..], &["config", "submit"], &["check"], &[]] {
        assert_eq!(run(arguments, "").code, 2, "{arguments:?}");
    }
}

#[test]
fn version_and_completion_are_printed() {
    let version = run(&["--version"], "");
    assert_eq!(version.code, 0);
    assert!(version.out.contains(env!("CARGO_PKG_VERSION")));
    let completion = run(&["--bpaf-complete-style-bash"], "");
    assert_eq!(completion.code, 0);
    assert!(completion.out.contains("arbutusfold"));
}

#[test]
fn check_prints_the_errors_of_every_file() {
    let valid = temp_file(
        "good.json",
        r#"{"models": [], "pipelines": [], "upstreams": [], "organisations": []}"#,
    );
    let invalid = temp_file("bad.json", r#"{"models": 1}"#);
    let settings = temp_file("settings.json", "{}");
    let (valid, invalid, settings) = (
        valid.to_str().unwrap(),
        invalid.to_str().unwrap(),
        settings.to_str().unwrap(),
    );
    assert_eq!(run(&["check", valid], "").code, 0);
    let output = run(&["check", "--settings", settings, valid, invalid], "");
    assert_eq!(output.code, 3);
    assert!(
        output
            .err
            .contains(&format!("{invalid}:1:12: models: found 1; allowed: a list"))
    );
    assert!(
        output
            .err
            .contains(&format!("{settings}:1:1: peer_keys: found nothing"))
    );
    assert!(!output.err.contains(valid));
}

#[test]
fn node_refuses_wrong_settings_at_start() {
    let settings = temp_file("node.json", r#"{"name": "entry-1"}"#);
    let output = run(&["node", settings.to_str().unwrap()], "");
    assert_eq!(output.code, 3);
    assert!(output.err.contains("platform: found nothing"));
}

#[test]
fn digest_reads_standard_input() {
    let printed = run(&["digest"], "abc\n");
    assert_eq!(printed.code, 0);
    assert_eq!(printed.out.trim().len(), 64);
    assert_eq!(printed.out, run(&["digest"], "abc").out);
}

#[test]
fn missing_token_and_unreachable_node_have_exit_codes() {
    let status = ["config", "status", "--node", "127.0.0.1:1"];
    assert_eq!(run(&status, "").code, 7);
    let token = temp_file("token", "secret\n");
    let with_token = [&status[..], &["--token-file", token.to_str().unwrap()]].concat();
    assert_eq!(run(&with_token, "").code, 5);
}

const REVIEWED: &str = r#"{"version":7,"routes":[{"name":"get","hostname":"desk.example","prefix":"/",
    "type":"idempotent","service":"plain"}],"services":[{"name":"plain"}],
    "tenants":[{"name":"desk","apiKeys":["secret"]}]}"#;

#[test]
fn review_of_a_sound_document_ends_with_0() {
    let sound = temp_file("review-sound.json", REVIEWED);
    let output = run(&["review", sound.to_str().unwrap()], "");
    assert_eq!((output.code, &*output.err), (0, ""));
    assert_eq!(output.out, "errors: 0, warnings: 0, differences: 0\n");
    let warned = REVIEWED.replace("desk.example", "desk.example:80");
    let warned = temp_file("review-warned.json", &warned);
    let output = run(&["review", warned.to_str().unwrap()], "");
    assert_eq!(output.code, 0);
    assert!(output.out.contains("routes[0]: warning[host_with_port]: "));
}

#[test]
fn review_with_errors_ends_with_3_and_names_them() {
    let wrong = REVIEWED.replace(r#""service":"plain""#, r#""service":"plian""#);
    let wrong = temp_file("review-wrong.json", &wrong);
    let wrong = wrong.to_str().unwrap();
    let output = run(&["review", wrong], "");
    assert_eq!(output.code, 3);
    assert_eq!(
        output.out,
        "routes[0].services[0]: error[service_unknown]: there is no service \"plian\"\n\
         services[0]: warning[service_unused]: no route names service \"plain\"\n\
         errors: 1, warnings: 1, differences: 0\n"
    );
    assert_eq!(output.err, format!("{wrong}: errors: 1\n"));
}

#[test]
fn review_compares_with_the_document_in_force_and_prints_json() {
    let in_force = temp_file("review-old.json", REVIEWED);
    let changed = REVIEWED.replace(r#""version":7"#, r#""version":8"#);
    let changed = changed.replace("secret", "hidden");
    let changed = temp_file("review-new.json", &changed);
    let (in_force, changed) = (in_force.to_str().unwrap(), changed.to_str().unwrap());
    let output = run(&["review", "--json", "--in-force", in_force, changed], "");
    assert_eq!((output.code, &*output.err), (0, ""));
    let printed: serde_json::Value = serde_json::from_str(&output.out).unwrap();
    let expected = serde_json::json!({
        "version": 8, "in_force": 7, "errors": 0, "warnings": 0, "differences": 1, "omitted": 0,
        "findings": [{ "place": "organisations[0]", "severity": "difference", "code": "keys_changed",
            "message": "organisation \"desk\": 1 keys added, 1 removed" }],
    });
    assert_eq!(printed, expected);
    let behind = run(&["review", "--in-force", changed, in_force], "");
    assert_eq!(behind.code, 3);
    assert!(behind.out.contains("version: error[version_not_higher]: "));
    assert!(!behind.out.contains("secret") && !behind.out.contains("hidden"));
}

#[test]
fn review_of_garbage_ends_with_3() {
    let directory = std::env::temp_dir();
    let garbage = directory.join(format!("arbutusfold-cli-{}-garbage", process::id()));
    std::fs::write(&garbage, b"\xff\x00{[").unwrap();
    let garbage = garbage.to_str().unwrap();
    let output = run(&["review", "--json", garbage], "");
    assert_eq!(output.code, 3);
    let printed: serde_json::Value = serde_json::from_str(&output.out).unwrap();
    assert_eq!(printed["version"], serde_json::Value::Null);
    assert_eq!(printed["findings"][0]["code"], "refused");
    let endless = run(&["review", "/dev/zero"], "");
    assert_eq!(endless.code, 3);
    assert!(endless.out.contains("document: error[too_long]: "));
}

#[test]
fn review_without_a_readable_file_ends_with_1_or_2() {
    assert_eq!(run(&["review", "/nowhere/document.json"], "").code, 1);
    assert_eq!(run(&["review", "/"], "").code, 1);
    assert_eq!(run(&["review"], "").code, 2);
    assert_eq!(run(&["review", "--in-force"], "").code, 2);
}
