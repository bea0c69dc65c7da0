//! Log lines of the negative cache.

use tracing::info;
use wharfplank_negative_cache::Node;
use wharfplank_routing::Micros;

/// What was answered from the negative cache so far, and how far its entries lag behind now. `lost_datagrams` counts what
/// the socket's queue could not hold.
pub fn negative_cache_stats(node: &Node, now: Micros, lost_datagrams: u64) {
    let stats = node.stats();
    let horizon_ms = node.horizon().map_or(-1, |horizon| (now - horizon) / 1000);
    info!(
        answered = stats.hits,
        asked = stats.misses,
        horizon_ms,
        leave = node.write_leases.active_count(now),
        unread = node.rejected_messages,
        dropped = node.dropped_messages + lost_datagrams,
        "missing"
    );
}
