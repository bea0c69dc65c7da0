//! A router instance, and the parsing of its lines, which depends on the instance's settings.

use crate::error::{missing, unknown_value, LineError};
use crate::message::{host_id, request_id, RosterEntry};
use wharfplank::routing::settings::{FieldError, FieldProblem, Fields, ProxyParameters};
use wharfplank::routing::{
    AttemptNo, AttemptOutcome, AttemptResult, ClassId, Endpoint, Event, GroupId, Micros, ProbeResult,
    Request, Role, Router, SessionKey,
};

const MICROS_PER_MILLI: Micros = 1000;
const MICROS_PER_SECOND: f64 = 1e6;

/// The values of a member's load report.
#[derive(Default)]
struct LoadReport {
    role: Option<Role>,
    position: Option<Micros>,
    queued: Option<f64>,
}

/// A router that the adapter runs.
pub struct Instance {
    pub router: Router,
    pub reader: LineReader,
}

/// Parses the lines for an instance according to its settings.
#[derive(Debug)]
pub struct LineReader {
    parameters: ProxyParameters,
}

impl LineReader {
    pub fn new(parameters: ProxyParameters) -> Self {
        LineReader { parameters }
    }

    pub fn endpoint(&self, entry: &RosterEntry) -> Endpoint {
        Endpoint {
            host: entry.host,
            group: entry.group,
            status: entry.status,
            primary: entry.primary,
            started_at: entry.started_at,
            local: entry.zone == self.parameters.zone,
            zone: 0,
        }
    }

    pub fn request(&self, fields: &Fields<'_>) -> Result<Event, LineError> {
        let name = fields.required::<String>("Cls")?;
        let class = self.parameters.class_names.iter().position(|class| *class == name);
        let class = class.ok_or(LineError::UnknownClass(name))?;
        let group = fields.number("GroupNo")?.ok_or_else(|| missing("GroupNo"))?;
        let last_write_millis = fields.number("WroteMsAgo")?.filter(|millis| *millis > 0.0);
        Ok(Event::Request(Request {
            id: request_id(fields)?,
            class: ClassId(class),
            group: GroupId(group as u64),
            session: fields.get("Key")?.map(SessionKey),
            deadline: fields.required("GiveUpAtUs")?,
            last_write_age: last_write_millis.map(|millis| (millis * 1e3).floor() as Micros),
            may_have_run: false,
        }))
    }

    pub fn attempt_result(&self, fields: &Fields<'_>) -> Result<Event, LineError> {
        let outcome = attempt_outcome(&fields.required::<String>("Rc")?)?;
        let mark: Micros = fields.get_or("Mark", 0)?;
        Ok(Event::AttemptFinished(AttemptResult {
            id: request_id(fields)?,
            attempt: AttemptNo(fields.required("SendNo")?),
            host: host_id(fields)?,
            outcome,
            terminal: fields.flag("Terminal")?,
            latency: fields.get_or("LatencyUs", 0)?,
            role: role_of_mark(mark),
            position: self.position_of_mark(mark),
        }))
    }

    /// Returns the log position of a mark. A mark is four times the milliseconds since the origin, plus the
    /// code of the role; 0 milliseconds stands for no position.
    fn position_of_mark(&self, mark: Micros) -> Option<Micros> {
        let millis = Some(mark / 4).filter(|millis| *millis > 0)?;
        Some(self.parameters.position_origin.saturating_add(millis.saturating_mul(MICROS_PER_MILLI)))
    }

    pub fn probe_result(&self, fields: &Fields<'_>) -> Result<Event, LineError> {
        let report = self.load_report(fields.text("Usage"))?;
        Ok(Event::ProbeFinished(ProbeResult {
            host: host_id(fields)?,
            answered: fields.required::<String>("Rc")? == "done",
            role: report.role,
            position: report.position,
            queued: report.queued,
        }))
    }

    /// Parses a load report: comma-separated values of the columns that the settings name.
    fn load_report(&self, text: &str) -> Result<LoadReport, LineError> {
        let mut report = LoadReport::default();
        if text.is_empty() {
            return Ok(report);
        }
        for (column, text) in self.parameters.report_columns.iter().zip(text.split(',')) {
            match (column.as_str(), parse_report_value(text)?) {
                ("x0", Some(seconds)) => {
                    let since_origin = (seconds * MICROS_PER_SECOND).floor() as Micros;
                    report.position = Some(self.parameters.position_origin.saturating_add(since_origin));
                }
                ("x1", Some(value)) => {
                    report.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica });
                }
                ("q", value) => report.queued = value,
                _ => {}
            }
        }
        Ok(report)
    }
}

fn attempt_outcome(code: &str) -> Result<AttemptOutcome, LineError> {
    match code {
        "done" => Ok(AttemptOutcome::Ok),
        "err" => Ok(AttemptOutcome::Error),
        "busy" => Ok(AttemptOutcome::Overloaded),
        "etimedout" => Ok(AttemptOutcome::Timeout),
        "econnrefused" => Ok(AttemptOutcome::ConnectFailed),
        "econnreset" => Ok(AttemptOutcome::Reset),
        "ecanceled" => Ok(AttemptOutcome::Cancelled),
        "skipped" => Ok(AttemptOutcome::NotSent),
        "enoent" => Ok(AttemptOutcome::Misrouted),
        other => Err(unknown_value("Rc", other)),
    }
}

fn role_of_mark(mark: Micros) -> Option<Role> {
    match mark % 4 {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    }
}

fn parse_report_value(text: &str) -> Result<Option<f64>, LineError> {
    if text.is_empty() {
        return Ok(None);
    }
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(FieldError::new("Usage", FieldProblem::Unreadable(text.to_string())).into()),
    }
}
