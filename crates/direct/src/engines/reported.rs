//! Reports of other entries on backend servers.

use std::rc::Rc;

use clementine_decide::ids::BackendId;
use clementine_decide::peers::{BackendHash, Condition, Sighting, SightingStep};
use tokio::task::spawn_local;

use super::diagnose::{check_recovery, mark_down};
use super::probe::connect_to_engine;
use crate::shared::SharedState;

/// Acts on the report of another entry.
pub(crate) fn apply_sighting(shared: &Rc<SharedState>, sighting: &Sighting, step: SightingStep) {
    let Some(id) = find_backend(shared, sighting.backend) else { return };
    match (sighting.condition, step) {
        (_, SightingStep::Ignore) => {}
        (Condition::Down, SightingStep::Verify) => {
            spawn_local(verify_down(Rc::clone(shared), id));
        }
        (Condition::Down, SightingStep::Accept) => {
            mark_down(shared, &id, "reported");
        }
        // The engine may have lost its layers, so its report is needed as well.
        (Condition::Up, SightingStep::Verify | SightingStep::Accept) => {
            let shared = Rc::clone(shared);
            spawn_local(async move { check_recovery(&shared, &id).await });
        }
    }
}

fn find_backend(shared: &SharedState, hash: BackendHash) -> Option<BackendId> {
    let fleet = shared.fleet.borrow();
    let found = fleet.iter().find(|member| member.id_hash == hash);
    found.map(|member| member.backend.id.clone())
}

/// Marks a server that one other entry has reported as down, unless it accepts a
/// connection.
async fn verify_down(shared: Rc<SharedState>, id: BackendId) {
    let address = match shared.fleet.borrow().get(&id) {
        Some(member) if !member.is_down() && !member.is_recently_alive(shared.now()) => {
            member.backend.address
        }
        _ => return,
    };
    if connect_to_engine(&shared, &id, address).await.is_err() {
        mark_down(&shared, &id, "reported-no-connection");
    }
}
