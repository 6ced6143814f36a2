//! Settings of the entry.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use clementine_net::TlsFiles;
use clementine_objects::Millis;
use clementine_process::settings::{
    ProcessSettings, SettingsError, SettingsReader, internal_tls_args, process_args,
    read_internal_tls, read_tls, setting,
};
use compact_str::CompactString;

/// Settings of the entry.
#[derive(Debug, Clone)]
pub(crate) struct EntrySettings {
    /// Settings that every process has.
    pub(crate) process: ProcessSettings,
    /// Address for callers.
    pub(crate) listen: SocketAddr,
    /// Certificate for callers.
    pub(crate) caller_tls: Option<TlsFiles>,
    /// Certificates between the system's own processes.
    pub(crate) internal_tls: Option<TlsFiles>,
    /// Where the platform's services are.
    pub(crate) platform: PlatformSettings,
    /// Bounds of callers' requests.
    pub(crate) limits: RequestLimits,
    /// Failure domain of the instance.
    pub(crate) domain: CompactString,
    /// Backend servers of a pool that this entry talks to.
    pub(crate) subset: usize,
    /// Pause between reads of the configuration's head.
    pub(crate) config_pause: Millis,
    /// Pause between reads of the instance list.
    pub(crate) list_pause: Millis,
    /// Pause between descriptions asked of an agent.
    pub(crate) describe_pause: Millis,
    /// Time between failing the readiness check and closing the listening
    /// socket.
    pub(crate) leave_notice: Millis,
    /// Time for which claims are kept.
    pub(crate) keep_claims: Millis,
}

/// Where the platform's services are.
#[derive(Debug, Clone)]
pub(crate) struct PlatformSettings {
    /// URL of the table service.
    pub(crate) table_url: CompactString,
    /// Name of the table.
    pub(crate) table: CompactString,
    /// URL of the object store's bucket.
    pub(crate) objects_url: CompactString,
    /// URL of the instance list.
    pub(crate) instances_url: CompactString,
    /// Calls in one second to each service.
    pub(crate) calls_per_second: u32,
    /// Longest time of one call.
    pub(crate) call_time: Millis,
}

/// Bounds of callers' requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestLimits {
    /// Bytes of all headers.
    pub(crate) header_bytes: usize,
    /// Bytes of a body.
    pub(crate) body_bytes: usize,
    /// Bytes of a prompt.
    pub(crate) prompt_bytes: usize,
    /// Bytes of an answer that is held until it is whole.
    pub(crate) answer_bytes: usize,
    /// Requests in progress.
    pub(crate) in_progress: usize,
    /// Longest deadline that a caller may ask for.
    pub(crate) deadline: Millis,
}

