//! Translates between the wire's lines and the interface of the module.

use std::fmt::Write;
use wharfplank::routing::settings::{translate, FieldError, Fields, ProxyParameters};
use wharfplank::routing::{
    Action, AttemptNo, AttemptOutcome, AttemptResult, ClassId, Endpoint, EndpointStatus, Event, GroupId,
    HostId, Micros, ProbeResult, Request, RequestId, Role, SessionKey, Settings,
};

fn id(f: &Fields<'_>) -> Result<RequestId, FieldError> {
    request_id(f.find("Id").ok_or_else(|| FieldError::new("Id", "is missing"))?)
}

fn host(f: &Fields<'_>) -> Result<HostId, FieldError> {
    Ok(HostId(f.need("Host")?))
}

fn request_id(text: &str) -> Result<RequestId, FieldError> {
    let bytes = text.as_bytes().try_into();
    Ok(RequestId(bytes.map_err(|_| FieldError::new("Id", "is not 36 characters long"))?))
}

/// What a MEMBERSHIP line brings.
#[derive(Clone, Copy, Debug)]
pub enum Scope {
    Patch,
    Whole,
    Broken,
}

/// An entry of a ROSTER, before an instance makes its own of it.
#[derive(Debug)]
pub struct ListEntry {
    host: HostId,
    group: GroupId,
    status: EndpointStatus,
    primary: bool,
    started_at: Option<Micros>,
    zone: String,
}

/// A line of input.
#[derive(Debug)]
pub enum Message<'a> {
    Batch(Micros),
    Commit,
    Roster { page: u32, members: usize },
    Configure { who: u64, settings: Box<Settings>, dialect: Dialect },
    Exit { who: u64 },
    Membership { who: u64, page: u32, scope: Scope },
    Incoming { who: u64, fields: Fields<'a> },
    Resolved { who: u64, fields: Fields<'a> },
    Echo { who: u64, fields: Fields<'a> },
    Plain { who: u64, event: Event },
    PassOver { who: u64 },
}

/// Reads one line, other than an entry of a list.
pub fn parse(line: &str) -> Result<Message<'_>, FieldError> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    let fields = Fields::read(rest.split(' '))?;
    match name {
        "BATCH" => return Ok(Message::Batch(fields.need("NowUs")?)),
        "COMMIT" => return Ok(Message::Commit),
        "ROSTER" => {
            return Ok(Message::Roster { page: fields.need("Page")?, members: fields.need("Members")? })
        }
        "CONFIGURE" | "EXIT" | "MEMBERSHIP" | "INCOMING" | "RESOLVED" | "ECHO" | "TIMER" | "GONE"
        | "FIRST_BYTE" | "NEIGHBOUR_SAYS" => {}
        _ => return Err(FieldError::new("message", &format!("'{name}' is unknown"))),
    }
    let who = fields.need("Who")?;
    Ok(match name {
        "CONFIGURE" => {
            let (settings, terms) = translate(&fields)?;
            Message::Configure { who, settings: Box::new(settings), dialect: Dialect(terms) }
        }
        "EXIT" => Message::Exit { who },
        "MEMBERSHIP" => {
            let scope = match fields.need::<String>("Scope")?.as_str() {
                "patch" => Scope::Patch,
                "whole" | "stale_copy" => Scope::Whole,
                "broken" => Scope::Broken,
                other => return Err(FieldError::new("Scope", &format!("'{other}' is unknown"))),
            };
            let page = match scope {
                Scope::Broken => fields.or("Page", 0)?,
                _ => fields.need("Page")?,
            };
            Message::Membership { who, page, scope }
        }
        "INCOMING" => Message::Incoming { who, fields },
        "RESOLVED" => Message::Resolved { who, fields },
        "ECHO" => Message::Echo { who, fields },
        "TIMER" => Message::Plain { who, event: Event::Timer },
        "GONE" => Message::Plain { who, event: Event::ClientDisconnected(id(&fields)?) },
        _ => Message::PassOver { who },
    })
}

/// Reads an entry of a list.
pub fn list_entry(line: &str) -> Result<ListEntry, FieldError> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    if name != "M" {
        return Err(FieldError::new("Members", "counts more entries than follow"));
    }
    let fields = Fields::read(rest.split(' '))?;
    let status = match fields.need::<String>("Health")?.as_str() {
        "up" => EndpointStatus::Up,
        "draining" => EndpointStatus::Draining,
        "removed" => EndpointStatus::Removed,
        other => return Err(FieldError::new("Health", &format!("'{other}' is unknown"))),
    };
    Ok(ListEntry {
        host: host(&fields)?,
        group: GroupId(fields.or("Shard", 0)?),
        status,
        primary: fields.number("Head")? == Some(1.0),
        started_at: fields.get("LaunchedUs")?.filter(|t| *t > 0),
        zone: fields.text("Campus").to_string(),
    })
}

/// What an instance's settings say of how its lines are to be read.
#[derive(Debug)]
pub struct Dialect(ProxyParameters);

