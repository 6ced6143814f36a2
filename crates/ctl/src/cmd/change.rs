//! What the commands that change objects share.

use clementine_objects::{Catalog, Change, Revision, validate_catalog};

use crate::error::CliError;
use crate::files::DeclaredObjects;
use crate::server::{ChangeOutcome, ServerClient};

/// Checks a change against a catalog; reports all faults with their files.
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

/// Publishes a change and says what became of it.
pub(super) async fn publish(
    client: &ServerClient,
    base: Revision,
    author: &str,
    change: &Change,
    declared: &DeclaredObjects,
) -> Result<(), CliError> {
    match client.publish(base, author, change).await? {
        ChangeOutcome::Accepted(revision) => println!("accepted as revision {revision}"),
        ChangeOutcome::NoChange => println!("nothing to change"),
        ChangeOutcome::Invalid(errors) => {
            let errors = errors.iter().map(|error| declared.with_file(error)).collect();
            return Err(CliError::Invalid { errors });
        }
    }
    Ok(())
}

/// Lists the objects that a change stores and deletes.
pub(super) fn print_summary(catalog: &Catalog, change: &Change) {
    for object in &change.puts {
        let reference = object.reference();
        let known = catalog.object(reference.kind, &reference.name).is_some();
        println!("{} {reference}", if known { "~" } else { "+" });
    }
    for reference in &change.deletes {
        println!("- {reference}");
    }
}
