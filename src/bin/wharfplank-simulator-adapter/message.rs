//! Parsing of the simulator's lines.

use crate::error::{missing, unknown_value, LineError};
use crate::instance::LineReader;
use wharfplank::routing::settings::{translate, Fields};
use wharfplank::routing::{EndpointStatus, Event, GroupId, HostId, Micros, RequestId, Settings};

/// The scope of a MEMBERSHIP line.
#[derive(Clone, Copy, Debug)]
pub enum MembershipScope {
    /// The line refers to a list of changed entries.
    Patch,
    /// The line refers to a complete endpoint list.
    Complete,
    /// The subscription to the endpoint list was lost.
    Broken,
}

/// An entry of a ROSTER, which is converted to an [`Endpoint`](wharfplank::routing::Endpoint) for each
/// instance.
#[derive(Debug)]
pub struct RosterEntry {
    pub host: HostId,
    pub group: GroupId,
    pub status: EndpointStatus,
    pub primary: bool,
    pub started_at: Option<Micros>,
    pub zone: String,
}

/// A message of the simulator. `who` is the number of a router instance.
#[derive(Debug)]
pub enum Message<'a> {
    BatchStart(Micros),
    Commit,
    Roster {
        page: u32,
        members: usize,
    },
    Configure {
        who: u64,
        settings: Box<Settings>,
        reader: LineReader,
    },
    Exit {
        who: u64,
    },
    Membership {
        who: u64,
        page: u32,
        scope: MembershipScope,
    },
    Request {
        who: u64,
        fields: Fields<'a>,
    },
    AttemptFinished {
        who: u64,
        fields: Fields<'a>,
    },
    ProbeFinished {
        who: u64,
        fields: Fields<'a>,
    },
    Event {
        who: u64,
        event: Event,
    },
    /// A message that has no effect on a router.
    Ignored {
        who: u64,
    },
}

/// Parses a line that is not an entry of a ROSTER.
pub fn parse(line: &str) -> Result<Message<'_>, LineError> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    let fields = Fields::from_pairs(rest.split(' '))?;
    match name {
        "BATCH" => Ok(Message::BatchStart(fields.required("NowUs")?)),
        "COMMIT" => Ok(Message::Commit),
        "ROSTER" => {
            Ok(Message::Roster { page: fields.required("Page")?, members: fields.required("Members")? })
        }
        "CONFIGURE" | "EXIT" | "MEMBERSHIP" | "INCOMING" | "RESOLVED" | "ECHO" | "TIMER" | "GONE"
        | "FIRST_BYTE" | "NEIGHBOUR_SAYS" => parse_for_instance(name, fields),
        _ => Err(LineError::UnknownMessage(name.to_string())),
    }
}

/// Parses a message for one instance.
fn parse_for_instance<'a>(name: &str, fields: Fields<'a>) -> Result<Message<'a>, LineError> {
    let who = fields.required("Who")?;
    Ok(match name {
        "CONFIGURE" => {
            let (settings, parameters) = translate(&fields)?;
            Message::Configure { who, settings: Box::new(settings), reader: LineReader::new(parameters) }
        }
        "EXIT" => Message::Exit { who },
        "MEMBERSHIP" => parse_membership(who, &fields)?,
        "INCOMING" => Message::Request { who, fields },
        "RESOLVED" => Message::AttemptFinished { who, fields },
        "ECHO" => Message::ProbeFinished { who, fields },
        "TIMER" => Message::Event { who, event: Event::Timer },
        "GONE" => Message::Event { who, event: Event::ClientDisconnected(request_id(&fields)?) },
        _ => Message::Ignored { who },
    })
}

fn parse_membership<'a>(who: u64, fields: &Fields<'_>) -> Result<Message<'a>, LineError> {
    let scope = match fields.required::<String>("Scope")?.as_str() {
        "patch" => MembershipScope::Patch,
        "whole" | "stale_copy" => MembershipScope::Complete,
        "broken" => MembershipScope::Broken,
        other => return Err(unknown_value("Scope", other)),
    };
    let page = match scope {
        MembershipScope::Broken => fields.get_or("Page", 0)?,
        _ => fields.required("Page")?,
    };
    Ok(Message::Membership { who, page, scope })
}

/// Parses an entry of a ROSTER.
pub fn parse_roster_entry(line: &str) -> Result<RosterEntry, LineError> {
    let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
    if name != "M" {
        return Err(LineError::TooFewEndpoints);
    }
    let fields = Fields::from_pairs(rest.split(' '))?;
    let status = match fields.required::<String>("Health")?.as_str() {
        "up" => EndpointStatus::Up,
        "draining" => EndpointStatus::Draining,
        "removed" => EndpointStatus::Removed,
        other => return Err(unknown_value("Health", other)),
    };
    Ok(RosterEntry {
        host: host_id(&fields)?,
        group: GroupId(fields.get_or("Shard", 0)?),
        status,
        primary: fields.number("Head")? == Some(1.0),
        started_at: fields.get("LaunchedUs")?.filter(|started_at| *started_at > 0),
        zone: fields.text("Campus").to_string(),
    })
}

/// Returns the id of the request that a line refers to.
pub fn request_id(fields: &Fields<'_>) -> Result<RequestId, LineError> {
    let text = fields.find("Id").ok_or_else(|| missing("Id"))?;
    let bytes = text.as_bytes().try_into();
    Ok(RequestId(bytes.map_err(|_| LineError::MalformedId)?))
}

/// Returns the id of the member that a line refers to.
pub fn host_id(fields: &Fields<'_>) -> Result<HostId, LineError> {
    Ok(HostId(fields.required("Host")?))
}
