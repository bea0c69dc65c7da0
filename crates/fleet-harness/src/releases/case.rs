//! The hard cases of a release, drawn from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The version that members run at first, that a release goes to, and that a second one goes to.
pub const OLD: u64 = 6;
/// See [`OLD`].
pub const NEW: u64 = 7;
/// See [`OLD`].
pub const OTHER: u64 = 8;

/// What goes wrong in a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// Nothing.
    Clean,
    /// Another one is started at another proxy at once.
    TwoAtOnce,
    /// The proxy that drives is killed in mid-wave, and started again.
    DriverKilled,
    /// It is paused in mid-wave, and goes on with what it held.
    DriverPaused,
    /// A third of the proxies hear none of the others for a while in mid-wave.
    Cut,
    /// A bank that does not drive is killed and started again.
    BankKilled,
    /// The new version refuses a half of what it is sent.
    Refuses,
    /// The new version takes 20 times as long.
    Late,
    /// The new version never gets ready.
    NeverReady,
    /// A member falls by itself while others are out, and comes back.
    MemberFalls,
    /// Discovery drains a member for a while.
    Drained,
    /// A fifth of all datagrams are lost, a fifth come twice, and all late and out of order.
    Lossy,
    /// No release: each member drains by itself, all at once.
    ByThemselves,
}

impl Case {
    /// All releases.
    pub const ALL: [Case; 12] = [
        Case::Clean,
        Case::TwoAtOnce,
        Case::DriverKilled,
        Case::DriverPaused,
        Case::Cut,
        Case::BankKilled,
        Case::Refuses,
        Case::Late,
        Case::NeverReady,
        Case::MemberFalls,
        Case::Drained,
        Case::Lossy,
    ];

    /// Its name in directories and reports.
    pub fn name(self) -> &'static str {
        match self {
            Case::Clean => "clean",
            Case::TwoAtOnce => "two-at-once",
            Case::DriverKilled => "driver-killed",
            Case::DriverPaused => "driver-paused",
            Case::Cut => "cut",
            Case::BankKilled => "bank-killed",
            Case::Refuses => "refuses",
            Case::Late => "late",
            Case::NeverReady => "never-ready",
            Case::MemberFalls => "member-falls",
            Case::Drained => "drained",
            Case::Lossy => "lossy",
            Case::ByThemselves => "by-themselves",
        }
    }

    /// Whether something is done to proxies or members while the release goes on.
    pub fn has_fault(self) -> bool {
        use Case::*;
        matches!(self, DriverKilled | DriverPaused | Cut | BankKilled | MemberFalls | Drained)
    }

    /// Whether the release is to go back by itself.
    pub fn is_bad(self) -> bool {
        matches!(self, Case::Refuses | Case::Late | Case::NeverReady)
    }
}

/// One run.
#[derive(Clone, Debug, PartialEq)]
pub struct Played {
    /// What goes wrong.
    pub case: Case,
    /// Proxies; the first three are the banks.
    pub proxies: usize,
    /// Groups of members, and members of each.
    pub groups: usize,
    /// See `groups`.
    pub each: usize,
    /// Requests a second.
    pub rate: u64,
    /// The load goes on for so many seconds at least; 0: until the release ended.
    pub load_s: u64,
    /// What all is drawn from.
    pub seed: u64,
    /// The fault begins once so many orders were followed, so long after the last of them.
    pub after: (usize, u64),
    /// How long it lasts.
    pub lasts_ms: u64,
    /// Who falls, or is drained, by its number.
    pub member: usize,
    /// For how long a member that leaves is away.
    pub away_ms: u64,
}

impl Played {
    /// Draws a run.
    pub fn draw(case: Case, proxies: usize, groups: usize, each: usize, seed: u64) -> Played {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x2e1ea5e);
        let lasts = match case {
            Case::DriverPaused => rng.random_range(4_000..9_000),
            _ => rng.random_range(5_000..9_000),
        };
        Played {
            case,
            proxies,
            groups,
            each,
            rate: 30 * groups as u64,
            load_s: 0,
            seed,
            after: (rng.random_range(1..=groups * each / 2), rng.random_range(0..1_500)),
            lasts_ms: lasts,
            member: rng.random_range(0..groups * each),
            away_ms: rng.random_range(1_000..2_000),
        }
    }
}
