//! Settings of the agent.

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

/// Settings of the agent.
#[derive(Debug, Clone)]
pub(crate) struct AgentSettings {
    /// Settings that every process has.
    pub(crate) process: ProcessSettings,
    /// Address for entries and other agents.
    pub(crate) listen: SocketAddr,
    /// Certificates between the system's own processes.
    pub(crate) internal_tls: Option<TlsFiles>,
    /// Address at which others reach the agent; the listening address when
    /// absent.
    pub(crate) advertise: Option<SocketAddr>,
    /// Address of the backend server.
    pub(crate) backend: BackendAddress,
    /// Pool of the backend server.
    pub(crate) pool: PoolName,
    /// Failure domain of the instance.
    pub(crate) domain: CompactString,
    /// Requests that wait at a time.
    pub(crate) queue: usize,
    /// Memory of one answer, in bytes.
    pub(crate) answer_bytes: usize,
    /// Memory of all answers, in bytes.
    pub(crate) total_bytes: usize,
    /// Time for which the answers of repeatable requests are kept.
    pub(crate) keep_repeatable: Millis,
    /// Time for which the answers of other requests are kept.
    pub(crate) keep_once: Millis,
    /// Records that one epoch of the run-once gate holds.
    pub(crate) gate_records: usize,
    /// Requests of split models that the stage holds.
    pub(crate) stage_requests: usize,
    /// Memory of the stage's outputs, in bytes.
    pub(crate) stage_bytes: usize,
    /// Longest time that an operation may run, whatever its deadline.
    pub(crate) operation_limit: Millis,
    /// Time for which new work is refused before the listening socket closes.
    pub(crate) leave_notice: Millis,
}

/// The agent's flags.
pub(crate) fn command() -> Command {
    Command::new("clementine-agent")
        .about("Gate to one backend server")
        .long_about(
            "Runs beside one backend server and is the only process that sends it requests. \
             Every flag can also be given by an environment variable.",
        )
        .version(env!("CARGO_PKG_VERSION"))
        .arg(setting("listen", "ADDRESS", "Address for entries and other agents"))
        .arg(setting(
            "advertise",
            "ADDRESS",
            "Address at which others reach the agent [default: the listening one]",
        ))
        .arg(setting("backend", "URL", "Backend server, http://IP:PORT"))
        .arg(setting("pool", "NAME", "Pool of the backend server"))
        .arg(setting("domain", "NAME", "Failure domain of the instance"))
        .arg(setting("queue", "COUNT", "Requests that wait at a time [default: 256]"))
        .arg(setting("answer-bytes", "BYTES", "Memory of one answer [default: 8388608]"))
        .arg(setting("total-bytes", "BYTES", "Memory of all answers [default: 134217728]"))
        .arg(setting(
            "keep-repeatable",
            "DURATION",
            "Time to keep answers of repeatable requests [default: 15s]",
        ))
        .arg(setting(
            "keep-once",
            "DURATION",
            "Time to keep answers of other requests [default: 10m]",
        ))
        .arg(setting(
            "gate-records",
            "COUNT",
            "Operations remembered in one epoch [default: 65536]",
        ))
        .arg(setting("stage-requests", "COUNT", "Requests of split models held [default: 4096]"))
        .arg(setting("stage-bytes", "BYTES", "Memory of split models' outputs [default: 67108864]"))
        .arg(setting("operation-limit", "DURATION", "Longest time of an operation [default: 2m]"))
        .arg(setting(
            "leave-notice",
            "DURATION",
            "Time between refusing work and closing [default: 2s]",
        ))
        .args(internal_tls_args())
        .args(process_args())
}

impl AgentSettings {
    /// Reads the settings.
    pub(crate) fn read(matches: &ArgMatches) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::new(matches);
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let listen = reader.required("listen", loopback);
        let nowhere = BackendAddress::from_str("http://127.0.0.1:1");
        let nowhere = nowhere.expect("a valid address");
        let pool = reader.optional("pool");
        reader.require(pool.is_some(), "pool", "is required");
        let fallback: Option<PoolName> = "none".parse().ok();
        let settings = pool.or(fallback).map(|pool| Self {
            process: ProcessSettings::read(&mut reader),
            internal_tls: read_internal_tls(&mut reader, Some(listen)),
            listen,
            advertise: reader.optional("advertise"),
            backend: reader.required("backend", nowhere),
            pool,
            domain: reader.required("domain", CompactString::default()),
            queue: reader.or("queue", 256),
            answer_bytes: reader.or("answer-bytes", 8 * 1024 * 1024),
            total_bytes: reader.or("total-bytes", 128 * 1024 * 1024),
            keep_repeatable: reader.or("keep-repeatable", Millis(15_000)),
            keep_once: reader.or("keep-once", Millis(600_000)),
            gate_records: reader.or("gate-records", 65_536),
            stage_requests: reader.or("stage-requests", 4_096),
            stage_bytes: reader.or("stage-bytes", 64 * 1024 * 1024),
            operation_limit: reader.or("operation-limit", Millis(120_000)),
            leave_notice: reader.or("leave-notice", Millis(2_000)),
        });
        let settings = reader.finish(settings)?;
        Ok(settings.expect("`none` is a valid name"))
    }
}
