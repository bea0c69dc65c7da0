//! The timing and policy settings of permits and rollouts.

use crate::Micros;

/// The timing and policy settings of permits and rollouts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutConfig {
    /// An observation counts for this long, measured from when the node was polled. A node without a newer one counts
    /// as out.
    pub observation_ttl: Micros,
    /// How often an idle permit server is polled, and how often an order or a handover is repeated.
    pub retry_interval: Micros,
    /// A node that is not back and healthy this long after its restart order halts the rollout.
    pub ready_timeout: Micros,
    /// The longest time that a finished wave is watched before the next one starts; the canary analysis may accept it
    /// earlier.
    pub soak_time: Micros,
    /// How often the canary analysis runs.
    pub analysis_interval: Micros,
    /// A proxy that was not heard from for this long is not considered in the leader election.
    pub peer_timeout: Micros,
    /// Whether a rollout that is halted by its own checks rolls back by itself, or waits for an operator.
    pub automatic_rollback: bool,
    /// How many restarts of one node are ordered before the rollout halts.
    pub max_attempts: u32,
}

impl Default for RolloutConfig {
    fn default() -> Self {
        RolloutConfig {
            observation_ttl: 3_000_000,
            retry_interval: 1_000_000,
            ready_timeout: 60_000_000,
            soak_time: 5_000_000,
            analysis_interval: 1_000_000,
            peer_timeout: 3_000_000,
            automatic_rollback: true,
            max_attempts: 3,
        }
    }
}
