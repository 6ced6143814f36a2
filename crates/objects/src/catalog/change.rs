//! Configuration changes.

use std::collections::BTreeSet;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{Catalog, CatalogDigest};
use crate::{ChangeId, Object, ObjectRef, Revision};

/// A set of objects to store and to delete atomically.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Change {
    /// Objects to store; each replaces an object of the same kind and name.
    #[serde(default)]
    pub puts: Vec<Object>,
    /// Objects to delete.
    #[serde(default)]
    pub deletes: Vec<ObjectRef>,
}

/// A published change as stored in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision that the change produced.
    pub revision: Revision,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Author of the change, as given by the operator.
    pub author: CompactString,
    /// Publication time by the publisher's clock, in ms since the Unix epoch.
    pub published_unix_ms: u64,
    /// Digest of the catalog after the change.
    pub digest: CatalogDigest,
    /// The change itself.
    pub change: Change,
}

/// An object that a concurrent change has modified since the base revision.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display(
    "{object} was changed by {author} in revision {revision}, after the base revision of this change"
))]
pub struct ChangeConflict {
    /// The object that both changes modify.
    pub object: ObjectRef,
    /// Author of the concurrent change.
    pub author: CompactString,
    /// Revision of the concurrent change.
    pub revision: Revision,
}

impl Change {
    /// Returns the objects that the change stores or deletes.
    pub fn affected_objects(&self) -> BTreeSet<ObjectRef> {
        let stored = self.puts.iter().map(Object::reference);
        stored.chain(self.deletes.iter().cloned()).collect()
    }

    /// Returns whether applying the change leaves a catalog as it is.
    pub fn is_noop_on(&self, catalog: &Catalog) -> bool {
        catalog.with_change(self) == *catalog
    }

    /// Computes the change that turns one catalog into another.
    pub fn between(from: &Catalog, to: &Catalog) -> Self {
        let current = |object: &Object| from.object(object.kind(), object.name());
        let puts: Vec<_> = to
            .objects()
            .into_iter()
            .filter(|object| current(object).as_ref() != Some(object))
            .collect();
        let removed = |object: &Object| to.object(object.kind(), object.name()).is_none();
        let deletes =
            from.objects().iter().filter(|object| removed(object)).map(Object::reference).collect();
        Self { puts, deletes }
    }

    /// Finds the first object that one of the concurrent changes modifies too.
    pub fn conflict_with(&self, concurrent: &[ChangeRecord]) -> Option<ChangeConflict> {
        let affected = self.affected_objects();
        concurrent.iter().find_map(|other| {
            let object = other
                .change
                .affected_objects()
                .into_iter()
                .find(|object| affected.contains(object))?;
            Some(ChangeConflict { object, author: other.author.clone(), revision: other.revision })
        })
    }
}
