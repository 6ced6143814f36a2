//! Health checks of engines that failed or rejected a request.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::BackendId;
use clementine_platform::engines::Health;
use spdlog::info;
use tokio::time::sleep;

use super::calls::check_health;
use crate::shared::SharedState;

/// Interval of the health checks of an unhealthy engine.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

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
async fn health(shared: &SharedState, id: &BackendId) -> Health {
    let Some(engine) = shared.fleet.borrow().get(id).map(|member| member.backend.clone()) else {
        return Health::Unknown;
    };
    let table = shared.routing_table();
    let pool = table.as_ref().and_then(|table| table.pools.get(&engine.pool));
    let Some(pool) = pool else { return Health::Unknown };
    check_health(shared, engine.address, &pool.health_path).await.unwrap_or(Health::Unknown)
}
