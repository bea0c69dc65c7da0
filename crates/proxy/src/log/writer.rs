//! Starts the log's writer.

use super::format::LineFormat;
use thiserror::Error;
use tracing::subscriber::SetGlobalDefaultError;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use wharfplank_settings::{LogLevel, LogSettings};

/// The maximum number of lines that wait to be written; further ones are counted and dropped.
const QUEUED_LINES: usize = 1024;

/// An error on starting the log.
#[derive(Debug, Error)]
#[error("log: {0}")]
pub struct LogError(#[from] SetGlobalDefaultError);

/// Starts the writer to standard error on its own thread, so that a slow reader does not stall serving.
/// Queued lines are written when the returned guard is dropped.
///
/// # Errors
/// Fails if the process already has a log.
pub fn start(settings: &LogSettings) -> Result<WorkerGuard, LogError> {
    let builder =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUED_LINES).thread_name("log");
    let (writer, guard) = builder.finish(std::io::stderr());
    let dropped_lines = writer.error_counter();
    let format = LineFormat::new(settings.format, move || dropped_lines.dropped_lines());
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(max_level(settings.level))
        .with_writer(writer)
        .event_format(format)
        .finish();
    tracing::subscriber::set_global_default(subscriber)?;
    Ok(guard)
}

fn max_level(level: LogLevel) -> tracing::Level {
    match level {
        LogLevel::Error => tracing::Level::ERROR,
        LogLevel::Warn => tracing::Level::WARN,
        LogLevel::Info => tracing::Level::INFO,
        LogLevel::Debug => tracing::Level::DEBUG,
    }
}
