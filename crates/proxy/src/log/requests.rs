//! Log lines of connections and requests.

use super::unix_ms;
use tracing::{debug, info};
use wharfplank_transport::ConnectionEnd;

/// Logs the end of a connection.
pub fn connection_ended(end: &ConnectionEnd<'_>) {
    let name = end.remote.member_name().filter(|name| !name.is_empty()).unwrap_or("-");
    let age_ms = end.started_at.elapsed().as_millis() as u64;
    info!(
        side = end.remote.kind(),
        peer = %end.address,
        name,
        reason = end.reason,
        requests = end.requests,
        age_ms,
        undelivered = (end.undelivered_bytes > 0).then_some(end.undelivered_bytes),
        at_ms = unix_ms(),
        "ended"
    );
}

/// Logs the activity of this proxy in the second before `at_ms`, in the format of [`crate::activity_counts`].
pub fn activity_counts(at_ms: u64, counts: &str) {
    debug!(at_ms, what = counts, "counts");
}

/// A request that was rejected or failed.
pub struct UnservedRequest<'a> {
    /// The id that the client assigned to the request, by which it can be traced through the logs of all
    /// proxies.
    pub id: &'a str,
    /// The name of its class.
    pub class: &'a str,
    /// Its group.
    pub group: u64,
    /// The kind of its final response.
    pub disposition: &'a str,
    /// The reason.
    pub reason: &'a str,
    /// The time since its arrival, in milliseconds.
    pub took_ms: i64,
    /// The outcomes of its attempts, as `member:outcome`, separated by commas.
    pub outcomes: &'a str,
}

/// Logs a request that was rejected or has failed.
pub fn request_unserved(request: &UnservedRequest<'_>) {
    let outcomes = if request.outcomes.is_empty() { "-" } else { request.outcomes };
    debug!(
        id = request.id,
        class = request.class,
        group = request.group,
        what = request.disposition,
        why = request.reason,
        took_ms = request.took_ms,
        outcomes,
        "request_unserved"
    );
}
