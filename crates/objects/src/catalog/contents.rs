//! The catalog of declared objects.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::{CatalogDigest, Change};
use crate::{
    Model, ModelName, Object, ObjectKind, Pool, PoolName, Priority, PriorityName, Route, RouteName,
    Workspace, WorkspaceName,
};

/// All declared objects at one revision, by kind and name.
///
/// Invariant: each object is stored under its own name.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Catalog {
    pools: BTreeMap<PoolName, Pool>,
    routes: BTreeMap<RouteName, Route>,
    models: BTreeMap<ModelName, Model>,
    workspaces: BTreeMap<WorkspaceName, Workspace>,
    priorities: BTreeMap<PriorityName, Priority>,
}

impl Catalog {
    /// Stores an object, replacing one of the same kind and name.
    pub fn put(&mut self, object: Object) {
        match object {
            Object::Pool(pool) => drop(self.pools.insert(pool.name.clone(), pool)),
            Object::Route(route) => drop(self.routes.insert(route.name.clone(), route)),
            Object::Model(model) => drop(self.models.insert(model.name.clone(), model)),
            Object::Workspace(workspace) => {
                drop(self.workspaces.insert(workspace.name.clone(), workspace));
            }
            Object::Priority(priority) => {
                drop(self.priorities.insert(priority.name.clone(), priority));
            }
        }
    }

    /// Removes an object and returns whether it existed.
    pub fn remove(&mut self, kind: ObjectKind, name: &str) -> bool {
        match kind {
            ObjectKind::Pool => remove_named(&mut self.pools, name),
            ObjectKind::Route => remove_named(&mut self.routes, name),
            ObjectKind::Model => remove_named(&mut self.models, name),
            ObjectKind::Workspace => remove_named(&mut self.workspaces, name),
            ObjectKind::Priority => remove_named(&mut self.priorities, name),
        }
    }

    /// Returns a copy of the catalog with a change applied.
    #[must_use]
    pub fn with_change(&self, change: &Change) -> Self {
        let mut next = self.clone();
        next.apply(change);
        next
    }

    /// Applies a change in place: deletes objects first, then stores objects.
    pub fn apply(&mut self, change: &Change) {
        for deleted in &change.deletes {
            self.remove(deleted.kind, &deleted.name);
        }
        for object in &change.puts {
            self.put(object.clone());
        }
    }

    /// Returns all objects, grouped by kind and sorted by name.
    pub fn objects(&self) -> Vec<Object> {
        let pools = self.pools.values().cloned().map(Object::Pool);
        let routes = self.routes.values().cloned().map(Object::Route);
        let models = self.models.values().cloned().map(Object::Model);
        let workspaces = self.workspaces.values().cloned().map(Object::Workspace);
        let priorities = self.priorities.values().cloned().map(Object::Priority);
        pools.chain(routes).chain(models).chain(workspaces).chain(priorities).collect()
    }

    /// Looks up an object by kind and name.
    pub fn object(&self, kind: ObjectKind, name: &str) -> Option<Object> {
        match kind {
            ObjectKind::Pool => self.pool(&name.parse().ok()?).cloned().map(Object::Pool),
            ObjectKind::Route => self.route(&name.parse().ok()?).cloned().map(Object::Route),
            ObjectKind::Model => self.model(&name.parse().ok()?).cloned().map(Object::Model),
            ObjectKind::Workspace => {
                self.workspace(&name.parse().ok()?).cloned().map(Object::Workspace)
            }
            ObjectKind::Priority => {
                self.priority(&name.parse().ok()?).cloned().map(Object::Priority)
            }
        }
    }

    /// Returns the sorted names of all objects of a kind.
    pub fn names(&self, kind: ObjectKind) -> Vec<CompactString> {
        match kind {
            ObjectKind::Pool => self.pools.keys().map(|name| name.as_str().into()).collect(),
            ObjectKind::Route => self.routes.keys().map(|name| name.as_str().into()).collect(),
            ObjectKind::Model => self.models.keys().map(|name| name.as_str().into()).collect(),
            ObjectKind::Workspace => {
                self.workspaces.keys().map(|name| name.as_str().into()).collect()
            }
            ObjectKind::Priority => {
                self.priorities.keys().map(|name| name.as_str().into()).collect()
            }
        }
    }

    /// Looks up a pool by name.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.get(name)
    }

    /// Looks up a route by name.
    pub fn route(&self, name: &RouteName) -> Option<&Route> {
        self.routes.get(name)
    }

    /// Looks up a model by name.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.get(name)
    }

    /// Looks up a workspace by name.
    pub fn workspace(&self, name: &WorkspaceName) -> Option<&Workspace> {
        self.workspaces.get(name)
    }

    /// Looks up a priority by name.
    pub fn priority(&self, name: &PriorityName) -> Option<&Priority> {
        self.priorities.get(name)
    }

    /// Iterates over all workspaces, sorted by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.values()
    }

    /// Returns the matching route with the longest path prefix.
    pub fn route_for_path(&self, path: &str) -> Option<&Route> {
        let matching = self.routes.values().filter(|route| route.matches(path));
        matching.max_by_key(|route| route.path.len())
    }

    /// Computes the digest of the catalog's canonical JSON encoding.
    ///
    /// # Panics
    ///
    /// Never: every catalog can be encoded as JSON.
    pub fn digest(&self) -> CatalogDigest {
        let canonical = serde_json::to_vec(self).expect("catalog is encodable as JSON");
        CatalogDigest(xxh3_128(&canonical))
    }
}

fn remove_named<K: Ord + std::str::FromStr, V>(objects: &mut BTreeMap<K, V>, name: &str) -> bool {
    name.parse().is_ok_and(|name: K| objects.remove(&name).is_some())
}
