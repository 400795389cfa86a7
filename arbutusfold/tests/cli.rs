//! Exit codes and output of the commands that need no fleet.

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
    // A command that reads no input may have ended.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    CommandRun {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn file(name: &str, text: &str) -> path::PathBuf {
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
    let good = file(
        "good.json",
        r#"{"models": [], "pipelines": [], "upstreams": [], "organisations": []}"#,
    );
    let bad = file("bad.json", r#"{"models": 1}"#);
    let settings = file("settings.json", "{}");
    let (good, bad, settings) = (
        good.to_str().unwrap(),
        bad.to_str().unwrap(),
        settings.to_str().unwrap(),
    );
    assert_eq!(run(&["check", good], "").code, 0);
    let refused = run(&["check", "--settings", settings, good, bad], "");
    assert_eq!(refused.code, 3);
    assert!(
        refused
            .err
            .contains(&format!("{bad}:1:12: models: found 1; allowed: a list"))
    );
    assert!(
        refused
            .err
            .contains(&format!("{settings}:1:1: peer_keys: found nothing"))
    );
    assert!(!refused.err.contains(good));
}

#[test]
fn node_refuses_wrong_settings_at_start() {
    let settings = file("node.json", r#"{"name": "entry-1"}"#);
    let refused = run(&["node", settings.to_str().unwrap()], "");
    assert_eq!(refused.code, 3);
    assert!(refused.err.contains("platform: found nothing"));
}

#[test]
fn digest_reads_standard_input() {
    let printed = run(&["digest"], "abc\n");
    assert_eq!(printed.code, 0);
    assert_eq!(printed.out.trim().len(), 64);
    assert_eq!(printed.out, run(&["digest"], "abc").out);
}

#[test]
fn missing_token_and_missing_node_have_codes() {
    let status = ["config", "status", "--node", "127.0.0.1:1"];
    assert_eq!(run(&status, "").code, 7);
    let token = file("token", "secret\n");
    let with_token = [&status[..], &["--token-file", token.to_str().unwrap()]].concat();
    assert_eq!(run(&with_token, "").code, 5);
}
