//! Changes of the configuration.

use std::collections::BTreeSet;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{Catalog, CatalogDigest};
use crate::{ChangeId, Object, ObjectRef, Revision};

/// Objects to store and to delete in one step.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Change {
    /// Objects to store, in place of those of the same kind and name.
    #[serde(default)]
    pub puts: Vec<Object>,
    /// Objects to delete.
    #[serde(default)]
    pub deletes: Vec<ObjectRef>,
}

/// A published change as the history keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision that the change produced.
    pub revision: Revision,
    /// Identity of the change.
    pub id: ChangeId,
    /// Who made the change, as the operator gave it.
    pub author: CompactString,
    /// Time of publication by the publisher's clock, in ms since 1970.
    pub published_unix_ms: u64,
    /// Digest of the catalog after the change.
    pub digest: CatalogDigest,
    /// What was changed.
    pub change: Change,
}

/// An object that a rival change has touched since the base revision.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display(
    "{object} was changed by {author} in revision {revision}, after the revision this change starts from"
))]
pub struct ChangeConflict {
    /// The object that both changes touch.
    pub object: ObjectRef,
    /// Author of the rival change.
    pub author: CompactString,
    /// Revision of the rival change.
    pub revision: Revision,
}

impl Change {
    /// The objects that the change stores or deletes.
    pub fn affected_objects(&self) -> BTreeSet<ObjectRef> {
        let stored = self.puts.iter().map(Object::reference);
        stored.chain(self.deletes.iter().cloned()).collect()
    }

    /// Whether the change does nothing to a catalog.
    pub fn is_noop_on(&self, catalog: &Catalog) -> bool {
        catalog.with_change(self) == *catalog
    }

    /// The change that turns one catalog into another.
    pub fn between(from: &Catalog, to: &Catalog) -> Self {
        let current = |object: &Object| from.object(object.kind(), object.name());
        let puts: Vec<_> = to
            .objects()
            .into_iter()
            .filter(|object| current(object).as_ref() != Some(object))
            .collect();
        let gone = |object: &Object| to.object(object.kind(), object.name()).is_none();
        let deletes =
            from.objects().iter().filter(|object| gone(object)).map(Object::reference).collect();
        Self { puts, deletes }
    }

    /// Finds the first object that a rival change has touched too.
    pub fn conflict_with(&self, rivals: &[ChangeRecord]) -> Option<ChangeConflict> {
        let touched = self.affected_objects();
        rivals.iter().find_map(|rival| {
            let object = rival
                .change
                .affected_objects()
                .into_iter()
                .find(|object| touched.contains(object))?;
            Some(ChangeConflict { object, author: rival.author.clone(), revision: rival.revision })
        })
    }
}
