//! How much and how often a proxy sends of its state.

use crate::store::MAX_ENTRIES;
use crate::Micros;

/// The configuration of a [`SharedState`](super::SharedState).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedStateConfig {
    /// How many bytes a second the proxy sends: one half for rumours, the other for anti-entropy.
    pub bytes_per_second: u64,
    /// The mean time between exchanges with a random peer while nothing differs, in microseconds.
    pub exchange_interval: Micros,
    /// The bound on the entries of the store.
    pub max_entries: usize,
}

impl Default for SharedStateConfig {
    fn default() -> Self {
        SharedStateConfig { bytes_per_second: 16_384, exchange_interval: 2_000_000, max_entries: MAX_ENTRIES }
    }
}
