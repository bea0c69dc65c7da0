//! Counters of what a replicated state did.

/// Counters of one proxy's replicated state since its process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Exchanges that this proxy began.
    pub exchanges_started: u64,
    /// Answers in exchanges that found a difference which rumours should have settled.
    pub exchanges_with_differences: u64,
    /// Entries of peers that changed the store.
    pub entries_updated: u64,
    /// Entries of peers that the store held already.
    pub entries_unchanged: u64,
    /// Messages that could not be decoded.
    pub undecodable_messages: u64,
    /// Bytes sent beside rumours.
    pub exchange_bytes: u64,
    /// Messages beside rumours that were not sent because their budget was spent.
    pub throttled_messages: u64,
    /// Datagrams and updates that were dropped from a full queue.
    pub dropped: u64,
}
