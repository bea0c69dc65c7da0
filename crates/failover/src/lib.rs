//! Which zones the fleet's reads may use, decided in common: a zone is left when a quorum of the proxies that hear
//! each other has seen its members fall silent, and it is taken back in steps that follow the cold start of its
//! members, so that all proxies together stay under what fells a cold member. It does no I/O: what members did, what
//! peers said and the time go in; each zone's share of reads comes out. Which member serves a read stays the router's
//! call: it hears only the shares.
//!
//! - [`Evidence`]: what this proxy has seen of a zone's members, and its own opinion of the zone.
//! - [`Zones`]: the opinions of all, the quorum, and each zone's standing: served, left, or returning.
//! - [`Opinion`], [`Standing`], [`Terms`]; [`encode`] and [`decode`] of a proxy's opinions for its peers.
//!
//! ```
//! use wharfplank_failover::{Alone, Opinion, Standing, Terms, Zones};
//!
//! let mut zones = Zones::new(Terms::default(), Alone::Serve);
//! let mut now = 0;
//! for member in [1, 2, 1, 2] {
//!     now += 100_000;
//!     zones.observe(now, "b", member, false);
//! }
//! assert_eq!(zones.own("b", now), Opinion::Down);
//! // Two peers that hear this proxy saw the same: a quorum of three.
//! for peer in [7, 8] {
//!     zones.heard(now, peer, (1, 1), &[("b".to_string(), Opinion::Down)]);
//! }
//! zones.alive(now, [7, 8].into_iter());
//! assert!(zones.decide(now));
//! assert_eq!(zones.standing("b"), Standing::Left { since: now });
//! assert_eq!(zones.share("b", now), 0.0);
//! ```

mod evidence;
mod zones;

/// The topic of the notes in which proxies publish their opinions of the zones.
pub const TOPIC: u8 = 1;

/// A proxy's opinions as the body of a note.
pub fn encode(opinions: &[(String, Opinion)]) -> Vec<u8> {
    postcard::to_allocvec(opinions).unwrap_or_default()
}

/// The opinions in a note's body; `None` where it cannot be read, which counts as no note.
pub fn decode(body: &[u8]) -> Option<Vec<(String, Opinion)>> {
    postcard::from_bytes(body).ok()
}

pub use evidence::{Evidence, Opinion};
pub use zones::{Alone, Standing, Zones, ZONES_MOST};

/// A time or a span of time, in microseconds, on the caller's clock.
pub type Micros = i64;

/// The figures of the decision. Those of a cold start come from the platform's settings (`cold_from`, `cold_span`);
/// the others are ours, with their reasons beside them.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// The span over which a zone's outcomes count together.
    pub window: Micros,
    /// Silent outcomes (no connection, no answer in time) within the window that make this proxy's opinion Down,
    /// from at least `members_least` members, with not one answer from the zone in that window.
    pub silent_least: u32,
    /// See `silent_least`: one silent member is that member's matter, not its zone's.
    pub members_least: usize,
    /// How long an opinion holds without a new outcome that bears it out. A left zone gets no reads, so its Down
    /// opinions grow old by themselves, and it is tried again.
    pub life: Micros,
    /// How long an Up opinion holds without an answer that bears it out, and without silence that speaks against it.
    /// A far zone may see few sends of this proxy; an opinion that flipped each time would be published each time,
    /// and notes to all proxies from each of them grow with the fleet.
    pub up_life: Micros,
    /// The least time a zone stays left; it doubles with each return that fails, up to `hold_most`.
    pub hold: Micros,
    /// See `hold`.
    pub hold_most: Micros,
    /// A zone that has not been left for this long has its failed returns forgotten.
    pub calm: Micros,
    /// The part of its reads that a returning zone gets at first, and the span in which that grows to all of them:
    /// a member that starts cold has `cold_from` of its capacity and all of it after `cold_span`.
    pub cold_from: f64,
    /// See `cold_from`.
    pub cold_span: Micros,
    /// A proxy that was not called for longer than this stood still.
    pub gap: Micros,
    /// The least part of the proxies alive (this one among them) that must hold an opinion of a zone before their
    /// majority counts: a handful that saw something are no quorum of hundreds that saw nothing.
    pub voters_part: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            window: 1_000_000,
            silent_least: 3,
            members_least: 2,
            life: 4_000_000,
            up_life: 30_000_000,
            hold: 2_000_000,
            hold_most: 30_000_000,
            calm: 60_000_000,
            cold_from: 0.24,
            cold_span: 15_000_000,
            gap: 2_000_000,
            voters_part: 1.0 / 3.0,
        }
    }
}
