//! Fault scenarios, and the faults of which they consist.

use serde::{Deserialize, Serialize};

/// A fault scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// A zone's members crash, and restart cold after 5 s.
    ZoneLoss,
    /// A zone is partitioned from the others: its proxies reach only each other and the members of the zone.
    ZoneCut,
    /// A zone is alternately lost for 2 s and in service for 2 s.
    ZoneFlap,
    /// A third of the proxies are partitioned from the others, while all reach the members; a zone is lost
    /// meanwhile.
    Minority,
    /// A proxy is paused for 10 s while a zone is lost, and resumes with its outdated state.
    Pause,
    /// Seven in ten proxies are killed at once and restarted; a zone is lost afterwards.
    Kill70,
    /// A fifth of the datagrams between proxies are lost, a tenth are duplicated, all are reordered; a zone
    /// is lost.
    Lossy,
    /// Old datagrams of one proxy are replayed while a zone is lost.
    #[serde(rename = "liar")]
    StaleReplay,
    /// A proxy is killed and restarted, and its peers' state changes in between.
    Restart,
    /// A third of the proxies are partitioned for 10 s while the state changes on both sides.
    Heal,
    /// The proxies' clocks differ by up to 500 ms; a zone is lost.
    Skew,
    /// A proxy restarts from a snapshot that is an hour old, in which every member is suspected and far ahead
    /// in the log.
    OldSnapshot,
    /// The replicated state changes faster than its byte rate allows; a zone is lost.
    Burst,
    /// One write in twenty is executed but its answer is lost, and its client retries it at another proxy.
    #[serde(rename = "doubts")]
    InDoubtWrites,
    /// No fault.
    Calm,
    /// A primary takes three times its usual time, with outlier detection across the fleet.
    SlowMember,
    /// As [`Scenario::SlowMember`], while one proxy reports the slow member as healthy and a healthy member as
    /// failed.
    #[serde(rename = "slow-liar")]
    SlowMemberFalseHealth,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 17] = [
        Scenario::ZoneLoss,
        Scenario::ZoneCut,
        Scenario::ZoneFlap,
        Scenario::Minority,
        Scenario::Pause,
        Scenario::Kill70,
        Scenario::Lossy,
        Scenario::StaleReplay,
        Scenario::Restart,
        Scenario::Heal,
        Scenario::Skew,
        Scenario::OldSnapshot,
        Scenario::Burst,
        Scenario::InDoubtWrites,
        Scenario::Calm,
        Scenario::SlowMember,
        Scenario::SlowMemberFalseHealth,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::ZoneLoss => "zone-loss",
            Scenario::ZoneCut => "zone-cut",
            Scenario::ZoneFlap => "zone-flap",
            Scenario::Minority => "minority",
            Scenario::Pause => "pause",
            Scenario::Kill70 => "kill70",
            Scenario::Lossy => "lossy",
            Scenario::StaleReplay => "liar",
            Scenario::Restart => "restart",
            Scenario::Heal => "heal",
            Scenario::Skew => "skew",
            Scenario::OldSnapshot => "old-snapshot",
            Scenario::Burst => "burst",
            Scenario::InDoubtWrites => "doubts",
            Scenario::Calm => "calm",
            Scenario::SlowMember => "slow-member",
            Scenario::SlowMemberFalseHealth => "slow-liar",
        }
    }

    /// Returns the additional XML elements of the proxies' settings.
    pub fn extra_settings(self) -> String {
        if self.has_outlier_detection() { "  <health/>\n" } else { "" }.to_string()
    }

    /// Returns whether the proxies use outlier detection across the fleet.
    pub fn has_outlier_detection(self) -> bool {
        matches!(self, Scenario::SlowMember | Scenario::SlowMemberFalseHealth)
    }

    /// Returns the scenario with this name.
    pub fn from_name(name: &str) -> Option<Scenario> {
        Scenario::ALL.into_iter().find(|s| s.name() == name)
    }
}

/// A fault. Times count from the start of the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Datagrams between proxies are lost, duplicated and delayed.
    #[serde(rename = "wire")]
    LossyNetwork {
        /// The start.
        at_ms: u64,
        /// The end.
        until_ms: u64,
        /// The fraction of datagrams that are lost.
        loss: f64,
        /// The fraction of datagrams that are duplicated.
        duplicate: f64,
        /// The upper limit of the random additional delay, which reorders datagrams.
        jitter_ms: u64,
    },
    /// Some proxies are partitioned from the others.
    #[serde(rename = "split")]
    Partition {
        /// The start.
        at_ms: u64,
        /// The end.
        until_ms: u64,
        /// The proxies on one side.
        side: Vec<usize>,
    },
    /// A zone's members stop answering, or crash if `lose` is set.
    Zone {
        /// The start, in whole seconds because the timeline of the stand-in members counts in these.
        at_s: u64,
        /// The duration in seconds.
        for_s: u64,
        /// The zone.
        zone: String,
        /// Whether the members crash, and restart cold at the end.
        lose: bool,
    },
    /// A zone is partitioned: no traffic passes between its proxies and members and those of the other zones.
    Cut {
        /// The start.
        at_ms: u64,
        /// The end.
        until_ms: u64,
        /// The zone.
        zone: String,
    },
    /// A proxy is paused (SIGSTOP) and resumed (SIGCONT).
    Pause {
        /// The start.
        at_ms: u64,
        /// The duration.
        for_ms: u64,
        /// The proxy.
        proxy: usize,
    },
    /// Proxies are killed (SIGKILL) and restarted.
    Kill {
        /// The time of the kill.
        at_ms: u64,
        /// The time from the kill to the restart.
        back_ms: u64,
        /// The proxies.
        proxies: Vec<usize>,
    },
    /// The answers of some writes are lost: the member executes the write, and then its connection breaks.
    #[serde(rename = "answers")]
    LostAnswers {
        /// The start.
        at_ms: u64,
        /// The end.
        until_ms: u64,
        /// The fraction of writes.
        #[serde(rename = "part")]
        fraction: f64,
    },
    /// A member is slow.
    Slow {
        /// The start, in whole seconds because the timeline of the stand-in members counts in these.
        at_s: u64,
        /// The duration in seconds.
        for_s: u64,
        /// The member.
        member: String,
        /// Its processing time in per cent of the usual.
        percent: u64,
    },
    /// False health observations with the greatest weight are sent to a proxy's peers in its name.
    #[serde(rename = "lie")]
    FalseHealth {
        /// The start.
        at_ms: u64,
        /// The end.
        until_ms: u64,
        /// The proxy.
        proxy: usize,
        /// The member that is reported as healthy.
        #[serde(rename = "well")]
        healthy: String,
        /// The member that is reported as failed.
        #[serde(rename = "out")]
        failed: String,
    },
    /// Old datagrams of a proxy are replayed, as a stale or faulty peer would send them.
    Replay {
        /// The start.
        at_ms: u64,
        /// The end.
        until_ms: u64,
        /// The proxy.
        proxy: usize,
    },
}
