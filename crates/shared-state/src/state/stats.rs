//! Counters of the work done by a replicated state.

/// Counters of one proxy's replicated state since its process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Exchanges that this proxy started.
    pub exchanges_started: u64,
    /// Messages of exchanges that revealed a difference which rumours should have settled.
    pub exchanges_with_differences: u64,
    /// Entries from peers that changed the store.
    pub entries_updated: u64,
    /// Entries from peers that the store already held.
    pub entries_unchanged: u64,
    /// Messages that could not be decoded.
    pub undecodable_messages: u64,
    /// Bytes sent in datagrams of this state's own, that is, not piggybacked.
    pub exchange_bytes: u64,
    /// Messages for datagrams of this state's own that were not sent because their budget was exhausted.
    pub throttled_messages: u64,
    /// Datagrams and updates that were dropped from a full queue.
    pub dropped: u64,
}
