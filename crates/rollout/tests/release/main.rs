//! Releases in virtual time: every hard case over seeded runs, and what a release takes.

mod cases;
mod cast;
mod measured;
mod trouble;
mod wire;
mod world;
