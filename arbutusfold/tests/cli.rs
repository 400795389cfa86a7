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