/// The entry's flags.
pub(crate) fn command() -> Command {
    Command::new("clementine-entry")
        .about("Serves callers and operators")
        .long_about(
            "Serves callers over HTTP, chooses backend servers for their requests, and serves \
             the administration API. Every flag can also be given by an environment variable.",
        )
        .version(env!("CARGO_PKG_VERSION"))
        .arg(setting("listen", "ADDRESS", "Address for callers"))
        .arg(setting("domain", "NAME", "Failure domain of the instance"))
        .arg(setting("table-url", "URL", "Table service, DynamoDB JSON format"))
        .arg(setting("table", "NAME", "Name of the table [default: clementine]"))
        .arg(setting("objects-url", "URL", "Bucket of the object store, S3 path style"))
        .arg(setting("instances-url", "URL", "Instance list, EndpointSliceList format"))
        .arg(setting(
            "platform-calls",
            "COUNT",
            "Calls a second to each platform service [default: 200]",
        ))
        .arg(setting(
            "platform-call-time",
            "DURATION",
            "Longest time of a platform call [default: 2s]",
        ))
        .arg(setting("header-bytes", "BYTES", "Largest headers [default: 16384]"))
        .arg(setting("body-bytes", "BYTES", "Largest body [default: 4194304]"))
        .arg(setting("prompt-bytes", "BYTES", "Largest prompt [default: 1048576]"))
        .arg(setting(
            "answer-bytes",
            "BYTES",
            "Largest answer held until it is whole [default: 8388608]",
        ))
        .arg(setting("requests", "COUNT", "Requests in progress [default: 8192]"))
        .arg(setting(
            "longest-deadline",
            "DURATION",
            "Longest deadline of a request [default: 10m]",
        ))
        .arg(setting("subset", "COUNT", "Backend servers of a pool in use [default: 40]"))
        .arg(setting(
            "config-pause",
            "DURATION",
            "Pause between reads of the head row [default: 5s]",
        ))
        .arg(setting(
            "list-pause",
            "DURATION",
            "Pause between reads of the instance list [default: 1s]",
        ))
        .arg(setting(
            "describe-pause",
            "DURATION",
            "Pause between descriptions of an agent [default: 2500ms]",
        ))
        .arg(setting(
            "leave-notice",
            "DURATION",
            "Time between failing /readyz and closing [default: 2s]",
        ))
        .arg(setting("keep-claims", "DURATION", "Time to keep claims [default: 168h]"))
        .arg(setting("tls-cert", "FILE", "Certificate for callers, PEM"))
        .arg(setting("tls-key", "FILE", "Private key of --tls-cert, PEM"))
        .args(internal_tls_args())
        .args(process_args())
}

impl EntrySettings {
    /// Reads the settings.
    pub(crate) fn read(matches: &ArgMatches) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::new(matches);
        let listen = reader.required("listen", SocketAddr::from(([127, 0, 0, 1], 0)));
        let settings = Self {
            process: ProcessSettings::read(&mut reader),
            caller_tls: read_tls(&mut reader, "tls-cert", "tls-key", Some(listen)),
            internal_tls: read_internal_tls(&mut reader, None),
            listen,
            platform: PlatformSettings::read(&mut reader),
            limits: RequestLimits::read(&mut reader),
            domain: reader.required("domain", CompactString::default()),
            subset: positive(&mut reader, "subset", 40),
            config_pause: reader.or("config-pause", Millis(5_000)),
            list_pause: reader.or("list-pause", Millis(1_000)),
            describe_pause: reader.or("describe-pause", Millis(2_500)),
            leave_notice: reader.or("leave-notice", Millis(2_000)),
            keep_claims: reader.or("keep-claims", Millis(7 * 24 * 3_600_000)),
        };
        reader.finish(settings)
    }
}

impl PlatformSettings {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        Self {
            table_url: url(reader, "table-url"),
            table: reader.or("table", "clementine".into()),
            objects_url: url(reader, "objects-url"),
            instances_url: url(reader, "instances-url"),
            calls_per_second: reader.or("platform-calls", 200),
            call_time: reader.or("platform-call-time", Millis(2_000)),
        }
    }
}

impl RequestLimits {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        Self {
            header_bytes: positive(reader, "header-bytes", 16 * 1024),
            body_bytes: positive(reader, "body-bytes", 4 * 1024 * 1024),
            prompt_bytes: positive(reader, "prompt-bytes", 1024 * 1024),
            answer_bytes: positive(reader, "answer-bytes", 8 * 1024 * 1024),
            in_progress: positive(reader, "requests", 8_192),
            deadline: reader.or("longest-deadline", Millis(600_000)),
        }
    }
}

fn positive(reader: &mut SettingsReader<'_>, name: &str, default: usize) -> usize {
    let value = reader.or(name, default);
    reader.require(value > 0, name, "must be at least 1");
    value
}

fn url(reader: &mut SettingsReader<'_>, name: &str) -> CompactString {
    let url: CompactString = reader.required(name, CompactString::default());
    let is_url = url.is_empty() || url.starts_with("http://");
    reader.require(is_url, name, "must begin with `http://`");
    url
}
