//! Command line flags and settings of the agent process.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::{ArgMatches, Command};
use clementine_net::TlsFiles;
use clementine_objects::{Millis, PoolName};
use clementine_process::settings::{
    ProcessSettings, SettingsError, SettingsReader, internal_tls_args, process_args,
    read_internal_tls, setting,
};
use compact_str::CompactString;

use crate::backend::BackendAddress;

/// Settings of the agent process.
#[derive(Debug, Clone)]
pub(crate) struct AgentSettings {
    /// Settings common to all processes.
    pub(crate) process: ProcessSettings,
    /// Listen address for entries and other agents.
    pub(crate) listen: SocketAddr,
    /// Certificates for mutual TLS with entries and other agents.
    pub(crate) internal_tls: Option<TlsFiles>,
    /// Address at which entries and other agents connect to this agent; the listen
    /// address if `None`.
    pub(crate) advertise: Option<SocketAddr>,
    /// Address of the backend server.
    pub(crate) backend: BackendAddress,
    /// Pool of the backend server.
    pub(crate) pool: PoolName,
    /// Failure domain of this instance.
    pub(crate) domain: CompactString,
    /// Maximum number of requests in the admission queue.
    pub(crate) queue: usize,
    /// Maximum size of a buffered response, in bytes.
    pub(crate) max_response_bytes: usize,
    /// Maximum total size of the buffered responses, in bytes.
    pub(crate) max_total_bytes: usize,
    /// Retention time of ended responses to repeatable requests.
    pub(crate) repeatable_retention: Millis,
    /// Retention time of other ended responses.
    pub(crate) once_retention: Millis,
    /// Maximum number of records per epoch of a deduplication table.
    pub(crate) dedup_records: usize,
    /// Maximum number of split-model requests whose state the stage holds.
    pub(crate) stage_requests: usize,
    /// Maximum total size of the stage outputs held, in bytes.
    pub(crate) stage_bytes: usize,
    /// Maximum execution time of a non-repeatable request, which is not
    /// interrupted at its deadline.
    pub(crate) operation_limit: Millis,
    /// Time between the end of the drain and the end of the process. New work is
    /// still refused, while entries read the last responses and learn that the
    /// agent is leaving.
    pub(crate) leave_notice: Millis,
}

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("clementine-agent")
        .about("Run the proxy in front of one backend server")
        .long_about(
            "Runs beside one backend server and is the only process that sends it requests. \
             Every flag can also be set by an environment variable.",
        )
        .version(env!("CARGO_PKG_VERSION"))
        .arg(setting("listen", "ADDRESS", "Listen address for entries and other agents"))
        .arg(setting(
            "advertise",
            "ADDRESS",
            "Address at which entries and other agents connect [default: the listen address]",
        ))
        .arg(setting("backend", "URL", "Backend server, http://IP:PORT"))
        .arg(setting("pool", "NAME", "Pool of the backend server"))
        .arg(setting("domain", "NAME", "Failure domain of this instance"))
        .arg(setting("queue", "COUNT", "Maximum number of queued requests [default: 256]"))
        .arg(setting(
            "answer-bytes",
            "BYTES",
            "Maximum size of a buffered response [default: 8388608]",
        ))
        .arg(setting(
            "total-bytes",
            "BYTES",
            "Maximum total size of the buffered responses [default: 134217728]",
        ))
        .arg(setting(
            "keep-repeatable",
            "DURATION",
            "Retention time of responses to repeatable requests [default: 15s]",
        ))
        .arg(setting(
            "keep-once",
            "DURATION",
            "Retention time of responses to other requests [default: 10m]",
        ))
        .arg(setting(
            "gate-records",
            "COUNT",
            "Maximum deduplication records per epoch [default: 65536]",
        ))
        .arg(setting(
            "stage-requests",
            "COUNT",
            "Maximum number of split-model requests held [default: 4096]",
        ))
        .arg(setting(
            "stage-bytes",
            "BYTES",
            "Maximum total size of the stage outputs held [default: 67108864]",
        ))
        .arg(setting(
            "operation-limit",
            "DURATION",
            "Maximum execution time of non-repeatable requests [default: 2m]",
        ))
        .arg(setting(
            "leave-notice",
            "DURATION",
            "Time between the end of the drain and the exit [default: 2s]",
        ))
        .args(internal_tls_args())
        .args(process_args())
}

impl AgentSettings {
    /// Reads the settings from flags and environment variables. Missing values
    /// get placeholders, so that all errors are reported together.
    pub(crate) fn read(matches: &ArgMatches) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::new(matches);
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen = reader.required("listen", loopback);
        let placeholder = BackendAddress::from_str("http://127.0.0.1:1");
        let placeholder = placeholder.expect("a valid address");
        let pool = reader.optional("pool");
        reader.require(pool.is_some(), "pool", "is required");
        let fallback: Option<PoolName> = "none".parse().ok();
        let settings = pool.or(fallback).map(|pool| Self {
            process: ProcessSettings::read(&mut reader),
            internal_tls: read_internal_tls(&mut reader, Some(listen)),
            listen,
            advertise: reader.optional("advertise"),
            backend: reader.required("backend", placeholder),
            pool,
            domain: reader.required("domain", CompactString::default()),
            queue: reader.or("queue", 256),
            max_response_bytes: reader.or("answer-bytes", 8 * 1024 * 1024),
            max_total_bytes: reader.or("total-bytes", 128 * 1024 * 1024),
            repeatable_retention: reader.or("keep-repeatable", Millis(15_000)),
            once_retention: reader.or("keep-once", Millis(600_000)),
            dedup_records: reader.or("gate-records", 65_536),
            stage_requests: reader.or("stage-requests", 4_096),
            stage_bytes: reader.or("stage-bytes", 64 * 1024 * 1024),
            operation_limit: reader.or("operation-limit", Millis(120_000)),
            leave_notice: reader.or("leave-notice", Millis(2_000)),
        });
        let settings = reader.finish(settings)?;
        Ok(settings.expect("`none` is a valid name"))
    }
}
