//! Tests of the command line, run against the built program.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_clementine-entry"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the program");
    // The write fails if the program exits without reading its input.
    let _ = child.stdin.take().expect("stdin is piped").write_all(input.as_bytes());
    child.wait_with_output().expect("failed to wait for the program")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn version_contains_the_commit() {
    let output = run(&["--version"], "");
    assert!(output.status.success());
    let text = stdout(&output);
    let commit = text.split(['(', ')']).nth(1).expect("no commit in parentheses");
    assert!(commit == "unknown commit" || commit.len() == 12, "{text}");
}

#[test]
fn completions_contain_the_subcommands() {
    let output = run(&["completions", "bash"], "");
    assert!(output.status.success());
    for name in ["direct", "check", "explain"] {
        assert!(stdout(&output).contains(name), "{name}");
    }
}

#[test]
fn explain_reads_standard_input() {
    let log = "[2026-12-04 02:00:29.600] [info] stream: id=a1 route=r outcome=complete runs=1\n\
               [2026-12-04 02:00:29.700] [info] stream: id=b2 route=r outcome=complete runs=1\n";
    let output = run(&["explain", "a1"], log);
    assert!(output.status.success());
    assert!(stdout(&output).contains("id=a1") && !stdout(&output).contains("id=b2"));
}

#[test]
fn explain_of_an_unknown_request_exits_with_1() {
    let output = run(&["explain", "a1"], "");
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("no line names request a1"));
}

#[test]
fn unknown_flag_exits_with_2() {
    assert_eq!(run(&["direct", "--no-such-flag"], "").status.code(), Some(2));
}

/// Guards against a mistyped value that leaves the setting at its default.
#[test]
fn unknown_prefix_affinity_is_an_error_that_names_the_values() {
    let output = run(&["direct", "--prefix-affinity=of"], "");
    assert_eq!(output.status.code(), Some(1));
    let text = stderr(&output);
    assert!(text.contains("prefix-affinity"), "{text}");
    assert!(text.contains("`of` is neither `on` nor `off`"), "{text}");
}

#[test]
fn check_reports_all_errors_of_a_file() {
    let path = std::env::temp_dir().join(format!("clementine-check-{}", std::process::id()));
    std::fs::write(&path, "role=front\n").expect("failed to write the settings file");
    let output = run(&["check", &path.to_string_lossy()], "");
    std::fs::remove_file(&path).expect("failed to remove the settings file");
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).lines().count() > 2, "{}", stderr(&output));
}
