//! Log lines of the negative cache.

use tracing::info;
use wharfplank_transport::negative_cache::NegativeCacheStatus;

/// What was answered from the negative cache so far, and how far its entries lag behind now.
pub fn negative_cache_stats(status: NegativeCacheStatus<'_>) {
    let NegativeCacheStatus { node, now, dropped_datagrams } = status;
    let stats = node.stats();
    let horizon_ms = node.horizon().map_or(-1, |horizon| (now - horizon) / 1000);
    info!(
        answered = stats.hits,
        asked = stats.misses,
        horizon_ms,
        leave = node.write_leases.active_count(now),
        unread = node.rejected_messages,
        dropped = node.dropped_messages + dropped_datagrams,
        "missing"
    );
}
