//! Reading objects from YAML files.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

use clementine_objects::{Catalog, Finding, Object, ObjectRef, ValidationError};
use serde::Deserialize;
use serde_yaml_ng::{Deserializer, Value};
use snafu::ResultExt;

use crate::error::{CliError, IoSnafu};

/// Objects read from files, and the file that contains each of them.
#[derive(Debug, Default)]
pub(crate) struct DeclaredObjects {
    /// The objects, in the order in which they were read.
    pub(crate) objects: Vec<Object>,
    files: BTreeMap<ObjectRef, PathBuf>,
}

impl DeclaredObjects {
    /// Reads all documents of all files; `-` is standard input.
    ///
    /// Errors in documents are collected and returned together.
    pub(crate) fn read(paths: &[PathBuf]) -> Result<Self, CliError> {
        let mut declared = Self::default();
        let mut errors = Vec::new();
        for path in paths {
            let text = read_text(path)?;
            for (index, document) in Deserializer::from_str(&text).enumerate() {
                if let Err(message) = declared.add_document(path, document) {
                    errors.push(format!("{}: document {}: {message}", path.display(), index + 1));
                }
            }
        }
        if errors.is_empty() { Ok(declared) } else { Err(CliError::Invalid { errors }) }
    }

    /// Formats a validation error, prefixed with the file that contains its object,
    /// if any.
    pub(crate) fn with_file(&self, error: &ValidationError) -> String {
        self.prefix(&error.object, error)
    }

    /// Formats a finding, prefixed with the file that contains its object, if any.
    pub(crate) fn finding_with_file(&self, finding: &Finding) -> String {
        self.prefix(&finding.object, finding)
    }

    /// Builds a catalog of the objects.
    pub(crate) fn catalog(&self) -> Catalog {
        let mut catalog = Catalog::default();
        self.objects.iter().cloned().for_each(|object| catalog.put(object));
        catalog
    }

    fn prefix(&self, object: &ObjectRef, text: &impl fmt::Display) -> String {
        match self.files.get(object) {
            Some(path) => format!("{}: {text}", path.display()),
            None => text.to_string(),
        }
    }

    /// Parses a document and adds its object. Empty documents are skipped.
    fn add_document(&mut self, path: &Path, document: Deserializer<'_>) -> Result<(), String> {
        let value = Value::deserialize(document).map_err(|error| error.to_string())?;
        if value.is_null() {
            return Ok(());
        }
        let label = document_label(&value);
        let object: Object =
            serde_yaml_ng::from_value(value).map_err(|error| format!("{label}: {error}"))?;
        let reference = object.reference();
        if let Some(other) = self.files.get(&reference) {
            return Err(format!("{reference} is already defined in {}", other.display()));
        }
        self.files.insert(reference, path.to_owned());
        self.objects.push(object);
        Ok(())
    }
}

/// Reads a file; `-` is standard input.
pub(crate) fn read_text(path: &Path) -> Result<String, CliError> {
    if path == Path::new("-") {
        return std::io::read_to_string(std::io::stdin()).context(IoSnafu { path });
    }
    std::fs::read_to_string(path).context(IoSnafu { path })
}

/// Returns the kind and name in a document that may be invalid, for error
/// messages; `?` stands for a missing one.
fn document_label(value: &Value) -> String {
    let text = |field: &str| value.get(field).and_then(Value::as_str).unwrap_or("?").to_owned();
    format!("{} `{}`", text("kind"), text("name"))
}
