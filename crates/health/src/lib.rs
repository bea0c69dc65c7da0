//! Outlier detection by the whole fleet. What each proxy sees of a member becomes a summary by windows of time. A few
//! sampled reporters publish theirs as observations, and every proxy combines the observations to the same outlier score
//! and verdict. The crate does no I/O: outcomes of attempts, observations of others and the time go in; observations to
//! publish and a latency factor for each member come out. Which member serves a request stays the router's decision.
//!
//! - [`WindowCounts`], [`MemberSummary`]: what was seen of a member in a window, and in the last of them; both merge.
//! - [`ObservationLog`]: this proxy's own view of the members, and its [`HealthObservation`] of each.
//! - [`sample_reporters`]: which proxies report on a member, the same on all proxies.
//! - [`OutlierDetector`]: combines observations to scores and verdicts, with hysteresis, probation and a recovery ramp.
//! - [`HealthMonitor`]: all of it, as the driver uses it.
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
//!     // Another proxy sees the same: its observations are as this one's.
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
pub use ejection::{EjectionLimit, EjectionState, Verdict, DEGRADED_LATENCY_FACTOR, OUT_LATENCY_FACTOR};
pub use median::{weighted_median, WeightedScore};
pub use monitor::HealthMonitor;
pub use observation::{HealthObservation, Outcome, QUESTIONABLE_SCORE};
pub use observation_log::ObservationLog;
pub use reporters::{rendezvous_hash, sample_reporters, Proxy, MAX_REPORTERS};
pub use window::{MemberSummary, WindowCounts, WINDOW_COUNT, WINDOW_LENGTH};

/// A time or a span of time in microseconds.
pub type Micros = i64;
