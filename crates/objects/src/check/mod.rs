//! Findings in a catalog that may be published but probably isn't meant like this.

mod finding;
mod limits;
mod routing;
mod unused;

pub use finding::Finding;
pub use routing::{DeclaredRoute, DeclaredRouting, check_routing};

use crate::Catalog;

/// Returns entries that can never match or be used, and limits that contradict each other.
/// Errors are returned by [`validate_catalog`](crate::validate_catalog) instead.
pub fn check_catalog(catalog: &Catalog) -> Vec<Finding> {
    let mut findings = unused::find(catalog);
    findings.extend(limits::find(catalog));
    findings
}
