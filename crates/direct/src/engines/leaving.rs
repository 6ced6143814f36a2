//! Finds out whether an engine that refuses work is leaving.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clementine_decide::ids::BackendId;
use clementine_http1::Exchange;
use clementine_platform::engines::{Health, health_request};
use spdlog::info;
use tokio::time::{sleep, timeout};

use crate::hub::Hub;

/// Time for the answer to a health check.
const HEALTH_LIMIT: Duration = Duration::from_millis(300);
/// Pause between two health checks of an engine that is leaving.
const HEALTH_PAUSE: Duration = Duration::from_secs(1);

/// Asks an engine that refused work for its health, and takes it out of use for
/// new runs until it is well again. The list of backend servers tells that one
/// leaves, too, but not while the store is away.
pub(super) async fn check_leaving(hub: &Rc<Hub>, id: &BackendId) {
    // Not news where it is being asked already.
    if ask_health(hub, id).await != Health::Unwell || !note_leaving(hub, id, true) {
        return;
    }
    info!("fleet: backend={} takes no new runs reason=unwell", id);
    while ask_health(hub, id).await == Health::Unwell {
        sleep(HEALTH_PAUSE).await;
    }
    if note_leaving(hub, id, false) {
        info!("fleet: backend={} may take new runs again", id);
    }
}

fn note_leaving(hub: &Hub, id: &BackendId, leaving: bool) -> bool {
    hub.fleet.borrow_mut().get_mut(id).is_some_and(|member| member.note_leaving(leaving))
}

/// The engine's health; unknown if it gives no answer.
async fn ask_health(hub: &Hub, id: &BackendId) -> Health {
    timeout(HEALTH_LIMIT, call(hub, id)).await.ok().flatten().unwrap_or(Health::Unknown)
}

async fn call(hub: &Hub, id: &BackendId) -> Option<Health> {
    let (address, pool) = {
        let fleet = hub.fleet.borrow();
        let backend = &fleet.get(id)?.backend;
        (backend.address, backend.pool.clone())
    };
    let table = hub.table()?;
    let request = health_request(address, &table.pools.get(&pool)?.health_path)?;
    let mut exchange = Exchange::connect(address, HEALTH_LIMIT, &hub.codec).await.ok()?;
    exchange.queue(request, Bytes::new()).ok()?;
    let head = exchange.read_head().await.ok()?;
    Some(Health::from(&head))
}
