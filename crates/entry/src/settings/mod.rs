//! Command line flags and settings of the entry process.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use clementine_net::TlsFiles;
use clementine_objects::Millis;
use clementine_process::settings::{
    ProcessSettings, SettingsError, SettingsReader, internal_tls_args, process_args,
    read_internal_tls, read_tls, setting,
};
use compact_str::CompactString;

/// Settings of the entry process.
#[derive(Debug, Clone)]
pub(crate) struct EntrySettings {
    /// Settings common to all processes.
    pub(crate) process: ProcessSettings,
    /// Listen address for callers.
    pub(crate) listen: SocketAddr,
    /// TLS certificate and key of the listen address.
    pub(crate) caller_tls: Option<TlsFiles>,
    /// Certificates for mutual TLS with agents.
    pub(crate) internal_tls: Option<TlsFiles>,
    /// Addresses and call limits of the platform's services.
    pub(crate) platform: PlatformSettings,
    /// Limits on callers' requests.
    pub(crate) limits: RequestLimits,
    /// Failure domain of this instance.
    pub(crate) domain: CompactString,
    /// Number of backend servers per pool that this entry connects to.
    pub(crate) subset: usize,
    /// Interval between reads of the configuration's head row.
    pub(crate) config_poll_interval: Millis,
    /// Interval between reads of the instance list.
    pub(crate) list_poll_interval: Millis,
    /// Interval between `describe` calls to an agent, which return its status.
    pub(crate) status_poll_interval: Millis,
    /// Time between failing the readiness check and closing the listening
    /// socket.
    pub(crate) leave_notice: Millis,
    /// Retention time of claims.
    pub(crate) claim_retention: Millis,
}

/// Addresses and call limits of the platform's services.
#[derive(Debug, Clone)]
pub(crate) struct PlatformSettings {
    /// URL of the table service.
    pub(crate) table_url: CompactString,
    /// Name of the table.
    pub(crate) table: CompactString,
    /// URL of the bucket in the object store.
    pub(crate) objects_url: CompactString,
    /// URL of the instance list.
    pub(crate) instances_url: CompactString,
    /// Rate limit for calls to each service, per second.
    pub(crate) calls_per_second: u32,
    /// Timeout of a call.
    pub(crate) call_timeout: Millis,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestLimits {
    /// Maximum total size of the headers, in bytes.
    pub(crate) header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub(crate) body_bytes: usize,
    /// Maximum size of a prompt, in bytes.
    pub(crate) prompt_bytes: usize,
    /// Maximum size of a buffered response, in bytes.
    pub(crate) response_bytes: usize,
    /// Maximum number of requests in progress.
    pub(crate) in_progress: usize,
    /// Maximum deadline; longer requested deadlines are reduced to it.
    pub(crate) deadline: Millis,
}

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("clementine-entry")
        .about("Route the requests of callers to backend servers")
        .long_about(
            "Serves callers over HTTP, routes their requests to backend servers, and serves the \
             administration API. Every flag can also be set by an environment variable.",
        )
        .version(env!("CARGO_PKG_VERSION"))
        .arg(setting("listen", "ADDRESS", "Listen address for callers"))
        .arg(setting("domain", "NAME", "Failure domain of this instance"))
        .arg(setting("table-url", "URL", "URL of the table service (DynamoDB JSON API)"))
        .arg(setting("table", "NAME", "Name of the table [default: clementine]"))
        .arg(setting("objects-url", "URL", "URL of the object store's bucket (S3 API, path style)"))
        .arg(setting("instances-url", "URL", "URL of the instance list (EndpointSliceList format)"))
        .arg(setting(
            "platform-calls",
            "COUNT",
            "Maximum calls per second to each platform service [default: 200]",
        ))
        .arg(setting("platform-call-time", "DURATION", "Timeout of a platform call [default: 2s]"))
        .arg(setting("header-bytes", "BYTES", "Maximum size of the headers [default: 16384]"))
        .arg(setting("body-bytes", "BYTES", "Maximum size of a body [default: 4194304]"))
        .arg(setting("prompt-bytes", "BYTES", "Maximum size of a prompt [default: 1048576]"))
        .arg(setting(
            "answer-bytes",
            "BYTES",
            "Maximum size of a buffered response [default: 8388608]",
        ))
        .arg(setting("requests", "COUNT", "Maximum requests in progress [default: 8192]"))
        .arg(setting(
            "longest-deadline",
            "DURATION",
            "Maximum deadline of a request [default: 10m]",
        ))
        .arg(setting(
            "subset",
            "COUNT",
            "Number of backend servers per pool to connect to [default: 40]",
        ))
        .arg(setting(
            "config-pause",
            "DURATION",
            "Interval between reads of the configuration's head row [default: 5s]",
        ))
        .arg(setting(
            "list-pause",
            "DURATION",
            "Interval between reads of the instance list [default: 1s]",
        ))
        .arg(setting(
            "describe-pause",
            "DURATION",
            "Interval between status requests to an agent [default: 2500ms]",
        ))
        .arg(setting(
            "leave-notice",
            "DURATION",
            "Time between failing /readyz and closing the listening socket [default: 2s]",
        ))
        .arg(setting("keep-claims", "DURATION", "Retention time of claims [default: 168h]"))
        .arg(setting("tls-cert", "FILE", "TLS certificate for --listen, PEM"))
        .arg(setting("tls-key", "FILE", "Private key of --tls-cert, PEM"))
        .args(internal_tls_args())
        .args(process_args())
}

impl EntrySettings {
    /// Reads the settings from flags and environment variables.
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
            config_poll_interval: reader.or("config-pause", Millis(5_000)),
            list_poll_interval: reader.or("list-pause", Millis(1_000)),
            status_poll_interval: reader.or("describe-pause", Millis(2_500)),
            leave_notice: reader.or("leave-notice", Millis(2_000)),
            claim_retention: reader.or("keep-claims", Millis(7 * 24 * 3_600_000)),
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
            call_timeout: reader.or("platform-call-time", Millis(2_000)),
        }
    }
}

impl RequestLimits {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        Self {
            header_bytes: positive(reader, "header-bytes", 16 * 1024),
            body_bytes: positive(reader, "body-bytes", 4 * 1024 * 1024),
            prompt_bytes: positive(reader, "prompt-bytes", 1024 * 1024),
            response_bytes: positive(reader, "answer-bytes", 8 * 1024 * 1024),
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
