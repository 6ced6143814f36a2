//! Mutual TLS between entries and agents, and validation of command line flags.

#[path = "../../net/tests/certificates/mod.rs"]
mod certificates;

use certificates::TestCa;
use clementine_e2e::{Cluster, ClusterSpec, Process, RecordFile};

#[actix_rt::test]
async fn entries_and_agents_communicate_over_mutual_tls() {
    let test_ca = TestCa::new("hub");
    let files = test_ca.files();
    let record = RecordFile::new("tls");
    let mut spec = ClusterSpec::new(1)
        .engines(1, "0ms")
        .stages("halves-first", 1, "0-15", "0ms")
        .stages("halves-last", 1, "16-31", "0ms")
        .services(1, record.path(), "0ms");
    let ca = files.ca.expect("no CA certificate");
    let flags = [("cert", files.certificate), ("key", files.key), ("ca", ca)];
    for (name, path) in flags {
        let (name, path) = (format!("internal-{name}"), path.display().to_string());
        spec = spec.agent_flag(&name, &path).entry_flag(&name, &path);
    }
    let cluster = Cluster::start(spec).await;
    let client = cluster.client(0);
    let unsplit = client.chat("key-advisor", "Which?", 4).await.expect("no response");
    let split = client.chat("key-advisor-large", "Which?", 4).await.expect("no response");
    assert_eq!(unsplit.chat_text(), split.chat_text());
    assert_eq!(client.order("k", "{}").await.expect("no response").outcome, "ran");
}

#[test]
fn all_invalid_flags_are_reported_together() {
    let agent = ["--listen", "0.0.0.0:7000", "--backend", "https://here", "--queue", "many"];
    let agent = agent.map(str::to_owned);
    let output = Process::run_to_exit("clementine-agent", &agent);
    let expected = [
        "--pool: is required",
        "--domain: is required",
        "--backend: `https://here`: `https://here` must be written like",
        "--queue: `many`: invalid digit",
        "--internal-cert: is required when --listen is not on loopback",
    ];
    for line in expected {
        assert!(output.contains(line), "`{line}` is missing from:\n{output}");
    }
    let entry = ["--admin-listen", "0.0.0.0:7001", "--table-url", "ftp://x"].map(str::to_owned);
    let output = Process::run_to_exit("clementine-entry", &entry);
    let expected = [
        "--admin-token: is required when --admin-listen is not on loopback",
        "--listen: is required",
        "--table-url: must begin with `http://`",
        "--objects-url: is required",
        "--instances-url: is required",
    ];
    for line in expected {
        assert!(output.contains(line), "`{line}` is missing from:\n{output}");
    }
}
