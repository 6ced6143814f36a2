//! Finds out whether an engine that refuses work is leaving.

use std::rc::Rc;
use std::time::Duration;

use clementine_decide::ids::BackendId;
use clementine_platform::engines::Health;
use spdlog::info;
use tokio::time::sleep;

use super::calls::ask_health;
use crate::shared::SharedState;

/// Pause between two health checks of an engine that is leaving.
const HEALTH_PAUSE: Duration = Duration::from_secs(1);

/// Asks an engine that refused work for its health, and takes it out of use for
/// new runs until it is well again. The list of backend servers tells that one
/// leaves, too, but not while the store is away.
pub(super) async fn check_leaving(shared: &Rc<SharedState>, id: &BackendId) {
    // Not news where it is being asked already.
    if health(shared, id).await != Health::Unhealthy || !shared.set_leaving(id, true) {
        return;
    }
    info!("fleet: backend={} takes no new runs reason=unwell", id);
    while health(shared, id).await == Health::Unhealthy {
        sleep(HEALTH_PAUSE).await;
    }
    if shared.set_leaving(id, false) {
        info!("fleet: backend={} may take new runs again", id);
    }
}

/// An engine's health; unknown if it gives no answer.
async fn health(shared: &SharedState, id: &BackendId) -> Health {
    let Some(engine) = shared.fleet.borrow().get(id).map(|member| member.backend.clone()) else {
        return Health::Unknown;
    };
    let table = shared.routing_table();
    let pool = table.as_ref().and_then(|table| table.pools.get(&engine.pool));
    let Some(pool) = pool else { return Health::Unknown };
    ask_health(shared, engine.address, &pool.health_path).await.unwrap_or(Health::Unknown)
}
