//! Formatting of the replies to the simulator.

use std::fmt::Write;
use wharfplank::routing::{Action, RequestId};

/// Appends an action of the instance `who` to the reply as one line.
pub fn write_action(reply: &mut String, who: u64, action: &Action) {
    let text = |id: &RequestId| String::from_utf8_lossy(&id.0).into_owned();
    // Writing to a `String` cannot fail.
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
