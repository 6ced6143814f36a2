//! One backend server with its agent.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::spec::BackendSpec;
use crate::process::Process;
use crate::proxy::Proxy;

/// One backend server with its agent behind a relay.
#[derive(Debug)]
pub struct Backend {
    spec: BackendSpec,
    domain: String,
    server_address: SocketAddr,
    /// The backend server.
    pub server: Process,
    /// The agent.
    pub agent: Process,
    /// The relay in front of the agent, at the address that others know.
    pub proxy: Proxy,
}

impl Backend {
    /// Starts a backend server, its agent and the relay.
    pub(super) async fn start(spec: &BackendSpec, number: usize) -> Self {
        let (server, server_address) = start_server(spec, "127.0.0.1:0");
        let proxy = Proxy::start(server_address).await;
        let domain = format!("domain-{}", number % 3);
        let (agent, address) = start_agent(spec, &domain, server_address, proxy.address());
        proxy.set_target(address);
        Self { spec: spec.clone(), domain, server_address, server, agent, proxy }
    }

    /// Pool of the backend server.
    pub fn pool(&self) -> &str {
        &self.spec.pool
    }

    /// Starts a new agent in the place of the present one, which is left as it
    /// is and returned.
    pub fn replace_agent(&mut self) -> Process {
        let (agent, address) =
            start_agent(&self.spec, &self.domain, self.server_address, self.proxy.address());
        self.proxy.set_target(address);
        std::mem::replace(&mut self.agent, agent)
    }

    /// Starts the backend server again at its address.
    pub fn restart_server(&mut self) {
        self.server.kill();
        let (server, _) = start_server(&self.spec, &self.server_address.to_string());
        self.server = server;
    }

    /// What the backend server has recorded.
    pub async fn record(&self) -> Value {
        super::harness::get_json(self.server_address, "/record").await
    }

    /// The backend server's slice of the instance list.
    pub(super) fn slice(&self, terminating: bool) -> Value {
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
