//! The file in which the order service records the operations that it ran.

use std::path::{Path, PathBuf};

use serde_json::Value;

/// Record file of the order service; deleted on drop.
#[derive(Debug)]
pub struct RecordFile {
    path: PathBuf,
}

impl RecordFile {
    /// Chooses the path of the record file of a test and deletes any existing file.
    pub fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("clementine-{}-{test}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        Self { path }
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns how many times the operation with this idempotency key ran.
    pub fn run_count(&self, key: &str) -> usize {
        self.keys().iter().filter(|recorded| *recorded == key).count()
    }

    /// Returns the idempotency keys of all operations that ran, in execution order.
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
