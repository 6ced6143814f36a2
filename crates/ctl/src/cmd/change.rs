//! Validating, printing and publishing changes, shared by `apply` and `delete`.

use clementine_objects::{Catalog, Change, Revision, validate_catalog};

use crate::error::CliError;
use crate::files::DeclaredObjects;
use crate::server::{ChangeOutcome, ServerClient};

/// Validates the catalog that would result from a change. Reports all validation
/// errors, with the file of each object.
pub(super) fn validate(
    catalog: &Catalog,
    change: &Change,
    declared: &DeclaredObjects,
) -> Result<(), CliError> {
    let errors = validate_catalog(&catalog.with_change(change));
    if errors.is_empty() {
        return Ok(());
    }
    Err(CliError::Invalid {
        errors: errors.iter().map(|error| declared.with_file(error)).collect(),
    })
}

/// Publishes a change and prints the result.
pub(super) async fn publish(
    client: &ServerClient,
    base: Revision,
    author: &str,
    change: &Change,
    declared: &DeclaredObjects,
) -> Result<(), CliError> {
    match client.publish(base, author, change).await? {
        ChangeOutcome::Accepted(revision) => println!("accepted as revision {revision}"),
        ChangeOutcome::NoChange => println!("no changes"),
        ChangeOutcome::Invalid(errors) => {
            let errors = errors.iter().map(|error| declared.with_file(error)).collect();
            return Err(CliError::Invalid { errors });
        }
    }
    Ok(())
}

/// Prints the objects that a change adds (`+`), updates (`~`) and deletes (`-`).
pub(super) fn print_summary(catalog: &Catalog, change: &Change) {
    for object in &change.puts {
        let reference = object.reference();
        let exists = catalog.object(reference.kind, &reference.name).is_some();
        println!("{} {reference}", if exists { "~" } else { "+" });
    }
    for reference in &change.deletes {
        println!("- {reference}");
    }
}
