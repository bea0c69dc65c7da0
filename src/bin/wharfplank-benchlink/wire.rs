//! Translates between the wire's lines and the interface of the module.

use wharfplank::routing::{
    Action, AttemptNo, Class, ClassId, Consistency, Effect, Ending, Entry, Event, GroupId, HostId, Listed,
    Micros, Outcome, Probed, Request, RequestId, Role, SessionKey, Settings, WhenBehind,
};
use std::fmt::{self, Write};
use std::str::FromStr;

/// What is wrong with a line, and in which of its fields.
#[derive(Debug)]
pub struct Fault {
    field: String,
    what: String,
}

impl Fault {
    pub fn new(field: &str, what: &str) -> Self {
        Fault { field: field.to_string(), what: what.to_string() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field {}: {}", self.field, self.what)
    }
}

/// The name=value pairs of a line.
#[derive(Debug, Default)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    fn read(parts: impl Iterator<Item = &'a str>) -> Result<Self, Fault> {
        let pair = |part: &'a str| part.split_once('=').ok_or_else(|| Fault::new(part, "has no value"));
        Ok(Fields(parts.filter(|p| !p.is_empty()).map(pair).collect::<Result<_, _>>()?))
    }

    /// The last value of that name.
    fn find(&self, name: &str) -> Option<&'a str> {
        self.0.iter().rev().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    fn get<T: FromStr>(&self, name: &str) -> Result<Option<T>, Fault> {
        let Some(text) = self.find(name).filter(|t| !t.is_empty()) else {
            return Ok(None);
        };
        let value = text.parse().map_err(|_| Fault::new(name, &format!("cannot be read from '{text}'")))?;
        Ok(Some(value))
    }

    fn need<T: FromStr>(&self, name: &str) -> Result<T, Fault> {
        self.get(name)?.ok_or_else(|| Fault::new(name, "is missing"))
    }

    fn or<T: FromStr>(&self, name: &str, absent: T) -> Result<T, Fault> {
        Ok(self.get(name)?.unwrap_or(absent))
    }

    fn number(&self, name: &str) -> Result<Option<f64>, Fault> {
        match self.get::<f64>(name)? {
            Some(value) if !value.is_finite() => Err(Fault::new(name, "is not a finite number")),
            other => Ok(other),
        }
    }

    fn flag(&self, name: &str) -> Result<bool, Fault> {
        match self.find(name) {
            None | Some("" | "0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(Fault::new(name, &format!("cannot be read from '{other}'"))),
        }
    }

    fn text(&self, name: &str) -> &'a str {
        self.find(name).unwrap_or_default()
    }

    fn list(&self, name: &str) -> Vec<&'a str> {
        self.text(name).split(',').filter(|t| !t.is_empty()).collect()
    }

    fn id(&self) -> Result<RequestId, Fault> {
        request_id(self.find("Id").ok_or_else(|| Fault::new("Id", "is missing"))?)
    }

    fn host(&self) -> Result<HostId, Fault> {
        Ok(HostId(self.need("Host")?))
    }
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
            let (settings, dialect) = configure(&fields)?;
            Message::Configure { who, settings: Box::new(settings), dialect }
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
        "GONE" => Message::Plain { who, event: Event::Gone(fields.id()?) },
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
        host: fields.host()?,
        group: GroupId(fields.or("Shard", 0)?),
        listed,
        primary: fields.number("Head")? == Some(1.0),
        launched: fields.get("LaunchedUs")?.filter(|t| *t > 0),
        zone: fields.text("Campus").to_string(),
    })
}

fn configure(f: &Fields<'_>) -> Result<(Settings, Dialect), Fault> {
    let count: usize = f.or("Classes.count", 0)?;
    let consistencies = f.list("Specifics.Consistency");
    let bounds = f.list("Specifics.MaxAgeUs");
    let mut classes = Vec::new();
    let mut names = Vec::new();
    for i in 0..count {
        let at = |key: &str| format!("Classes.{i}.{key}");
        let number = |key: &str| Ok(f.number(&at(key))?.unwrap_or(0.0));
        let bound = bounds.get(i).map_or(Ok(0), |t| t.parse());
        let bound = bound.map_err(|_| Fault::new("Specifics.MaxAgeUs", "holds no list of spans"))?;
        let consistency = match consistencies.get(i).copied().unwrap_or("eventual") {
            "eventual" => Consistency::Any,
            "lag_bound" => Consistency::Bounded(bound),
            "causal" => Consistency::Session,
            "strong" => Consistency::Fresh,
            "mutate" => Consistency::Write,
            other => return Err(Fault::new("Specifics.Consistency", &format!("'{other}' is unknown"))),
        };
        let effect = match f.text(&at("Repeat")) {
            "retryable" => Effect::Safe,
            "dedup" => Effect::Keyed {
                window: f.or(&at("MemorySpanUs"), 0)?,
                everywhere: f.text(&at("Group")) == "all",
            },
            _ => Effect::Unsafe,
        };
        let deadline = f.or(&at("DeadlineUs"), 0)?;
        classes.push(Class {
            consistency,
            effect,
            aim: f.or(&at("TargetUs"), deadline)?,
            worth: number("Worth")?,
            late_worth: number("LateValue")?,
        });
        names.push(f.text(&at("Name")).to_string());
    }
    let columns = f.list("Report.Columns").into_iter().map(str::to_string).collect();
    let retry_after = f.flag("Allowed.RetryAfter")?;
    let settings = Settings {
        seed: f.or("RngSeed", 0)?,
        routers: f.or("Balancers", 1)?,
        classes,
        max_attempts: f.or("Allowed.MaxAttempts", u32::MAX)?,
        may_cancel: f.flag("Allowed.MayCancel")?,
        may_probe: f.flag("Allowed.MayProbe")?,
        must_follow: f.text("Discovery") == "ask",
        max_retry_after: if retry_after { f.or("Allowed.MaxRetryAfterUs", 0)? } else { 0 },
        cold_from: f.number("Rules.ColdFrom")?.unwrap_or(1.0),
        cold_span: f.or("Rules.ColdUs", 0)?,
        fall_multiple: f.number("Rules.FallMultiple")?.unwrap_or(1.0),
        fall_span: f.or("Rules.OverloadForUs", 0)?,
        when_behind: match f.text("Specifics.WhenBehind") {
            "bounce" | "await" => WhenBehind::Checks,
            _ => WhenBehind::Answers,
        },
        gone_is_advice: f.flag("Rules.GoneIsAdvice")?,
        tokens_carried: f.text("Specifics.SessionMarks") == "brought",
    };
    let origin = f.or("Specifics.OriginTimeUs", 0)?;
    Ok((settings, Dialect { names, zone: f.text("Az").to_string(), columns, origin }))
}

