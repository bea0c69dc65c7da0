//! Who of the fleet may be out at once, and releases that go forward, halt and go back under that. It does no I/O:
//! messages, what members are seen to be, and the time go in; messages, orders and reasons come out.
//!
//! Drains by discovery, operators' cordons, releases and failures share one [`Allowance`] for each group, each zone and
//! the fleet. Each of a few banks has a fixed part of it and watches over the groups that are its own, so that no bank
//! needs another. A [`Permit`] is of one launch of one member, and it is held: it ends when the member is seen back at a
//! later launch and sound, however long that takes, or when the one it was given to returns it unused. An [`Order`]
//! names the launch that it ends, and a member follows it at that launch only: one that comes late or twice does nothing.
//!
//! - [`Roster`]: who there is, and which bank watches over whom.
//! - [`Bank`]: gives and ends permits.
//! - [`Plan`], [`Plans`]: a release as a state that merges, so that any proxy can go on with it.
//! - [`Driver`]: what the proxy that drives a release does next.
//! - [`Station`]: one proxy's side of it all, with its messages as bytes.
//! - [`Agents`], [`View`]: what members are seen to be, by their agents and the broker.
//! - [`Desk`]: all of it for a driver with one socket, a file and a clock.
//! - [`Evidence`], [`Sums`]: whether the released answer worse than the others, by a sequential test.
//!
//! ```
//! use wharfplank_rollout::{Allowance, Ask, Bank, Kind, Ledger, Place, PlanId, Roster, Sight, Terms};
//!
//! let places = (0..3).map(|id| Place { id, group: 0, zone: id as u32, kind: Kind::Member }).collect();
//! let roster = Roster::new(places, Allowance { group: 1, zone: 1, fleet: 1, banks: 1 });
//! let digest = roster.digest();
//! let mut bank = Bank::new(0, roster, Terms::default(), Some(Ledger::default()));
//! for id in 0..3 {
//!     bank.seen(0, id, Sight { launch: 10, version: 1, sound: true, down: false, primary: id == 0, at: 0 });
//! }
//! let plan = PlanId { started_ms: 1, by: 9 };
//! let ask = |number, id| Ask { plan, control: 0, roster: digest, holder: 9, number, wants: vec![(id, 10)] };
//! assert_eq!(bank.asked(1, &ask(1, 1)).unwrap().held.len(), 1);
//! // Neither a second one, nor an hour later: the first was not seen back.
//! assert_eq!(bank.asked(3_600_000_000, &ask(2, 2)).unwrap().held.len(), 1);
//! ```

mod agent;
mod agents;
mod allowance;
mod bank;
mod desk;
mod driver;
mod evidence;
mod guard;
mod keep;
mod message;
mod permits;
mod plan;
mod plans;
mod roles;
mod signal;
mod station;
pub mod status;
mod steps;
mod sums;
mod view;
mod wheel;
mod wire;
mod word;

pub use agent::{Call, Status, What};
pub use agents::Agents;
pub use allowance::{Allowance, Kind, Place, Roster};
pub use bank::{Bank, Cause, Ledger, Sight};
pub use desk::{Desk, Out, Said};
pub use driver::{Action, Driver};
pub use evidence::{Evidence, Tally, Trial};
pub use keep::{read_ledger, write_ledger};
pub use message::{Deed, Identity, To};
pub use plan::{Control, Course, Plan, PlanId, Reason, Step};
pub use plans::{Plans, PLANS_MOST};
pub use signal::{Signal, Stamp};
pub use station::Station;
pub use sums::Sums;
pub use view::{Look, View};
pub use wharfplank_budget::Micros;
pub use wheel::Wheel;
pub use wire::{Answer, Ask, Order, Permit, Refusal, Return};
pub use word::Word;

/// A member, or a proxy that is to restart: a number that all proxies know it by.
pub type Id = u64;
/// A launch of a member's process (`born_ms`): it grows with each.
pub type Launch = u64;
/// A version of the program that members run.
pub type Version = u64;

/// The figures of permits and releases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Who was not seen sound for this long counts as out, counted from when it was asked.
    pub fresh: Micros,
    /// How often a bank is asked, and an order said again.
    pub again: Micros,
    /// A member that is not back and sound so long after its order halts the release.
    pub ready_within: Micros,
    /// How long a wave is watched at most before the next one, where the test does not accept it before.
    pub watch: Micros,
    /// How often the evidence is looked at.
    pub look: Micros,
    /// A proxy not heard for this long does not drive.
    pub silent: Micros,
    /// Whether a release that its evidence halts goes back by itself, or waits for an operator.
    pub undo: bool,
    /// How often a member is asked to leave at most, before the release halts.
    pub tries: u32,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            fresh: 3_000_000,
            again: 1_000_000,
            ready_within: 60_000_000,
            watch: 5_000_000,
            look: 1_000_000,
            silent: 3_000_000,
            undo: true,
            tries: 3,
        }
    }
}
