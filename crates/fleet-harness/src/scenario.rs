//! The hard cases, and the faults that they are made of.

use serde::{Deserialize, Serialize};

/// The hard cases that the rig plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// A zone's members are lost for 5 s and return cold.
    ZoneLoss,
    /// A zone is cut off from the others: its proxies reach only its members and hear only each other.
    ZoneCut,
    /// A zone is lost every other 2 s.
    ZoneFlap,
    /// A third of the proxies hear none of the others, while all reach the members; a zone is lost meanwhile.
    Minority,
    /// A proxy is paused for 10 s while a zone is lost, and goes on with what it held.
    Pause,
    /// Seven in ten proxies are killed at once and started again.
    Kill70,
    /// A fifth of the datagrams between proxies are lost, a tenth come twice, all are reordered; a zone is lost.
    Lossy,
    /// One proxy sends again what it sent long before, while a zone is lost.
    Liar,
    /// A proxy is killed and started again while its peers move on.
    Restart,
    /// A third of the proxies hear none of the others for 10 s, and both sides change.
    Heal,
    /// The proxies' clocks differ by up to 500 ms; a zone is lost.
    Skew,
    /// A proxy comes back with a snapshot an hour old, by which every member is suspected and far ahead.
    OldSnapshot,
    /// More changes than the bytes a second allow; a zone is lost.
    Burst,
    /// One write in twenty loses its answer: its member ran it, and its client sends it again at another proxy.
    Doubts,
    /// Nothing goes wrong.
    Calm,
    /// A primary takes three times as long as it usually does; members are judged in common.
    SlowMember,
    /// The same, while one proxy says that the slow one is well, and that another is out.
    SlowLiar,
}

impl Scenario {
    /// All of them, in the order of the list above.
    pub const ALL: [Scenario; 17] = [
        Scenario::ZoneLoss,
        Scenario::ZoneCut,
        Scenario::ZoneFlap,
        Scenario::Minority,
        Scenario::Pause,
        Scenario::Kill70,
        Scenario::Lossy,
        Scenario::Liar,
        Scenario::Restart,
        Scenario::Heal,
        Scenario::Skew,
        Scenario::OldSnapshot,
        Scenario::Burst,
        Scenario::Doubts,
        Scenario::Calm,
        Scenario::SlowMember,
        Scenario::SlowLiar,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::ZoneLoss => "zone-loss",
            Scenario::ZoneCut => "zone-cut",
            Scenario::ZoneFlap => "zone-flap",
            Scenario::Minority => "minority",
            Scenario::Pause => "pause",
            Scenario::Kill70 => "kill70",
            Scenario::Lossy => "lossy",
            Scenario::Liar => "liar",
            Scenario::Restart => "restart",
            Scenario::Heal => "heal",
            Scenario::Skew => "skew",
            Scenario::OldSnapshot => "old-snapshot",
            Scenario::Burst => "burst",
            Scenario::Doubts => "doubts",
            Scenario::Calm => "calm",
            Scenario::SlowMember => "slow-member",
            Scenario::SlowLiar => "slow-liar",
        }
    }

    /// The further elements of the proxies' settings in it.
    pub fn more(self) -> String {
        if self.judges() { "  <health/>\n" } else { "" }.to_string()
    }

    /// Whether the proxies judge members in common in it.
    pub fn judges(self) -> bool {
        matches!(self, Scenario::SlowMember | Scenario::SlowLiar)
    }

    /// The scenario of a name.
    pub fn named(name: &str) -> Option<Scenario> {
        Scenario::ALL.into_iter().find(|s| s.name() == name)
    }
}

/// One fault, from `at_ms` after the load begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// What the wire between proxies does meanwhile.
    Wire {
        /// From.
        at_ms: u64,
        /// Until.
        until_ms: u64,
        /// The part of datagrams lost.
        loss: f64,
        /// The part that arrive twice.
        duplicate: f64,
        /// A further delay drawn up to this, which reorders them.
        jitter_ms: u64,
    },
    /// The proxies named hear none of the others, nor the others them.
    Split {
        /// From.
        at_ms: u64,
        /// Until.
        until_ms: u64,
        /// The proxies of one side.
        side: Vec<usize>,
    },
    /// A zone's members are silent; `lose`: they die and start again cold when it is over.
    Zone {
        /// From, in whole seconds, as the stand-ins' script counts.
        at_s: u64,
        /// For so many seconds.
        for_s: u64,
        /// The zone.
        zone: String,
        /// Whether they come back cold.
        lose: bool,
    },
    /// A zone is cut off from the others: between its proxies and members and all others, nothing passes.
    Cut {
        /// From.
        at_ms: u64,
        /// Until.
        until_ms: u64,
        /// The zone.
        zone: String,
    },
    /// A proxy is paused (SIGSTOP) and goes on (SIGCONT).
    Pause {
        /// From.
        at_ms: u64,
        /// For so long.
        for_ms: u64,
        /// The proxy.
        proxy: usize,
    },
    /// Proxies are killed (SIGKILL) and started again.
    Kill {
        /// When.
        at_ms: u64,
        /// Started again so much later.
        back_ms: u64,
        /// The proxies.
        proxies: Vec<usize>,
    },
    /// The answers of a part of the writes are lost: their members ran them, and the connections break.
    Answers {
        /// From.
        at_ms: u64,
        /// Until.
        until_ms: u64,
        /// The part.
        part: f64,
    },
    /// A member takes so many per cent of its usual time.
    Slow {
        /// From, in whole seconds, as the stand-ins' script counts.
        at_s: u64,
        /// For so many seconds.
        for_s: u64,
        /// The member.
        member: String,
        /// Of its usual time.
        percent: u64,
    },
    /// In a proxy's name, its peers are told with the greatest weight that one member is well, and another is out.
    Lie {
        /// From.
        at_ms: u64,
        /// Until.
        until_ms: u64,
        /// The proxy.
        proxy: usize,
        /// The member that is well, and the one that is out.
        well: String,
        /// See `well`.
        out: String,
    },
    /// A proxy's datagrams of long before are sent again meanwhile, as a stale or lying peer would.
    Replay {
        /// From.
        at_ms: u64,
        /// Until.
        until_ms: u64,
        /// The proxy.
        proxy: usize,
    },
}
