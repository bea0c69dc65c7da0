//! The log on standard error: one line at the start, and one for each ended connection, as text or as JSON.

mod fleet;
mod release;

pub use fleet::{fleet, peers_bound, replica};
pub use release::{release, release_bound, words};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::SystemTime;
use thiserror::Error;
use tracing::field::{Field, Visit};
use tracing::subscriber::SetGlobalDefaultError;
use tracing::{debug, info, warn, Event, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::{FormatEvent, FormatFields, Writer};
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::registry::LookupSpan;
use wharfplank_discovery::SuspectReason;
use wharfplank_settings::{Format, Level};
use wharfplank_transport::ConnectionEnd;

/// Lines that may wait to be written; further ones are counted and dropped.
const LINES: usize = 1024;

/// Why the log cannot be started.
#[derive(Debug, Error)]
#[error("log: {0}")]
pub struct LogError(#[from] SetGlobalDefaultError);

/// Starts the writer: a thread of its own, so that whoever reads standard error slowly does not stall serving. What
/// waits is written when the guard ends.
pub fn start(settings: &wharfplank_settings::Log) -> Result<WorkerGuard, LogError> {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES).thread_name("log");
    let (writer, guard) = builder.finish(std::io::stderr());
    let level = match settings.level {
        Level::Error => tracing::Level::ERROR,
        Level::Warn => tracing::Level::WARN,
        Level::Info => tracing::Level::INFO,
        Level::Debug => tracing::Level::DEBUG,
    };
    let dropped = writer.error_counter();
    let dropped = Box::new(move || dropped.dropped_lines());
    let lines = Lines { json: settings.format == Format::Json, dropped, told: AtomicUsize::new(0) };
    let all = tracing_subscriber::fmt().with_max_level(level).with_writer(writer).event_format(lines);
    tracing::subscriber::set_global_default(all.finish())?;
    Ok(guard)
}

/// How a line looks: the message and its fields, and the lines dropped since the last one that was written.
struct Lines {
    json: bool,
    dropped: Box<dyn Fn() -> usize + Send + Sync>,
    /// Lines dropped that a line has told of.
    told: AtomicUsize,
}

#[derive(Default)]
struct Parts(Vec<(&'static str, serde_json::Value)>);

impl Visit for Parts {
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

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut parts = Parts::default();
        event.record(&mut parts);
        let dropped = (self.dropped)();
        let new = dropped - self.told.swap(dropped, Ordering::Relaxed).min(dropped);
        if new > 0 {
            parts.0.push(("lines_dropped", new.into()));
        }
        if self.json {
            let now =
                SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
            let mut all = serde_json::Map::new();
            all.insert("time_ms".to_string(), now.into());
            all.insert("level".to_string(), event.metadata().level().as_str().to_lowercase().into());
            let named = |(name, value): (&str, _)| {
                (if name == "message" { "event" } else { name }.to_string(), value)
            };
            all.extend(parts.0.into_iter().map(named));
            return writeln!(out, "{}", serde_json::Value::Object(all));
        }
        for (i, (name, value)) in parts.0.iter().enumerate() {
            let gap = if i > 0 { " " } else { "" };
            match (name, value) {
                (&"message", serde_json::Value::String(text)) => write!(out, "{gap}{text}")?,
                (name, serde_json::Value::String(text)) if !text.contains([' ', '"']) => {
                    write!(out, "{gap}{name}={text}")?
                }
                (name, value) => write!(out, "{gap}{name}={value}")?,
            }
        }
        writeln!(out)
    }
}

/// Notes that clients can connect.
pub fn started(listen: SocketAddr) {
    info!(listen = %listen, "started");
}

/// Notes that the configuration was read anew.
pub fn reloaded(discovery: SocketAddr) {
    info!(discovery = %discovery, "reloaded");
}

/// Notes that a new configuration cannot be used: the old one stays.
pub fn kept(what: &str) {
    warn!(kept = "old", what, "reload_failed");
}

/// Notes how old the list of members is, or that an answer of discovery is not believed as it is, and how many
/// members it would take out of use.
pub fn list(age: Option<&str>, doubt: Option<SuspectReason>, lacks: usize) {
    let doubt = doubt.map_or("-", SuspectReason::as_str);
    warn!(age = age.unwrap_or("-"), doubt, lacks = lacks as u64, "list");
}

/// Notes where operators call.
pub fn admin(listen: SocketAddr) {
    info!(listen = %listen, "admin_started");
}

/// Notes what an operator's call on a member came to.
pub fn operator(member: &str, what: &str) {
    info!(member, what, "operator");
}

/// Notes which members are left out, and why, at the time when operators read the figures.
pub fn avoided(members: &str) {
    debug!(members = if members.is_empty() { "-" } else { members }, "avoided");
}

/// Notes a step of one process's replacement by another, and how many members are out by hand.
pub fn replacement(what: &str, cordoned: usize) {
    info!(what, cordoned = cordoned as u64, "replacement");
}

/// Notes an ended connection.
pub fn ended(end: &ConnectionEnd<'_>) {
    let name = end.remote.member_name().filter(|name| !name.is_empty()).unwrap_or("-");
    let age_ms = end.started_at.elapsed().as_millis() as u64;
    info!(
        side = end.remote.kind(),
        peer = %end.address,
        name,
        reason = end.reason,
        requests = end.requests,
        age_ms,
        "ended"
    );
}

/// Notes what was done in the second before that time.
pub fn counts(at_ms: u64, what: &str) {
    debug!(at_ms, what, "counts");
}

/// Notes a request that was given up: the client's id, class, group, how and why, how long it was held, and how each
/// attempt ended at which member.
pub fn given_up(id: &str, class: &str, group: u64, how: (&str, &str), took_ms: i64, endings: &str) {
    let (what, why) = how;
    let endings = if endings.is_empty() { "-" } else { endings };
    debug!(id, class, group, what, why, took_ms, endings, "given_up");
}

/// Notes something about the records.
pub fn records(what: &str) {
    warn!(what, "records");
}
