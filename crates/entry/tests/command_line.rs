//! The entry's command line, run as a program.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_clementine-entry"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("started");
    // A program that doesn't read its input may be gone already.
    let _ = child.stdin.take().expect("an input").write_all(input.as_bytes());
    child.wait_with_output().expect("ended")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn the_version_names_the_commit() {
    let output = run(&["--version"], "");
    assert!(output.status.success());
    let text = out(&output);
    let commit = text.split(['(', ')']).nth(1).expect("a commit in brackets");
    assert!(commit == "unknown commit" || commit.len() == 12, "{text}");
}

#[test]
fn completions_name_the_subcommands() {
    let output = run(&["completions", "bash"], "");
    assert!(output.status.success());
    for name in ["direct", "check", "explain"] {
        assert!(out(&output).contains(name), "{name}");
    }
}

#[test]
fn a_request_is_explained_from_standard_input() {
    let log = "[2026-12-04 02:00:29.600] [info] stream: id=a1 route=r outcome=complete runs=1\n\
               [2026-12-04 02:00:29.700] [info] stream: id=b2 route=r outcome=complete runs=1\n";
    let output = run(&["explain", "a1"], log);
    assert!(output.status.success());
    assert!(out(&output).contains("id=a1") && !out(&output).contains("id=b2"));
}

#[test]
fn a_request_that_no_line_names_fails_with_1() {
    let output = run(&["explain", "a1"], "");
    assert_eq!(output.status.code(), Some(1));
    assert!(errors(&output).contains("no line names request a1"));
}

#[test]
fn a_flag_that_does_not_exist_fails_with_2() {
    assert_eq!(run(&["direct", "--no-such-flag"], "").status.code(), Some(2));
}

#[test]
fn checking_a_file_tells_all_faults() {
    let path = std::env::temp_dir().join(format!("clementine-check-{}", std::process::id()));
    std::fs::write(&path, "role=front\n").expect("written");
    let output = run(&["check", &path.to_string_lossy()], "");
    std::fs::remove_file(&path).expect("removed");
    assert_eq!(output.status.code(), Some(1));
    assert!(errors(&output).lines().count() > 2, "{}", errors(&output));
}
