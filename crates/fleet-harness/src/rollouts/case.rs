//! The cases of a rollout, and scenarios generated from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The version that members run at first.
pub const OLD_VERSION: u64 = 6;
/// The target version of the rollout.
pub const NEW_VERSION: u64 = 7;
/// The target version of a second rollout.
pub const OTHER_VERSION: u64 = 8;

/// Separates the random numbers of the scenario from others of the same seed.
const SCENARIO_SEED: u64 = 0x02e1_ea5e;
/// The load on each group, in requests per second.
const REQUEST_RATE_PER_GROUP: u64 = 30;

/// A fault case of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// No fault.
    Clean,
    /// A second rollout is started at another proxy at almost the same time.
    TwoAtOnce,
    /// The leader is killed in the middle of a wave, and restarted.
    LeaderKilled,
    /// The leader is paused in the middle of a wave, and continues with its outdated state.
    LeaderPaused,
    /// A third of the proxies are partitioned from the others for a while, in the middle of a wave.
    Partition,
    /// A permit server that is not the leader is killed and restarted.
    PermitServerKilled,
    /// The new version rejects half of its requests.
    Rejects,
    /// The new version takes 20 times as long.
    Slow,
    /// The new version never gets ready.
    NeverReady,
    /// A member crashes while others are down, and restarts.
    MemberCrashes,
    /// Service discovery drains a member for a while.
    Drained,
    /// A fifth of all datagrams are lost, a fifth are duplicated, and all are delayed and reordered.
    Lossy,
    /// There is no rollout: all members drain and restart on their own at once.
    WithoutRollout,
}

impl Case {
    /// All cases with a rollout.
    pub const ALL: [Case; 12] = [
        Case::Clean,
        Case::TwoAtOnce,
        Case::LeaderKilled,
        Case::LeaderPaused,
        Case::Partition,
        Case::PermitServerKilled,
        Case::Rejects,
        Case::Slow,
        Case::NeverReady,
        Case::MemberCrashes,
        Case::Drained,
        Case::Lossy,
    ];

    /// Returns the name in directories, reports and environment variables.
    pub fn name(self) -> &'static str {
        match self {
            Case::Clean => "clean",
            Case::TwoAtOnce => "two-at-once",
            Case::LeaderKilled => "driver-killed",
            Case::LeaderPaused => "driver-paused",
            Case::Partition => "cut",
            Case::PermitServerKilled => "bank-killed",
            Case::Rejects => "refuses",
            Case::Slow => "late",
            Case::NeverReady => "never-ready",
            Case::MemberCrashes => "member-falls",
            Case::Drained => "drained",
            Case::Lossy => "lossy",
            Case::WithoutRollout => "by-themselves",
        }
    }

    /// Returns whether proxies or members have a fault during the rollout.
    pub fn has_fault(self) -> bool {
        matches!(
            self,
            Case::LeaderKilled
                | Case::LeaderPaused
                | Case::Partition
                | Case::PermitServerKilled
                | Case::MemberCrashes
                | Case::Drained
        )
    }

    /// Returns whether the new version is bad, so that the rollout must roll back.
    pub fn has_bad_version(self) -> bool {
        matches!(self, Case::Rejects | Case::Slow | Case::NeverReady)
    }
}

/// The condition for the start of a run's fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultTrigger {
    /// The number of orders that must have been followed.
    pub followed_orders: usize,
    /// The delay after the last of these orders, in milliseconds.
    pub delay_ms: u64,
}

/// The parameters of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The fault case.
    pub case: Case,
    /// The number of proxies; the first three are the permit servers.
    pub proxies: usize,
    /// The number of groups of members.
    pub groups: usize,
    /// The number of members of each group.
    pub members_per_group: usize,
    /// The load in requests per second.
    pub request_rate: u64,
    /// The duration of the load in seconds, or 0 for a load that ends with the rollout.
    pub load_seconds: u64,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The condition for the start of the fault.
    pub fault_trigger: FaultTrigger,
    /// The duration of the fault in milliseconds.
    pub fault_duration_ms: u64,
    /// The member that crashes or is drained.
    pub faulty_member: usize,
    /// The duration of a member's restart in milliseconds.
    pub restart_ms: u64,
}

impl Scenario {
    /// Generates a scenario from a seed.
    pub fn from_seed(
        case: Case,
        proxies: usize,
        groups: usize,
        members_per_group: usize,
        seed: u64,
    ) -> Scenario {
        let mut rng = SmallRng::seed_from_u64(seed ^ SCENARIO_SEED);
        let members = groups * members_per_group;
        let fault_duration_ms = match case {
            Case::LeaderPaused => rng.random_range(4_000..9_000),
            _ => rng.random_range(5_000..9_000),
        };
        let fault_trigger = FaultTrigger {
            followed_orders: rng.random_range(1..=members / 2),
            delay_ms: rng.random_range(0..1_500),
        };
        Scenario {
            case,
            proxies,
            groups,
            members_per_group,
            request_rate: REQUEST_RATE_PER_GROUP * groups as u64,
            load_seconds: 0,
            seed,
            fault_trigger,
            fault_duration_ms,
            faulty_member: rng.random_range(0..members),
            restart_ms: rng.random_range(1_000..2_000),
        }
    }
}
