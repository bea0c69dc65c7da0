//! Log lines of the process: startup, configuration, operators' commands, handover and records.

use super::unix_ms;
use std::net::SocketAddr;
use tracing::{debug, info, warn};
use wharfplank_discovery::SuspectReason;

/// Logs that clients can connect.
pub fn listening(listen: SocketAddr) {
    info!(listen = %listen, "started");
}

/// Logs that the system does not tell how much of a connection's output the client's system has taken, so
/// that output counts as delivered once it is written.
pub fn delivery_unmeasured() {
    warn!(what = "unavailable", "socket_diagnostics");
}

/// Logs that operators can connect.
pub fn admin_listening(listen: SocketAddr) {
    info!(listen = %listen, "admin_started");
}

/// Logs that a reloaded configuration is in use.
pub fn configuration_reloaded(discovery: SocketAddr) {
    info!(discovery = %discovery, "reloaded");
}

/// Logs that a new configuration cannot be used and the old one is kept.
pub fn configuration_reload_failed(error: &str) {
    warn!(kept = "old", what = error, "reload_failed");
}

/// Logs a change of the endpoint list's staleness, or a suspect response of discovery. `missing_members` is
/// the number of members that the suspect response would take out of service.
pub fn endpoint_list_state(staleness: Option<&str>, suspect: Option<SuspectReason>, missing_members: usize) {
    let staleness = staleness.unwrap_or("-");
    let suspect = suspect.map_or("-", SuspectReason::as_str);
    warn!(staleness, suspect, missing_members = missing_members as u64, at_ms = unix_ms(), "endpoint_list");
}

/// Logs the result of an operator's command on a member.
pub fn admin_command(member: &str, result: &str) {
    info!(member, what = result, "operator");
}

/// Logs the excluded members and the reasons when operators read the metrics.
pub fn excluded_members(members: &str) {
    debug!(members = if members.is_empty() { "-" } else { members }, "excluded_members");
}

/// Logs a step of the handover between two processes, and the number of cordoned members.
pub fn handover_step(step: &str, cordoned: usize) {
    info!(what = step, cordoned = cordoned as u64, "replacement");
}

/// Logs an error of the recorder.
pub fn recorder_fault(fault: &str) {
    warn!(what = fault, "records");
}
