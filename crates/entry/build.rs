//! Passes the commit hash to the program as `CLEMENTINE_COMMIT`.

use std::path::Path;
use std::process::Command;

/// Reflog of `HEAD`, which changes with every commit and checkout.
const HEAD_LOG: &str = "../../.git/logs/HEAD";

fn main() {
    let commit = commit().unwrap_or_else(|| "unknown commit".to_owned());
    println!("cargo::rustc-env=CLEMENTINE_COMMIT={commit}");
    if Path::new(HEAD_LOG).exists() {
        println!("cargo::rerun-if-changed={HEAD_LOG}");
    }
}

/// Returns the abbreviated commit hash, or `None` outside a repository or without
/// git.
fn commit() -> Option<String> {
    let output = Command::new("git").args(["rev-parse", "--short=12", "HEAD"]).output().ok()?;
    let name = String::from_utf8(output.stdout).ok()?;
    (output.status.success() && !name.trim().is_empty()).then(|| name.trim().to_owned())
}
