//! Translates between the wire's lines and the interface of the module.

use std::fmt::Write;
use wharfplank::routing::settings::{translate, Fault, Fields, Terms};
use wharfplank::routing::{
    Action, AttemptNo, ClassId, Ending, Entry, Event, GroupId, HostId, Listed, Micros, Outcome, Probed,
    Request, RequestId, Role, SessionKey, Settings,
};

fn id(f: &Fields<'_>) -> Result<RequestId, Fault> {
    request_id(f.find("Id").ok_or_else(|| Fault::new("Id", "is missing"))?)
}

fn host(f: &Fields<'_>) -> Result<HostId, Fault> {
    Ok(HostId(f.need("Host")?))
}

fn request_id(text: &str) -> Result<RequestId, Fault> {
    let bytes = text.as_bytes().try_into();
    Ok(RequestId(bytes.map_err(|_| Fault::new("Id", "is not 36 characters long"))?))
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
    listed: Listed,
    primary: bool,
    launched: Option<Micros>,
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
pub fn parse(line: &str) -> Result<Message<'_>, Fault> {
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
        _ => return Err(Fault::new("message", &format!("'{name}' is unknown"))),
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
                other => return Err(Fault::new("Scope", &format!("'{other}' is unknown"))),
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
        "GONE" => Message::Plain { who, event: Event::Gone(id(&fields)?) },
        _ => Message::PassOver { who },
    })
}

/// Reads an entry of a list.
pub fn list_entry(line: &str) -> Result<ListEntry, Fault> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    if name != "M" {
        return Err(Fault::new("Members", "counts more entries than follow"));
    }
    let fields = Fields::read(rest.split(' '))?;
    let listed = match fields.need::<String>("Health")?.as_str() {
        "up" => Listed::Up,
        "draining" => Listed::Draining,
        "removed" => Listed::Removed,
        other => return Err(Fault::new("Health", &format!("'{other}' is unknown"))),
    };
    Ok(ListEntry {
        host: host(&fields)?,
        group: GroupId(fields.or("Shard", 0)?),
        listed,
        primary: fields.number("Head")? == Some(1.0),
        launched: fields.get("LaunchedUs")?.filter(|t| *t > 0),
        zone: fields.text("Campus").to_string(),
    })
}

/// What an instance's settings say of how its lines are to be read.
#[derive(Debug)]
pub struct Dialect(Terms);

impl Dialect {
    pub fn entry(&self, entry: &ListEntry) -> Entry {
        Entry {
            host: entry.host,
            group: entry.group,
            listed: entry.listed,
            primary: entry.primary,
            launched: entry.launched,
            local: entry.zone == self.0.zone,
            zone: 0,
        }
    }

    pub fn request(&self, f: &Fields<'_>) -> Result<Event, Fault> {
        let name = f.need::<String>("Cls")?;
        let class = self.0.names.iter().position(|n| *n == name);
        let class = class.ok_or_else(|| Fault::new("Cls", &format!("'{name}' is not in the settings")))?;
        let group = f.number("GroupNo")?.ok_or_else(|| Fault::new("GroupNo", "is missing"))?;
        let age = f.number("WroteMsAgo")?.filter(|ms| *ms > 0.0);
        Ok(Event::Request(Request {
            id: id(f)?,
            class: ClassId(class),
            group: GroupId(group as u64),
            key: f.get("Key")?.map(SessionKey),
            give_up_at: f.need("GiveUpAtUs")?,
            write_age: age.map(|ms| (ms * 1e3).floor() as Micros),
            doubted: false,
        }))
    }

    pub fn outcome(&self, f: &Fields<'_>) -> Result<Event, Fault> {
        let ending = match f.need::<String>("Rc")?.as_str() {
            "done" => Ending::Ok,
            "err" => Ending::Error,
            "busy" => Ending::Full,
            "etimedout" => Ending::Timeout,
            "econnrefused" => Ending::ConnectFailed,
            "econnreset" => Ending::Reset,
            "ecanceled" => Ending::Cancelled,
            "skipped" => Ending::Moot,
            "enoent" => Ending::Miss,
            other => return Err(Fault::new("Rc", &format!("'{other}' is unknown"))),
        };
        let mark: Micros = f.or("Mark", 0)?;
        let position = Some(mark / 4).filter(|ms| *ms > 0);
        Ok(Event::Outcome(Outcome {
            id: id(f)?,
            attempt: AttemptNo(f.need("SendNo")?),
            host: host(f)?,
            ending,
            terminal: f.flag("Terminal")?,
            latency: f.or("LatencyUs", 0)?,
            role: match mark % 4 {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => None,
            },
            position: position.map(|ms| self.0.origin.saturating_add(ms.saturating_mul(1000))),
        }))
    }

    pub fn probed(&self, f: &Fields<'_>) -> Result<Event, Fault> {
        let row = f.text("Usage");
        let mut position = None;
        let mut role = None;
        let mut queue = None;
        if !row.is_empty() {
            for (column, text) in self.0.columns.iter().zip(row.split(',')) {
                let value: Option<f64> = if text.is_empty() { None } else { text.parse().ok() };
                if value.is_none() && !text.is_empty() {
                    return Err(Fault::new("Usage", &format!("cannot be read from '{text}'")));
                }
                match (column.as_str(), value) {
                    ("x0", Some(s)) => {
                        position = Some(self.0.origin.saturating_add((s * 1e6).floor() as Micros))
                    }
                    ("q", value) => queue = value,
                    ("x1", Some(v)) => role = Some(if v >= 0.5 { Role::Primary } else { Role::Replica }),
                    _ => {}
                }
            }
        }
        Ok(Event::Probed(Probed {
            host: host(f)?,
            ok: f.need::<String>("Rc")? == "done",
            role,
            position,
            queue,
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
        Action::Refuse { id, retry_after, .. } => {
            writeln!(reply, "REJECT Who={who} Id={} HoldOffUs={retry_after}", text(id))
        }
        Action::Fail(id, _) => writeln!(reply, "ABORT Who={who} Id={}", text(id)),
        Action::Cancel { id, attempt } => {
            writeln!(reply, "DROP_ATTEMPT Who={who} Id={} SendNo={}", text(id), attempt.0)
        }
        Action::Probe(host, _) => writeln!(reply, "TEST Who={who} Host={}", host.0),
        Action::Timer(after) => writeln!(reply, "REMIND Who={who} Handle=sweep OffsetUs={after}"),
        Action::Follow => writeln!(reply, "FOLLOW Who={who} On=1"),
    };
}