impl Dialect {
    pub fn entry(&self, entry: &ListEntry) -> Endpoint {
        Endpoint {
            host: entry.host,
            group: entry.group,
            status: entry.status,
            primary: entry.primary,
            started_at: entry.started_at,
            local: entry.zone == self.0.zone,
            zone: 0,
        }
    }

    pub fn request(&self, f: &Fields<'_>) -> Result<Event, FieldError> {
        let name = f.need::<String>("Cls")?;
        let class = self.0.class_names.iter().position(|n| *n == name);
        let class =
            class.ok_or_else(|| FieldError::new("Cls", &format!("'{name}' is not in the settings")))?;
        let group = f.number("GroupNo")?.ok_or_else(|| FieldError::new("GroupNo", "is missing"))?;
        let age = f.number("WroteMsAgo")?.filter(|ms| *ms > 0.0);
        Ok(Event::Request(Request {
            id: id(f)?,
            class: ClassId(class),
            group: GroupId(group as u64),
            session: f.get("Key")?.map(SessionKey),
            deadline: f.need("GiveUpAtUs")?,
            last_write_age: age.map(|ms| (ms * 1e3).floor() as Micros),
            may_have_run: false,
        }))
    }

    pub fn outcome(&self, f: &Fields<'_>) -> Result<Event, FieldError> {
        let outcome = match f.need::<String>("Rc")?.as_str() {
            "done" => AttemptOutcome::Ok,
            "err" => AttemptOutcome::Error,
            "busy" => AttemptOutcome::Overloaded,
            "etimedout" => AttemptOutcome::Timeout,
            "econnrefused" => AttemptOutcome::ConnectFailed,
            "econnreset" => AttemptOutcome::Reset,
            "ecanceled" => AttemptOutcome::Cancelled,
            "skipped" => AttemptOutcome::NotSent,
            "enoent" => AttemptOutcome::Misrouted,
            other => return Err(FieldError::new("Rc", &format!("'{other}' is unknown"))),
        };
        let mark: Micros = f.or("Mark", 0)?;
        let position = Some(mark / 4).filter(|ms| *ms > 0);
        Ok(Event::AttemptFinished(AttemptResult {
            id: id(f)?,
            attempt: AttemptNo(f.need("SendNo")?),
            host: host(f)?,
            outcome,
            terminal: f.flag("Terminal")?,
            latency: f.or("LatencyUs", 0)?,
            role: match mark % 4 {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => None,
            },
            position: position.map(|ms| self.0.position_origin.saturating_add(ms.saturating_mul(1000))),
        }))
    }

    pub fn probed(&self, f: &Fields<'_>) -> Result<Event, FieldError> {
        let row = f.text("Usage");
        let mut position = None;
        let mut role = None;
        let mut queued = None;
        if !row.is_empty() {
            for (column, text) in self.0.report_columns.iter().zip(row.split(',')) {
                let value: Option<f64> = if text.is_empty() { None } else { text.parse().ok() };
                if value.is_none() && !text.is_empty() {
                    return Err(FieldError::new("Usage", &format!("cannot be read from '{text}'")));
                }
                match (column.as_str(), value) {
                    ("x0", Some(s)) => {
                        position = Some(self.0.position_origin.saturating_add((s * 1e6).floor() as Micros))
                    }
                    ("q", value) => queued = value,
                    ("x1", Some(v)) => role = Some(if v >= 0.5 { Role::Primary } else { Role::Replica }),
                    _ => {}
                }
            }
        }
        Ok(Event::ProbeFinished(ProbeResult {
            host: host(f)?,
            answered: f.need::<String>("Rc")? == "done",
            role,
            position,
            queued,
        }))
    }
}

/// Writes one action as a line of the reply.
pub fn write_action(reply: &mut String, who: u64, action: &Action) {
    let text = |id: &'_ RequestId| String::from_utf8_lossy(&id.0).into_owned();
    // Writing to a String cannot fail.
    let _ = match action {
        Action::Send { id, host, timeout, .. } => {
            writeln!(reply, "RELAY Who={who} Id={} WithinUs={timeout} Host={}", text(id), host.0)
        }
        Action::Reject { id, retry_after, .. } => {
            writeln!(reply, "REJECT Who={who} Id={} HoldOffUs={retry_after}", text(id))
        }
        Action::Fail { id, .. } => writeln!(reply, "ABORT Who={who} Id={}", text(id)),
        Action::Cancel { id, attempt } => {
            writeln!(reply, "DROP_ATTEMPT Who={who} Id={} SendNo={}", text(id), attempt.0)
        }
        Action::Probe { host, .. } => writeln!(reply, "TEST Who={who} Host={}", host.0),
        Action::SetTimer(after) => writeln!(reply, "REMIND Who={who} Handle=sweep OffsetUs={after}"),
        Action::Subscribe => writeln!(reply, "FOLLOW Who={who} On=1"),
    };
}
