//! Fleet-wide outlier detection. Each proxy summarizes the outcomes of its attempts at a member in time
//! windows. A sample of the proxies, the reporters, publish their summaries as observations, and every proxy
//! combines the observations into the same outlier score and verdict. The crate does no I/O: the caller
//! passes in outcomes of attempts, observations of other proxies and the current time, and receives
//! observations to publish and a latency factor for each outlier. The router decides which member serves a
//! request.
//!
//! - [`WindowCounts`], [`MemberSummary`]: the outcomes at a member in one window, and in the latest windows;
//!   both can be merged.
//! - [`ObservationLog`]: this proxy's own summaries of the members, and its [`HealthObservation`] of each.
//! - [`sample_reporters`]: the proxies that report on a member; all proxies choose the same ones.
//! - [`OutlierDetector`]: combines observations into scores and verdicts, with hysteresis, probation and a
//!   recovery ramp.
//! - [`HealthMonitor`]: combines all of these for the driver.
//!
//! ```
//! use wharfplank_health::{HealthMonitor, Outcome, Proxy, ReportedObservation, Verdict};
//!
//! let mut monitor = HealthMonitor::new(1);
//! monitor.set_proxies((1..=3).map(|id| Proxy { id, zone: 0 }));
//! (0..4).for_each(|member| monitor.track_member(member, 0, 1000));
//! let (mut now, mut published) = (0, Vec::new());
//! while now < 6_000_000 {
//!     now += 50_000;
//!     for member in 0..4 {
//!         let latency = if member == 0 && now > 3_000_000 { 60_000 } else { 20_000 };
//!         monitor.record(now, member, Outcome::Answered { class: 0, latency });
//!     }
//! // Another proxy makes the same observations.
//!     for (member, observation) in monitor.take_observations(now) {
//!         published.push(ReportedObservation { member, reporter: 1, observation });
//!         published.push(ReportedObservation { member, reporter: 2, observation });
//!     }
//!     if now % 250_000 == 0 {
//!         monitor.evaluate(now, published.iter().rev().take(2).copied());
//!     }
//! }
//! assert_eq!(monitor.verdict(0), Verdict::Degraded);
//! let members: Vec<u64> = monitor.latency_factors().iter().map(|(member, _)| *member).collect();
//! assert_eq!(members, [0]);
//! ```

mod baseline;
mod detector;
mod ejection;
mod median;
mod monitor;
mod observation;
mod observation_log;
mod reporters;
mod tracked_member;
mod window;

pub use detector::{
    MemberScore, OutlierDetector, ReportedObservation, TooManyMembers, EVALUATION_INTERVAL, MAX_MEMBERS,
};
pub use ejection::{
    EjectionLimit, EjectionState, Verdict, DEGRADED_LATENCY_FACTOR, UNHEALTHY_LATENCY_FACTOR,
};
pub use median::{weighted_median, WeightedScore};
pub use monitor::HealthMonitor;
pub use observation::{HealthObservation, Outcome, QUESTIONABLE_SCORE};
pub use observation_log::ObservationLog;
pub use reporters::{rendezvous_hash, sample_reporters, Proxy, MAX_REPORTERS};
pub use window::{MemberSummary, WindowCounts, WINDOW_COUNT, WINDOW_LENGTH};

/// A point in time or a duration in microseconds.
pub type Micros = i64;
