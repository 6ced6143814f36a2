//! State dump of the process for troubleshooting.

use clementine_decide::fleet::Member;
use clementine_process::admin::AdminProcess;
use serde_json::{Value, json};

use super::SharedState;

impl AdminProcess for SharedState {
    fn not_ready(&self) -> Option<String> {
        if self.drain.is_draining() {
            return Some("stopping".into());
        }
        if self.routing_table().is_none() {
            return Some("no configuration yet".into());
        }
        (!self.backend_list_loaded.get()).then(|| "no list of backend servers yet".into())
    }

    fn state(&self) -> Value {
        let now = self.now();
        let fleet = self.fleet.borrow();
        let backends: Vec<Value> = fleet.iter().map(|member| self.dump_backend(member)).collect();
        let links = self.links.borrow();
        let links: Vec<Value> = links
            .local(now)
            .map(|(link, rate)| json!({"ends": [link.domains().0, link.domains().1], "bytes_per_ms": rate}))
            .collect();
        let (requests_quarantined, parts_quarantined) =
            self.crash_log.borrow().quarantined_counts(now);
        json!({
            "entry": self.settings.entry,
            "incarnation": self.incarnation,
            "up_ms": now.uptime().0,
            "config_version": self.routing_table().map(|table| table.version),
            "routes": self.routing_table().map(|table| table.route_count()),
            "config_newest_row": self.config_sync.newest_version_anywhere(),
            "list_newest_row": self.backend_list_sync.newest_version_anywhere(),
            "follows_store": self.must_follow_store(),
            "store_era": self.store_era(),
            "plans_with_row": self.held_lease_version(),
            "entries_serving": self.peers.borrow().serving_count(),
            "requests_in_progress": self.drain.in_progress(),
            "stopping": self.drain.is_draining(),
            "refused_share": self.refusal_rate.borrow().refused_share(),
            "pools_scarce": self.shares.borrow().scarce_pools(now),
            "requests_quarantined": requests_quarantined,
            "prompt_parts_quarantined": parts_quarantined,
            "prompt_prefixes": self.prefixes.borrow().prefix_count(),
            "backends": backends,
            "links": links,
            "queues": self.queues.dump(now),
        })
    }
}

impl SharedState {
    fn dump_backend(&self, member: &Member) -> Value {
        let backend = &member.backend;
        json!({
            "id": backend.id,
            "pool": backend.pool,
            "address": backend.address,
            "domain": backend.domain,
            "state": format!("{:?}", backend.state),
            "layers": backend.layers,
            "orders": backend.orders_started,
            "usable": member.is_usable(self.now()),
            "down": member.is_down(),
            "requests": member.in_flight,
            "requests_of_others": member.remote_in_flight,
            "tokens": member.used_tokens,
            "tokens_of_others": member.remote_tokens,
            "answer_ms": member.latency_ms(),
            "draining": member.is_draining(),
            "paused_ms": member.signals.pause_left(self.now()),
            "limit_per_s": member.signals.limit(),
            "alive_ms_ago": self.now().since(member.last_seen).0,
        })
    }
}
