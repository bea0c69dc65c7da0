//! Log lines of the negative cache.

use tracing::info;
use wharfplank_transport::negative_cache::NegativeCacheStatus;

/// Logs the totals of the negative cache and the current lag of its entries.
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
