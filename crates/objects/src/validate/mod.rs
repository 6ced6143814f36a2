//! Validation of a catalog, including references between objects.

mod coverage;
mod error;
mod references;
mod values;

pub use error::ValidationError;

use crate::Catalog;

/// Returns all validation errors of a catalog; it may be published only if the
/// list is empty.
pub fn validate_catalog(catalog: &Catalog) -> Vec<ValidationError> {
    let mut errors = references::validate(catalog);
    errors.extend(values::validate(catalog));
    errors.extend(coverage::validate(catalog));
    errors
}
