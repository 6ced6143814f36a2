//! The check of a catalog as a whole.

mod coverage;
mod fault;
mod references;
mod values;

pub use fault::Fault;

use crate::Catalog;

/// Finds every fault of a catalog; an empty list means that it may be
/// published.
pub fn check_catalog(catalog: &Catalog) -> Vec<Fault> {
    let mut faults = references::check(catalog);
    faults.extend(values::check(catalog));
    faults.extend(coverage::check(catalog));
    faults
}
