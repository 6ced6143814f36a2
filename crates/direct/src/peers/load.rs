//! Load that this entry causes, as it reports it to the others.

use clementine_decide::peers::{BackendLoad, LinkLoad, LoadStatus};

use crate::shared::SharedState;

/// Maximum number of backend servers in one message.
pub(super) const MAX_REPORTED_BACKENDS: usize = 512;
/// Minimum traffic on a link that is reported, in bytes per ms.
const MIN_LINK_BYTES_PER_MS: f64 = 1.0;

/// Load that this entry causes.
pub(super) fn local_load(shared: &SharedState) -> LoadStatus {
    let fleet = shared.fleet.borrow();
    let busy = fleet.iter().filter(|member| member.in_flight > 0);
    let backends = busy.take(MAX_REPORTED_BACKENDS).map(|member| BackendLoad {
        backend: member.id_hash,
        in_flight: member.in_flight,
        tokens: member.used_tokens as u32,
        first_stages: member.first_stages,
    });
    LoadStatus {
        backends: backends.collect(),
        links: links(shared),
        shares: shared.shares.borrow().report(shared.now()),
    }
}

fn links(shared: &SharedState) -> Vec<LinkLoad> {
    let links = shared.links.borrow();
    let used = links.local(shared.now());
    let used = used.filter(|(_, bytes_per_ms)| *bytes_per_ms >= MIN_LINK_BYTES_PER_MS);
    let loads = used.map(|(link, bytes_per_ms)| {
        let (a, b) = link.domains();
        LinkLoad { a: a.clone(), b: b.clone(), bytes_per_ms }
    });
    loads.collect()
}
