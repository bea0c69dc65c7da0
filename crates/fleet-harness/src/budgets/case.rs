//! The cases of budget runs, and the demand in them.

use serde::Serialize;
use std::fmt;

/// The mean limit of a proxy in requests per second; the other budgets have the same limit.
pub(super) const LIMIT_PER_PROXY: u64 = 20;
/// The demand of all proxies together, as a multiple of the limit.
const TOTAL_DEMAND: f64 = 2.0;
/// One proxy in this many has [`HIGH_DEMAND`] times the mean demand, the others [`LOW_DEMAND`] times.
const HIGH_DEMAND_EVERY: usize = 5;
const HIGH_DEMAND: f64 = 4.0;
const LOW_DEMAND: f64 = 0.25;
/// The number of proxies by which demand moves in [`Case::Shift`].
const DEMAND_SHIFT: usize = 3;

/// A fault case of a run. The names are those of the command line and the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Case {
    /// No fault.
    Calm,
    /// Seven in ten proxies are killed, and restarted a second later.
    Kill70,
    /// The second half of the proxies joins within 2 s.
    Join,
    /// A third of the proxies are partitioned from the others for 6 s.
    Cut,
    /// A proxy is paused for 6 s, beyond the expiry of its leases.
    Pause,
    /// The clocks of the proxies are up to 500 ms ahead or behind.
    Skew,
    /// Demand moves to other proxies.
    Shift,
    /// A fifth of the datagrams are lost, a tenth are duplicated.
    Lossy,
    /// An allocator is killed for good; a second later it is declared retired, and the other proxies are
    /// restarted.
    #[serde(rename = "Gone")]
    AllocatorRetired,
}

impl Case {
    /// All cases.
    pub const ALL: [Case; 9] = [
        Case::Calm,
        Case::Kill70,
        Case::Join,
        Case::Cut,
        Case::Pause,
        Case::Skew,
        Case::Shift,
        Case::Lossy,
        Case::AllocatorRetired,
    ];

    /// Returns the name on the command line and in the report.
    pub fn name(self) -> &'static str {
        match self {
            Case::Calm => "Calm",
            Case::Kill70 => "Kill70",
            Case::Join => "Join",
            Case::Cut => "Cut",
            Case::Pause => "Pause",
            Case::Skew => "Skew",
            Case::Shift => "Shift",
            Case::Lossy => "Lossy",
            Case::AllocatorRetired => "Gone",
        }
    }

    /// Returns the demand at a proxy in the second half of a run, in requests per second.
    pub(super) fn demand_later(self, proxy: usize) -> u64 {
        match self {
            Case::Shift => demand(proxy + DEMAND_SHIFT),
            _ => demand(proxy),
        }
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Returns the demand at a proxy in the first half of a run, in requests per second.
pub(super) fn demand(proxy: usize) -> u64 {
    let multiple = if proxy.is_multiple_of(HIGH_DEMAND_EVERY) { HIGH_DEMAND } else { LOW_DEMAND };
    (LIMIT_PER_PROXY as f64 * TOTAL_DEMAND * multiple) as u64
}
