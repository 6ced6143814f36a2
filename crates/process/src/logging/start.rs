//! Logger configuration.

use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use spdlog::formatter::{FullFormatter, JsonFormatter};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

use super::LogFormat;

/// The logger could not be configured.
#[derive(Debug, Snafu)]
#[snafu(display("cannot configure logging: {source}"))]
pub struct LoggingError {
    source: spdlog::Error,
}

/// Output stream for log messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Configures the default logger of the process.
///
/// # Errors
///
/// Returns an error if the logging library rejects the configuration.
pub fn start_logging(
    target: LogTarget,
    format: LogFormat,
    level: Level,
) -> Result<(), LoggingError> {
    let stream = match target {
        LogTarget::Stdout => StdStream::Stdout,
        LogTarget::Stderr => StdStream::Stderr,
    };
    let builder = StdStreamSink::builder().std_stream(stream);
    let sink = match format {
        LogFormat::Text => builder.formatter(FullFormatter::new()).build(),
        LogFormat::Json => builder.formatter(JsonFormatter::new()).build(),
    };
    let sink = sink.context(LoggingSnafu)?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build()
        .context(LoggingSnafu)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
