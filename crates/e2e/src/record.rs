//! The order service's record of what ran.

use std::path::{Path, PathBuf};

use serde_json::Value;

/// A record file of the order service, removed when dropped.
#[derive(Debug)]
pub struct RecordFile {
    path: PathBuf,
}

impl RecordFile {
    /// A fresh file for a test.
    pub fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("clementine-{}-{test}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        Self { path }
    }

    /// Path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// How often the operation of a key ran.
    pub fn run_count(&self, key: &str) -> usize {
        self.keys().iter().filter(|ran| *ran == key).count()
    }

    /// Keys of all operations, in the order in which they ran.
    pub fn keys(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.path).unwrap_or_default();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter_map(|line| line["key"].as_str().map(str::to_owned)).collect()
    }
}

impl Drop for RecordFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
