//! The timing and policy settings of permits and rollouts.

use crate::Micros;

/// The timing and policy settings of permits and rollouts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutConfig {
    /// The validity period of an observation, measured from when the node was polled. A node without a
    /// newer observation counts as out of service.
    pub observation_ttl: Micros,
    /// The interval at which an idle permit server is polled, and at which an order or a handover is
    /// repeated.
    pub retry_interval: Micros,
    /// The time after its restart order within which a node must be healthy again. The rollout halts if
    /// it is not.
    pub ready_timeout: Micros,
    /// The longest time for which a finished wave is observed before the next one starts. The canary
    /// analysis may accept the wave earlier.
    pub soak_time: Micros,
    /// The interval between evaluations of the canary analysis.
    pub analysis_interval: Micros,
    /// The time without a message from a proxy after which the leader election ignores it.
    pub peer_timeout: Micros,
    /// Whether a rollout that is halted by its own checks rolls back automatically. Otherwise it waits
    /// for an operator.
    pub automatic_rollback: bool,
    /// The number of restarts of one node that are ordered before the rollout halts.
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
