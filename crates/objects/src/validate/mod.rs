//! The check of a catalog as a whole.

mod coverage;
mod error;
mod references;
mod values;

pub use error::ValidationError;

use crate::Catalog;

/// Finds every fault of a catalog; an empty list means that it may be
/// published.
pub fn validate_catalog(catalog: &Catalog) -> Vec<ValidationError> {
    let mut faults = references::check(catalog);
    faults.extend(values::check(catalog));
    faults.extend(coverage::check(catalog));
    faults
}
