//! Limits that contradict each other.

use super::Finding;
use crate::{Catalog, Millis, Object, Workspace};

/// Returns all limits that another one makes ineffective.
pub(super) fn find(catalog: &Catalog) -> Vec<Finding> {
    let objects = catalog.objects();
    let workspaces = objects.iter().filter_map(|object| match object {
        Object::Workspace(workspace) => Some((object, workspace)),
        _ => None,
    });
    workspaces
        .flat_map(|(object, workspace)| {
            let longest = longest_request(catalog, workspace);
            let deadline = longest.and_then(|longest| ineffective_deadline(workspace, longest));
            let concurrent = longest.and_then(|longest| ineffective_limit(workspace, longest));
            let deadline = deadline.map(|message| Finding::new(object, "deadline", message));
            let concurrent =
                concurrent.map(|message| Finding::new(object, "limits.concurrent", message));
            deadline.into_iter().chain(concurrent)
        })
        .collect()
}

/// Longest time that a request of a workspace may take, as far as routes limit it. Requests
/// to models are limited by callers' deadlines only.
fn longest_request(catalog: &Catalog, workspace: &Workspace) -> Option<Millis> {
    if !workspace.models.is_empty() {
        return None;
    }
    let routes = workspace.routes.iter().filter_map(|name| catalog.route(name));
    routes.map(|route| route.timeout).max()
}

fn ineffective_deadline(workspace: &Workspace, longest: Millis) -> Option<String> {
    let deadline = workspace.deadline;
    (deadline > longest).then(|| {
        format!("{deadline} has no effect, the routes of the workspace time out after {longest}")
    })
}

/// As many requests as start in the longest time that one may take are the most that can
/// be in progress.
fn ineffective_limit(workspace: &Workspace, longest: Millis) -> Option<String> {
    let limits = &workspace.limits;
    let (rate, concurrent) = (limits.requests_per_second?, limits.concurrent?);
    let reached = u64::from(rate).saturating_mul(longest.0).div_ceil(1_000);
    (reached < u64::from(concurrent)).then(|| {
        format!(
            "{concurrent} is never reached, {rate} requests per second of at most {longest} are {reached} at once"
        )
    })
}
