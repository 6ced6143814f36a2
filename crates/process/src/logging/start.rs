//! Logger configuration.

use std::io;
use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use spdlog::formatter::{FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, StdStream, StdStreamSink, WriteSink};
use spdlog::{Level, LevelFilter, Logger, warn};

use super::{LogFormat, PipeOutput};

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
/// A reader of a pipe or socket that stands still does not stop the process: lines are
/// dropped when too many wait, and one line tells how many.
///
/// # Errors
///
/// Returns an error if the logging library rejects the configuration.
pub fn start_logging(
    target: LogTarget,
    format: LogFormat,
    level: Level,
) -> Result<(), LoggingError> {
    let mut logger = Logger::builder();
    logger.level_filter(LevelFilter::MoreSevereEqual(level));
    let pipe = match target {
        LogTarget::Stdout => PipeOutput::new(io::stdout(), report_dropped),
        LogTarget::Stderr => PipeOutput::new(io::stderr(), report_dropped),
    };
    let sink: Arc<dyn Sink> = if let Some(pipe) = pipe {
        // The output keeps no lines back that the reader has room for.
        logger.flush_level_filter(LevelFilter::Off);
        Arc::new(WriteSink::builder().target(pipe).build().context(LoggingSnafu)?)
    } else {
        logger.flush_level_filter(LevelFilter::All);
        let stream = match target {
            LogTarget::Stdout => StdStream::Stdout,
            LogTarget::Stderr => StdStream::Stderr,
        };
        Arc::new(StdStreamSink::builder().std_stream(stream).build().context(LoggingSnafu)?)
    };
    sink.set_formatter(match format {
        LogFormat::Text => Box::new(FullFormatter::new()),
        LogFormat::Json => Box::new(JsonFormatter::new()),
    });
    logger.sink(sink);
    spdlog::set_default_logger(Arc::new(logger.build().context(LoggingSnafu)?));
    Ok(())
}

fn report_dropped(lines: u64) {
    warn!("log: dropped={} lines while the reader stood still", lines);
}
