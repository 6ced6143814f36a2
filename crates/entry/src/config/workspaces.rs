//! Lookup of workspaces by bearer token.

use std::collections::HashMap;
use std::rc::Rc;

use clementine_objects::{Revision, Snapshot, TokenDigest, Workspace};

use crate::entry::Entry;

/// Index of workspaces by the digest of their bearer tokens, for one
/// configuration revision.
#[derive(Debug, Default)]
pub(crate) struct WorkspaceIndex {
    revision: Revision,
    by_token: HashMap<TokenDigest, Rc<Workspace>>,
}

impl WorkspaceIndex {
    fn build(snapshot: &Snapshot) -> Self {
        let mut by_token = HashMap::new();
        for workspace in snapshot.catalog.workspaces() {
            let workspace = Rc::new(workspace.clone());
            for token in &workspace.token_sha256 {
                by_token.insert(*token, Rc::clone(&workspace));
            }
        }
        Self { revision: snapshot.revision, by_token }
    }
}

impl Entry {
    /// Returns the workspace of a bearer token. Rebuilds the index if the
    /// configuration has changed.
    pub(crate) fn workspace_by_token(&self, token: &TokenDigest) -> Option<Rc<Workspace>> {
        let current = self.config.borrow().revision();
        if self.workspace_index.borrow().revision != current {
            *self.workspace_index.borrow_mut() = WorkspaceIndex::build(&self.snapshot());
        }
        self.workspace_index.borrow().by_token.get(token).cloned()
    }
}
