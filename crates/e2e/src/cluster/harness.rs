//! Starting and controlling the processes of a test cluster.

use std::net::SocketAddr;

use awc::Client;
use serde_json::{Value, json};

use super::{Backend, ClusterSpec};
use crate::client::ApiClient;
use crate::eventually;
use crate::process::Process;

/// Bearer token of the workspace in the example configuration.
pub const API_TOKEN: &str = "kiosk-demo-token";

/// The example configuration.
const EXAMPLE_OBJECTS: &str = include_str!("../../../../examples/klyuchar.yaml");

/// An entry process.
#[derive(Debug)]
pub struct EntryProcess {
    /// The running process.
    pub process: Process,
    /// Listen address for callers.
    pub address: SocketAddr,
    /// Administration address.
    pub admin_address: SocketAddr,
}

/// A running test cluster.
#[derive(Debug)]
pub struct Cluster {
    spec: ClusterSpec,
    /// The platform stand-in.
    pub platform: Process,
    platform_address: SocketAddr,
    /// The entry processes.
    pub entries: Vec<EntryProcess>,
    /// The backend servers.
    pub backends: Vec<Backend>,
}

impl Cluster {
    /// Starts a cluster, applies the example configuration and waits until all entries
    /// serve requests.
    pub async fn start(spec: ClusterSpec) -> Self {
        let cluster = Self::start_unconfigured(spec).await;
        cluster.apply(EXAMPLE_OBJECTS).await;
        cluster.wait_until_serving().await;
        cluster
    }

    /// Starts a cluster without configuration objects.
    pub async fn start_unconfigured(spec: ClusterSpec) -> Self {
        let args = ["platform", "--listen", "127.0.0.1:0"].map(str::to_owned);
        let platform = Process::start("clementine-standin", &args);
        let platform_address = platform.wait_for_address("listening on ");
        let mut backends = Vec::new();
        for (index, backend) in spec.backends.iter().enumerate() {
            backends.push(Backend::start(backend, index).await);
        }
        let mut cluster = Self { spec, platform, platform_address, entries: Vec::new(), backends };
        cluster.publish_instance_list(&[]).await;
        for _ in 0..cluster.spec.entries {
            cluster.add_entry();
        }
        cluster
    }

    /// Starts another entry.
    pub fn add_entry(&mut self) {
        let platform = self.platform_address;
        let mut args: Vec<String> = [
            "--listen",
            "127.0.0.1:0",
            "--domain",
            "domain-0",
            "--table-url",
            &format!("http://{platform}/"),
            "--objects-url",
            &format!("http://{platform}/objects"),
            "--instances-url",
            &format!("http://{platform}/instances"),
            "--list-pause",
            "100ms",
            "--describe-pause",
            "100ms",
            "--config-pause",
            "500ms",
            "--leave-notice",
            "200ms",
        ]
        .map(str::to_owned)
        .to_vec();
        args.extend(self.spec.entry_args.iter().cloned());
        let process = Process::start("clementine-entry", &args);
        let admin_address = process.wait_for_address("admin: listening on ");
        let address = process.wait_for_address("entry: listening on ");
        self.entries.push(EntryProcess { process, address, admin_address });
    }

    /// Creates a client of an entry.
    pub fn client(&self, entry: usize) -> ApiClient {
        ApiClient::new(self.entries[entry].address, API_TOKEN)
    }

    /// Publishes the instance list of all backend servers. Those with the given indices
    /// are marked as terminating.
    pub async fn publish_instance_list(&self, terminating: &[usize]) {
        let backends = self.backends.iter().enumerate();
        let items: Vec<_> =
            backends.map(|(index, b)| b.endpoint_slice(terminating.contains(&index))).collect();
        self.put_instance_list(&json!({ "items": items })).await;
    }

    /// Replaces the instance list of the platform.
    pub async fn put_instance_list(&self, list: &Value) {
        let url = format!("http://{}/instances", self.platform_address);
        let result = Client::default().put(url).send_json(list).await;
        assert!(
            result.is_ok_and(|response| response.status() == 200),
            "the platform rejected the instance list"
        );
    }

    /// Sets the fault modes of the platform stand-in.
    pub async fn set_platform_faults(&self, faults: &Value) {
        let url = format!("http://{}/faults", self.platform_address);
        let result = Client::default().post(url).send_json(faults).await;
        assert!(
            result.is_ok_and(|response| response.status() == 200),
            "the platform rejected the fault modes"
        );
    }

    /// Applies configuration objects with `clementinectl`.
    pub async fn apply(&self, objects: &str) {
        let (succeeded, output) = self.run_ctl(&["apply", "-f", "-"], objects).await;
        assert!(succeeded, "apply failed: {output}");
    }

    /// Runs `clementinectl` with `input` as standard input. Returns whether it
    /// succeeded, and its output.
    pub async fn run_ctl(&self, args: &[&str], input: &str) -> (bool, String) {
        use std::io::Write;
        let servers: Vec<_> =
            self.entries.iter().map(|entry| entry.admin_address.to_string()).collect();
        let mut command = std::process::Command::new(crate::process::program_path("clementinectl"));
        command.args(args).env("CLEMENTINE_SERVER", servers.join(","));
        command.stdin(std::process::Stdio::piped());
        command.stdout(std::process::Stdio::piped()).stderr(std::process::Stdio::piped());
        let input = input.to_owned();
        let run = tokio::task::spawn_blocking(move || {
            let mut child = command.spawn()?;
            if let Some(mut stdin) = child.stdin.take() {
                stdin.write_all(input.as_bytes())?;
            }
            child.wait_with_output()
        });
        let output = run.await.expect("task panicked").expect("failed to run clementinectl");
        let text = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8_lossy(&text).into_owned())
    }

    /// Returns the configuration revision that an entry uses.
    pub async fn revision(&self, entry: usize) -> String {
        let state = self.entry_state(entry).await;
        state["revision"].as_str().unwrap_or_default().to_owned()
    }

    /// Fetches the state dump of an entry.
    pub async fn entry_state(&self, entry: usize) -> Value {
        get_json(self.entries[entry].admin_address, "/state").await
    }

    /// Returns whether the readiness check of an entry succeeds.
    pub async fn is_ready(&self, entry: usize) -> bool {
        let url = format!("http://{}/readyz", self.entries[entry].admin_address);
        Client::default().get(url).send().await.is_ok_and(|response| response.status() == 200)
    }

    /// Waits until every entry is ready, and its state shows all agents as ready with
    /// the same configuration revision.
    pub async fn wait_until_serving(&self) {
        for entry in 0..self.entries.len() {
            eventually("the entry serves requests", || self.is_serving(entry)).await;
        }
    }

    async fn is_serving(&self, entry: usize) -> bool {
        let state = self.entry_state(entry).await;
        let revision = &state["revision"];
        let fleet = state["fleet"].as_array().cloned().unwrap_or_default();
        let ready = |member: &Value| {
            member["news"]["state"] == "Ready" && member["news"]["revision"] == *revision
        };
        self.is_ready(entry).await
            && *revision != "0"
            && fleet.len() == self.backends.len()
            && fleet.iter().all(ready)
    }
}

/// Fetches a JSON document from a process; null if that fails.
pub(super) async fn get_json(address: SocketAddr, path: &str) -> Value {
    let request = Client::default().get(format!("http://{address}{path}"));
    let Ok(mut response) = request.send().await else { return Value::Null };
    let body = response.body().limit(16 * 1024 * 1024).await.unwrap_or_default();
    serde_json::from_slice(&body).unwrap_or(Value::Null)
}
