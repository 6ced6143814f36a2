//! Health checks of engines that failed or rejected a request, and of servers whose
//! row may be out of date.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::BackendId;
use clementine_platform::engines::Health;
use spdlog::info;
use tokio::time::sleep;

use super::calls::{HealthResponse, check_health};
use crate::shared::SharedState;

/// Interval of the health checks of an unhealthy engine.
pub(super) const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Checks the health of an engine that failed or rejected a request. An unhealthy
/// engine gets no new runs until it is no longer unhealthy. The list of backend
/// servers also shows which engines are draining, but not while the store is
/// unavailable.
pub(super) async fn check_leaving(shared: &Rc<SharedState>, id: &BackendId) {
    // If the engine is already marked, another task is checking it.
    if health(shared, id).await != Health::Unhealthy || !shared.set_leaving(id, true) {
        return;
    }
    info!("fleet: backend={} takes no new runs reason=unwell", id);
    while health(shared, id).await == Health::Unhealthy {
        sleep(HEALTH_CHECK_INTERVAL).await;
    }
    if shared.set_leaving(id, false) {
        info!("fleet: backend={} may take new runs again", id);
    }
}

/// An engine's health, or `Unknown` if the check fails.
async fn health(shared: &Rc<SharedState>, id: &BackendId) -> Health {
    health_response(shared, id).await.map_or(Health::Unknown, |response| response.health)
}

/// A server's response to a health check, or `None` if the check fails or the
/// server has asked to be left alone.
pub(super) async fn health_response(
    shared: &Rc<SharedState>,
    id: &BackendId,
) -> Option<HealthResponse> {
    let pool = shared.fleet.borrow().get(id)?.backend.pool.clone();
    let table = shared.routing_table()?;
    let path = &table.pools.get(&pool)?.health_path;
    shared.record_send(id);
    check_health(shared, id, path).await.ok()
}
