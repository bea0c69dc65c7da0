//! The hard cases of a rollout, drawn from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The version that members run at first.
pub const OLD_VERSION: u64 = 6;
/// The target version of the rollout.
pub const NEW_VERSION: u64 = 7;
/// The target version of a second rollout.
pub const OTHER_VERSION: u64 = 8;

/// Tells the random numbers of the scenario from others of the same seed.
const SCENARIO_SEED: u64 = 0x02e1_ea5e;
/// Requests a second for each group.
const REQUEST_RATE_PER_GROUP: u64 = 30;

/// What goes wrong in a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Nothing.
    Clean,
    /// A second rollout is started at another proxy at once.
    TwoAtOnce,
    /// The leader is killed in the middle of a wave, and restarted.
    LeaderKilled,
    /// The leader is paused in the middle of a wave, and continues with the state that it had.
    LeaderPaused,
    /// A third of the proxies are partitioned from the others for a while, in the middle of a wave.
    Partition,
    /// A permit server that does not lead is killed and restarted.
    PermitServerKilled,
    /// The new version rejects half of its requests.
    Rejects,
    /// The new version takes 20 times as long.
    Slow,
    /// The new version never gets ready.
    NeverReady,
    /// A member crashes while others are out, and comes back.
    MemberCrashes,
    /// Service discovery drains a member for a while.
    Drained,
    /// A fifth of all datagrams are lost, a fifth are duplicated, and all are delayed and reordered.
    Lossy,
    /// No rollout: all members drain and restart by themselves at once.
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

    /// Its name in directories, reports and variables.
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

    /// Whether proxies or members have a fault during the rollout.
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

    /// Whether the new version is bad: the rollout is to roll back by itself.
    pub fn has_bad_version(self) -> bool {
        matches!(self, Case::Rejects | Case::Slow | Case::NeverReady)
    }
}

/// When the fault of a run begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultTrigger {
    /// After so many orders were followed.
    pub followed_orders: usize,
    /// So long after the last of them, in milliseconds.
    pub delay_ms: u64,
}

/// Everything that a run is determined by.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// What goes wrong.
    pub case: Case,
    /// The number of proxies; the first three are the permit servers.
    pub proxies: usize,
    /// The number of groups of members.
    pub groups: usize,
    /// The number of members of each group.
    pub members_per_group: usize,
    /// Requests a second.
    pub request_rate: u64,
    /// The least duration of the load in seconds; 0: until the rollout has finished.
    pub load_seconds: u64,
    /// The seed of all random numbers.
    pub seed: u64,
    /// When the fault begins.
    pub fault_trigger: FaultTrigger,
    /// How long the fault lasts, in milliseconds.
    pub fault_duration_ms: u64,
    /// The member that crashes or is drained.
    pub faulty_member: usize,
    /// How long a restart of a member takes, in milliseconds.
    pub restart_ms: u64,
}

impl Scenario {
    /// Draws a scenario from a seed.
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
