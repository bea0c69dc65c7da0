//! Rollouts in virtual time: every hard case over seeded runs, and measurements of sound and bad rollouts.

mod faults;
mod fleet;
mod hard_cases;
mod measurements;
mod network;
mod simulation;
