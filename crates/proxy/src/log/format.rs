//! The format of a log line: the event's name and its fields, as text or as JSON.

use super::unix_ms;
use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;
use wharfplank_settings::LogFormat;

/// The field under which `tracing` records the name of an event.
const EVENT_FIELD: &str = "message";

/// The formatter of events. A line also states the number of lines dropped since the last written line.
pub(super) struct LineFormat {
    format: LogFormat,
    /// The number of lines dropped since the start.
    dropped_lines: Box<dyn Fn() -> usize + Send + Sync>,
    /// The number of dropped lines that have been reported.
    reported_drops: AtomicUsize,
}

impl LineFormat {
    pub(super) fn new(format: LogFormat, dropped_lines: impl Fn() -> usize + Send + Sync + 'static) -> Self {
        LineFormat { format, dropped_lines: Box::new(dropped_lines), reported_drops: AtomicUsize::new(0) }
    }

    /// Returns the number of dropped lines that have not been reported, and marks them as reported.
    fn take_unreported_drops(&self) -> usize {
        let dropped = (self.dropped_lines)();
        let reported = self.reported_drops.swap(dropped, Ordering::Relaxed);
        dropped - reported.min(dropped)
    }
}

/// The fields of an event in order, including the event's name.
#[derive(Default)]
struct Fields(Vec<(&'static str, serde_json::Value)>);

impl Visit for Fields {
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.0.push((field.name(), value.into()));
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.0.push((field.name(), value.into()));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.0.push((field.name(), value.into()));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.0.push((field.name(), format!("{value:?}").into()));
    }
}

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut fields = Fields::default();
        event.record(&mut fields);
        let dropped = self.take_unreported_drops();
        if dropped > 0 {
            fields.0.push(("lines_dropped", dropped.into()));
        }
        match self.format {
            LogFormat::Json => write_json(out, event, fields),
            LogFormat::Text => write_text(out, &fields),
        }
    }
}

fn write_json(mut out: Writer<'_>, event: &Event<'_>, fields: Fields) -> fmt::Result {
    let mut line = serde_json::Map::new();
    line.insert("time_ms".to_string(), unix_ms().into());
    line.insert("level".to_string(), event.metadata().level().as_str().to_lowercase().into());
    for (name, value) in fields.0 {
        let key = if name == EVENT_FIELD { "event" } else { name };
        line.insert(key.to_string(), value);
    }
    writeln!(out, "{}", serde_json::Value::Object(line))
}

fn write_text(mut out: Writer<'_>, fields: &Fields) -> fmt::Result {
    for (index, (name, value)) in fields.0.iter().enumerate() {
        let separator = if index > 0 { " " } else { "" };
        match value {
            serde_json::Value::String(text) if *name == EVENT_FIELD => write!(out, "{separator}{text}")?,
            serde_json::Value::String(text) if !text.contains([' ', '"']) => {
                write!(out, "{separator}{name}={text}")?;
            }
            value => write!(out, "{separator}{name}={value}")?,
        }
    }
    writeln!(out)
}
