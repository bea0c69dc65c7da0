//! Rollouts in virtual time: seeded runs of every hard case, and measurements of sound and bad rollouts.

mod faults;
mod fleet;
mod hard_cases;
mod measurements;
mod network;
mod simulation;
