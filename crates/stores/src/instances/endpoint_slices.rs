//! Instance list in the format of the Kubernetes API's `EndpointSliceList`
//! (`discovery.k8s.io/v1`).

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use awc::Client;
use clementine_decide::operation::StoreCallError;
use compact_str::CompactString;
use serde::Deserialize;

use super::{InstanceList, InstanceState, ListedInstance};
use crate::http::CallLimiter;

/// Label of an endpoint slice that holds the pool name.
const POOL_LABEL: &str = "kubernetes.io/service-name";

/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Client for endpoint slices served at a URL.
#[derive(Clone)]
pub struct EndpointSlices {
    client: Client,
    url: CompactString,
    limiter: Rc<CallLimiter>,
}

impl std::fmt::Debug for EndpointSlices {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EndpointSlices").field("url", &self.url).finish_non_exhaustive()
    }
}

#[derive(Deserialize)]
struct SliceList {
    items: Vec<Slice>,
}

#[derive(Deserialize)]
struct Slice {
    metadata: Metadata,
    #[serde(default)]
    endpoints: Vec<Endpoint>,
    #[serde(default)]
    ports: Vec<Port>,
}

#[derive(Deserialize)]
struct Metadata {
    #[serde(default)]
    labels: std::collections::BTreeMap<CompactString, CompactString>,
}

#[derive(Deserialize)]
struct Endpoint {
    addresses: Vec<CompactString>,
    #[serde(default)]
    conditions: Conditions,
    #[serde(default)]
    zone: Option<CompactString>,
}

#[derive(Deserialize, Default)]
struct Conditions {
    #[serde(default)]
    terminating: Option<bool>,
}

#[derive(Deserialize)]
struct Port {
    port: Option<u16>,
}

impl EndpointSlices {
    /// Creates a client for a URL such as
    /// `http://10.0.0.1/apis/discovery.k8s.io/v1/namespaces/hub/endpointslices`.
    pub fn new(client: Client, url: &str, limiter: Rc<CallLimiter>) -> Self {
        Self { client, url: url.into(), limiter }
    }
}

impl InstanceList for EndpointSlices {
    async fn list(&self) -> Result<Vec<ListedInstance>, StoreCallError> {
        let call = async {
            let request = self.client.get(self.url.as_str()).timeout(self.limiter.call_timeout());
            let mut response = request.send().await.map_err(|_| StoreCallError::NotApplied)?;
            if !response.status().is_success() {
                return Err(StoreCallError::NotApplied);
            }
            let body = response.body().limit(MAX_LIST_BYTES).await;
            let body = body.map_err(|_| StoreCallError::NotApplied)?;
            serde_json::from_slice(&body).map_err(|_| StoreCallError::NotApplied)
        };
        let list: SliceList = self.limiter.call(call).await?;
        Ok(list.items.iter().flat_map(instances).collect())
    }
}

fn instances(slice: &Slice) -> Vec<ListedInstance> {
    let pool = slice.metadata.labels.get(POOL_LABEL).and_then(|name| name.parse().ok());
    let port = slice.ports.iter().find_map(|port| port.port);
    let (Some(pool), Some(port)) = (pool, port) else { return Vec::new() };
    let mut listed = Vec::new();
    for endpoint in &slice.endpoints {
        let leaving = endpoint.conditions.terminating.unwrap_or(false);
        let state = if leaving { InstanceState::Leaving } else { InstanceState::Live };
        for address in endpoint.addresses.iter().filter_map(|a| a.parse::<IpAddr>().ok()) {
            listed.push(ListedInstance {
                address: SocketAddr::new(address, port),
                pool: Clone::clone(&pool),
                domain: endpoint.zone.clone().unwrap_or_default(),
                state,
            });
        }
    }
    listed
}
