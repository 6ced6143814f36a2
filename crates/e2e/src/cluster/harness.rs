//! A whole system on loopback.

use std::net::SocketAddr;

use awc::Client;
use serde_json::{Value, json};

use super::{Backend, ClusterSpec};
use crate::client::ApiClient;
use crate::eventually;
use crate::process::Process;

/// Bearer token of the example's workspace.
pub const API_TOKEN: &str = "kiosk-demo-token";

/// The objects of the example.
const OBJECTS: &str = include_str!("../../../../examples/klyuchar.yaml");

/// An entry process.
#[derive(Debug)]
pub struct EntryProcess {
    /// The process.
    pub process: Process,
    /// Address for clients.
    pub address: SocketAddr,
    /// Administration address.
    pub admin_address: SocketAddr,
}

/// A whole system on loopback, with the example's objects in force.
#[derive(Debug)]
pub struct Cluster {
    spec: ClusterSpec,
    /// The platform.
    pub platform: Process,
    platform_address: SocketAddr,
    /// The entries.
    pub entries: Vec<EntryProcess>,
    /// The backend servers.
    pub backends: Vec<Backend>,
}

impl Cluster {
    /// Starts a system and waits until it serves.
    pub async fn start(spec: ClusterSpec) -> Self {
        let cluster = Self::start_unconfigured(spec).await;
        cluster.apply(OBJECTS).await;
        cluster.wait_until_serving().await;
        cluster
    }

    /// Starts a system without objects.
    pub async fn start_unconfigured(spec: ClusterSpec) -> Self {
        let args = ["platform", "--listen", "127.0.0.1:0"].map(str::to_owned);
        let platform = Process::start("clementine-standin", &args);
        let platform_address = platform.wait_for_address("listening on ");
        let mut backends = Vec::new();
        for (number, backend) in spec.backends.iter().enumerate() {
            backends.push(Backend::start(backend, number).await);
        }
        let mut cluster = Self { spec, platform, platform_address, entries: Vec::new(), backends };
        cluster.publish_instance_list(&[]).await;
        for _ in 0..cluster.spec.entries {
            cluster.add_entry();
        }
        cluster
    }

    /// Starts a further entry.
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

    /// A caller at an entry.
    pub fn client(&self, entry: usize) -> ApiClient {
        ApiClient::new(self.entries[entry].address, API_TOKEN)
    }

    /// Publishes the instance list; those of the given numbers are leaving.
    pub async fn publish_instance_list(&self, leaving: &[usize]) {
        let backends = self.backends.iter().enumerate();
        let items: Vec<_> =
            backends.map(|(number, b)| b.slice(leaving.contains(&number))).collect();
        self.put_instance_list(&json!({ "items": items })).await;
    }

    /// Replaces the instance list.
    pub async fn put_instance_list(&self, list: &Value) {
        let url = format!("http://{}/instances", self.platform_address);
        let sent = Client::default().put(url).send_json(list).await;
        assert!(sent.is_ok_and(|response| response.status() == 200), "the list was not taken");
    }

    /// Orders faults of the platform.
    pub async fn set_platform_faults(&self, faults: &Value) {
        let url = format!("http://{}/faults", self.platform_address);
        let sent = Client::default().post(url).send_json(faults).await;
        assert!(sent.is_ok_and(|response| response.status() == 200), "the faults were not taken");
    }

    /// Applies objects with the operators' program.
    pub async fn apply(&self, objects: &str) {
        let (succeeded, output) = self.run_ctl(&["apply", "-f", "-"], objects).await;
        assert!(succeeded, "apply failed: {output}");
    }

    /// Runs the operators' program; returns whether it succeeded and what it
    /// printed.
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
        let output = run.await.expect("the task ends").expect("clementinectl was built");
        let text = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8_lossy(&text).into_owned())
    }

    /// Revision in force at an entry.
    pub async fn revision(&self, entry: usize) -> String {
        let state = self.entry_state(entry).await;
        state["revision"].as_str().unwrap_or_default().to_owned()
    }

    /// State dump of an entry.
    pub async fn entry_state(&self, entry: usize) -> Value {
        get_json(self.entries[entry].admin_address, "/state").await
    }

    /// Whether an entry says that it is ready.
    pub async fn is_ready(&self, entry: usize) -> bool {
        let url = format!("http://{}/readyz", self.entries[entry].admin_address);
        Client::default().get(url).send().await.is_ok_and(|response| response.status() == 200)
    }

    /// Waits until every entry is ready and knows all agents as ready, with
    /// the newest configuration.
    pub async fn wait_until_serving(&self) {
        for entry in 0..self.entries.len() {
            eventually("the entry serves", || self.serves(entry)).await;
        }
    }

    async fn serves(&self, entry: usize) -> bool {
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

/// A JSON page of a process; null when it can't be read.
pub(super) async fn get_json(address: SocketAddr, path: &str) -> Value {
    let request = Client::default().get(format!("http://{address}{path}"));
    let Ok(mut response) = request.send().await else { return Value::Null };
    let body = response.body().limit(16 * 1024 * 1024).await.unwrap_or_default();
    serde_json::from_slice(&body).unwrap_or(Value::Null)
}