/// What an instance's settings say of how its lines are to be read.
#[derive(Debug)]
pub struct Dialect {
    names: Vec<String>,
    zone: String,
    columns: Vec<String>,
    origin: Micros,
}

impl Dialect {
    pub fn entry(&self, entry: &ListEntry) -> Entry {
        Entry {
            host: entry.host,
            group: entry.group,
            listed: entry.listed,
            primary: entry.primary,
            launched: entry.launched,
            local: entry.zone == self.zone,
        }
    }

    pub fn request(&self, f: &Fields<'_>) -> Result<Event, Fault> {
        let name = f.need::<String>("Cls")?;
        let class = self.names.iter().position(|n| *n == name);
        let class = class.ok_or_else(|| Fault::new("Cls", &format!("'{name}' is not in the settings")))?;
        let group = f.number("GroupNo")?.ok_or_else(|| Fault::new("GroupNo", "is missing"))?;
        let age = f.number("WroteMsAgo")?.filter(|ms| *ms > 0.0);
        Ok(Event::Request(Request {
            id: f.id()?,
            class: ClassId(class),
            group: GroupId(group as u64),
            key: f.get("Key")?.map(SessionKey),
            give_up_at: f.need("GiveUpAtUs")?,
            write_age: age.map(|ms| (ms * 1e3).floor() as Micros),
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
            id: f.id()?,
            attempt: AttemptNo(f.need("SendNo")?),
            host: f.host()?,
            ending,
            terminal: f.flag("Terminal")?,
            latency: f.or("LatencyUs", 0)?,
            role: match mark % 4 {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => None,
            },
            position: position.map(|ms| self.origin.saturating_add(ms.saturating_mul(1000))),
        }))
    }

    pub fn probed(&self, f: &Fields<'_>) -> Result<Event, Fault> {
        let row = f.text("Usage");
        let mut position = None;
        let mut role = None;
        let mut queue = None;
        if !row.is_empty() {
            for (column, text) in self.columns.iter().zip(row.split(',')) {
                let value: Option<f64> = if text.is_empty() { None } else { text.parse().ok() };
                if value.is_none() && !text.is_empty() {
                    return Err(Fault::new("Usage", &format!("cannot be read from '{text}'")));
                }
                match (column.as_str(), value) {
                    ("x0", Some(s)) => {
                        position = Some(self.origin.saturating_add((s * 1e6).floor() as Micros))
                    }
                    ("q", value) => queue = value,
                    ("x1", Some(v)) => role = Some(if v >= 0.5 { Role::Primary } else { Role::Replica }),
                    _ => {}
                }
            }
        }
        Ok(Event::Probed(Probed {
            host: f.host()?,
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
        Action::Send { id, host, timeout } => {
            writeln!(reply, "RELAY Who={who} Id={} WithinUs={timeout} Host={}", text(id), host.0)
        }
        Action::Refuse { id, retry_after } => {
            writeln!(reply, "REJECT Who={who} Id={} HoldOffUs={retry_after}", text(id))
        }
        Action::Fail(id) => writeln!(reply, "ABORT Who={who} Id={}", text(id)),
        Action::Cancel { id, attempt } => {
            writeln!(reply, "DROP_ATTEMPT Who={who} Id={} SendNo={}", text(id), attempt.0)
        }
        Action::Probe(host) => writeln!(reply, "TEST Who={who} Host={}", host.0),
        Action::Timer(after) => writeln!(reply, "REMIND Who={who} Handle=sweep OffsetUs={after}"),
        Action::Follow => writeln!(reply, "FOLLOW Who={who} On=1"),
    };
}
