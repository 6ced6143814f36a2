//! A backend server with its agent.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::spec::BackendSpec;
use crate::process::Process;
use crate::proxy::Proxy;

/// A backend server with its agent, which is reached through a proxy.
#[derive(Debug)]
pub struct Backend {
    spec: BackendSpec,
    domain: String,
    server_address: SocketAddr,
    /// The backend server process.
    pub server: Process,
    /// The agent process.
    pub agent: Process,
    /// Proxy in front of the agent; its address is the one that the agent advertises.
    pub proxy: Proxy,
}

impl Backend {
    /// Starts a backend server, its agent and the proxy.
    pub(super) async fn start(spec: &BackendSpec, index: usize) -> Self {
        let (server, standin_address) = start_server(spec, "127.0.0.1:0");
        let server_address = spec.server.unwrap_or(standin_address);
        // The agent's address is known only once it runs, and the agent needs the
        // address of the proxy to start, so the proxy gets its real target later.
        let proxy = Proxy::start(server_address).await;
        let domain = format!("domain-{}", index % 3);
        let (agent, address) = start_agent(spec, &domain, server_address, proxy.address());
        proxy.set_target(address);
        Self { spec: spec.clone(), domain, server_address, server, agent, proxy }
    }

    /// Returns the pool of the backend server.
    pub fn pool(&self) -> &str {
        &self.spec.pool
    }

    /// Starts a new agent and directs the proxy to it. Returns the old agent, which
    /// is not stopped.
    pub fn replace_agent(&mut self) -> Process {
        let (agent, address) =
            start_agent(&self.spec, &self.domain, self.server_address, self.proxy.address());
        self.proxy.set_target(address);
        std::mem::replace(&mut self.agent, agent)
    }

    /// Restarts the backend server at the same address.
    pub fn restart_server(&mut self) {
        self.server.kill();
        let (server, _) = start_server(&self.spec, &self.server_address.to_string());
        self.server = server;
    }

    /// Fetches the record of the requests that the backend server executed.
    pub async fn record(&self) -> Value {
        super::harness::get_json(self.server_address, "/record").await
    }

    /// Builds the `EndpointSlice` of the backend server for the instance list.
    pub(super) fn endpoint_slice(&self, terminating: bool) -> Value {
        json!({
            "metadata": { "labels": { "kubernetes.io/service-name": self.spec.pool } },
            "endpoints": [{
                "addresses": [self.proxy.address().ip()],
                "conditions": { "terminating": terminating },
                "zone": self.domain,
            }],
            "ports": [{ "port": self.proxy.address().port() }],
        })
    }
}

fn start_server(spec: &BackendSpec, listen: &str) -> (Process, SocketAddr) {
    let mut args = spec.standin_args.clone();
    args.extend(["--listen".to_owned(), listen.to_owned()]);
    let server = Process::start("clementine-standin", &args);
    let address = server.wait_for_address("listening on ");
    (server, address)
}

fn start_agent(
    spec: &BackendSpec,
    domain: &str,
    server: SocketAddr,
    advertise: SocketAddr,
) -> (Process, SocketAddr) {
    let mut args: Vec<String> = [
        "--listen",
        "127.0.0.1:0",
        "--advertise",
        &advertise.to_string(),
        "--backend",
        &format!("http://{server}"),
        "--pool",
        &spec.pool,
        "--domain",
        domain,
    ]
    .map(str::to_owned)
    .to_vec();
    args.extend(spec.agent_args.iter().cloned());
    let agent = Process::start("clementine-agent", &args);
    let address = agent.wait_for_address("agent: listening on ");
    (agent, address)
}
