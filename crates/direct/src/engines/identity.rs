//! Servers at whose address another server may listen by now.

use std::rc::Rc;

use clementine_decide::fleet::Member;
use clementine_decide::ids::BackendId;
use spdlog::info;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::calls::HealthResponse;
use super::diagnose::mark_down;
use super::health::{HEALTH_CHECK_INTERVAL, health_response};
use crate::shared::SharedState;

/// Records that another server answered at the address of `id`: it is gone, unless it
/// answers under its own id later.
pub(crate) fn doubt_identity(shared: &Rc<SharedState>, id: &BackendId) {
    let changed = shared.fleet.borrow_mut().doubt_identity(id);
    if !changed {
        return;
    }
    info!("fleet: backend={} gone, another server answers at its address", id);
    if shared.has_layers(id) {
        mark_down(shared, id, "other-server");
    }
    spawn_local(confirm_identity(Rc::clone(shared), id.clone()));
}

/// Excludes the servers that are listed at the address of `id` and started before it, or
/// `id` if one there started later.
pub(crate) fn doubt_former_owners(shared: &Rc<SharedState>, id: &BackendId) {
    let doubted = shared.fleet.borrow_mut().doubt_former_owners(id);
    for former in doubted {
        info!("fleet: backend={} down reason=address-listed-again", former);
        spawn_local(confirm_identity(Rc::clone(shared), former));
    }
}

/// Waits until a backend server whose identity is in doubt responds to a health check
/// under its own id, and then uses it.
pub(crate) async fn confirm_identity(shared: Rc<SharedState>, id: BackendId) {
    while shared.fleet.borrow().get(&id).is_some_and(Member::is_unconfirmed) {
        let response = health_response(&shared, &id).await;
        let is_server = |response: &HealthResponse| response.server.as_ref() == Some(&id);
        if response.as_ref().is_some_and(is_server) {
            let mut fleet = shared.fleet.borrow_mut();
            let confirmed = fleet.get_mut(&id).is_some_and(Member::confirm_identity);
            drop(fleet);
            if confirmed {
                info!("fleet: backend={} up, it responds under its id", id);
                shared.places_freed();
            }
            return;
        }
        sleep(HEALTH_CHECK_INTERVAL).await;
    }
}
