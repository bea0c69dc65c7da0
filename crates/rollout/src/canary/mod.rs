//! Canary analysis: counts of the attempts at upgraded members and at the others, and a sequential test
//! of these counts.

mod analysis;
mod counter;
mod counts;

pub use analysis::{CanaryAnalysis, CanaryVerdict};
pub use counter::AttemptCounter;
pub use counts::{AttemptCounts, CanaryCounts};
