//! The opinions of all proxies that hear each other, their quorum, and each zone's standing.

use crate::evidence::{Evidence, Opinion};
use crate::{Micros, Terms};
use std::collections::{BTreeMap, BTreeSet};

/// Zones kept apart; a zone named past this is not decided about and keeps all of its reads.
pub const ZONES_MOST: usize = 64;
/// Peers whose opinions are held; past this a new one is not heard until one is gone.
pub const VOICES_MOST: usize = 4096;
/// Peers remembered as part of the fleet after they were last alive: the fleet's size that a quorum is taken of.
const REMEMBERED: Micros = 60_000_000;

/// Before any time that is told.
const LONG_AGO: Micros = Micros::MIN / 2;

/// Where a zone stands for this proxy's reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It gets all of its reads.
    Served,
    /// It gets none since then.
    Left {
        /// When it was left.
        since: Micros,
    },
    /// It gets a growing part since then.
    Returning {
        /// When the return began.
        since: Micros,
    },
}

/// What a proxy does that cannot hear a quorum of its fleet, or has no peers at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Alone {
    /// It leaves no zone: each member is the router's matter alone, as without this module.
    #[default]
    Serve,
    /// It follows its own opinion, as a quorum of one.
    Own,
}

/// A peer's opinions: which note they came in, and when that was first heard.
#[derive(Clone, Debug)]
struct Voice {
    note: (u64, u64),
    at: Micros,
    opinions: Vec<(String, Opinion)>,
}

impl Voice {
    /// Its opinion of a zone. Down is said again while it holds: one that is not is of a past whose end was missed,
    /// as by a proxy that was away when the note that took it back went round.
    fn of(&self, zone: &str, now: Micros, terms: &Terms) -> Opinion {
        let opinion = self.opinions.iter().find(|(z, _)| z == zone).map_or(Opinion::Unknown, |(_, o)| *o);
        match opinion {
            Opinion::Down if now - self.at > terms.life => Opinion::Unknown,
            opinion => opinion,
        }
    }
}

#[derive(Clone, Debug)]
struct Zone {
    standing: Standing,
    /// Returns that failed since the zone was last calm: each doubles the hold.
    failed: u32,
    left_at: Micros,
}

/// The decision of one proxy.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    terms: Terms,
    alone: Alone,
    own: BTreeMap<String, Evidence>,
    voices: BTreeMap<u64, Voice>,
    alive: BTreeSet<u64>,
    known: BTreeMap<u64, Micros>,
    zones: BTreeMap<String, Zone>,
    published: Vec<(String, Opinion)>,
    published_at: Micros,
    /// When this proxy was last called, and when it last woke from standing still.
    called_at: Option<Micros>,
    woke_at: Option<Micros>,
    /// Opinions of peers that were not held since the bound was reached, and zones not kept apart.
    pub dropped: u64,
}

impl Zones {
    /// A proxy that has seen nothing yet.
    pub fn new(terms: Terms, alone: Alone) -> Self {
        Zones { terms, alone, ..Zones::default() }
    }

    /// Notes that this proxy runs. One that stood still (paused, starved) wakes to datagrams and time-outs of a past
    /// that the others have left behind: until it has read them it leaves no zone, and silence of sends from before
    /// speaks for none.
    fn runs(&mut self, now: Micros) {
        if self.called_at.is_some_and(|at| now - at > self.terms.gap) {
            self.woke_at = Some(now);
            self.voices.values_mut().for_each(|voice| voice.at = LONG_AGO);
        }
        self.called_at = Some(now);
    }

    fn waking(&self, now: Micros) -> bool {
        self.woke_at.is_some_and(|at| now - at < self.terms.window)
    }

    fn room(&mut self, zone: &str) -> bool {
        if self.zones.contains_key(zone) {
            return true;
        }
        if self.zones.len() >= ZONES_MOST {
            self.dropped += 1;
            return false;
        }
        let standing = Standing::Served;
        self.zones.insert(zone.to_string(), Zone { standing, failed: 0, left_at: LONG_AGO });
        true
    }

    /// An outcome of a member of `zone`: `answered` where it spoke at all, false where it was silent.
    pub fn observe(&mut self, now: Micros, zone: &str, member: u32, answered: bool) {
        self.runs(now);
        if self.room(zone) {
            let terms = self.terms.clone();
            self.own.entry(zone.to_string()).or_default().observe(now, member, answered, &terms);
        }
    }

    /// A send to a member of `zone` that went at `sent` has met silence: see [`Evidence::silence`].
    pub fn silence(&mut self, now: Micros, sent: Micros, zone: &str, member: u32) {
        self.runs(now);
        if self.woke_at.is_none_or(|at| at <= sent) && self.room(zone) {
            let terms = self.terms.clone();
            self.own.entry(zone.to_string()).or_default().silence(now, sent, member, &terms);
        }
    }

    /// This proxy's own opinion of a zone.
    pub fn own(&mut self, zone: &str, now: Micros) -> Opinion {
        let terms = self.terms.clone();
        self.own.get_mut(zone).map_or(Opinion::Unknown, |e| e.opinion(now, &terms))
    }

    /// This proxy's opinions, where they changed since the last call or one of them is Down and has to be said again:
    /// what it is to publish.
    pub fn to_publish(&mut self, now: Micros) -> Option<Vec<(String, Opinion)>> {
        let terms = self.terms.clone();
        let opinions: Vec<(String, Opinion)> =
            self.own.iter_mut().map(|(zone, e)| (zone.clone(), e.opinion(now, &terms))).collect();
        let down = opinions.iter().any(|(_, opinion)| *opinion == Opinion::Down);
        let again = down && now - self.published_at >= terms.life / 3;
        (opinions != self.published || again).then(|| {
            (self.published, self.published_at) = (opinions.clone(), now);
            opinions
        })
    }

    /// What a peer holds of the zones, as its newest note says; `note` is that note's generation and version. The same
    /// note heard again is no news.
    pub fn heard(&mut self, now: Micros, peer: u64, note: (u64, u64), opinions: &[(String, Opinion)]) {
        self.runs(now);
        if self.voices.get(&peer).is_some_and(|voice| voice.note == note) {
            return;
        }
        if !self.voices.contains_key(&peer) && self.voices.len() >= VOICES_MOST {
            self.dropped += 1;
            return;
        }
        let opinions: Vec<(String, Opinion)> =
            opinions.iter().filter(|(zone, _)| self.room(zone)).cloned().collect();
        // What is read on waking may have waited since the pause began: a Down in it counts once it is said again.
        let at = if self.waking(now) { LONG_AGO } else { now };
        self.voices.insert(peer, Voice { note, at, opinions });
    }

    /// The peers that are alive now; others' opinions do not count, and those gone for long are forgotten.
    pub fn alive(&mut self, now: Micros, peers: impl Iterator<Item = u64>) {
        self.alive = peers.collect();
        for peer in &self.alive {
            self.known.insert(*peer, now);
        }
        self.known.retain(|_, at| now - *at <= REMEMBERED);
        let known = &self.known;
        self.voices.retain(|peer, _| known.contains_key(peer));
    }

    /// Whether this proxy hears too few of its fleet to count a quorum: its peers alive now and it are no majority
    /// of those alive within the last minute.
    pub fn is_alone(&self) -> bool {
        let fleet = self.known.len() + 1;
        let heard = self.alive.len() + 1;
        heard == 1 || heard * 2 <= fleet
    }

    /// Whether the zone is down for the proxies that hear each other.
    fn down(&mut self, zone: &str, now: Micros) -> bool {
        let (terms, own) = (self.terms.clone(), self.own(zone, now));
        if self.is_alone() {
            return self.alone == Alone::Own && own == Opinion::Down;
        }
        let voices = self.alive.iter().filter_map(|peer| self.voices.get(peer));
        let heard = voices.map(|voice| voice.of(zone, now, &terms));
        let all: Vec<Opinion> = heard.chain(std::iter::once(own)).collect();
        let downs = all.iter().filter(|o| **o == Opinion::Down).count();
        let voters = all.iter().filter(|o| **o != Opinion::Unknown).count();
        let alive = self.alive.len() + 1;
        downs * 2 > voters && voters as f64 >= terms.voters_part * alive as f64 && downs >= 2
    }

    /// Decides each zone's standing anew; true where one changed.
    pub fn decide(&mut self, now: Micros) -> bool {
        self.runs(now);
        let waking = self.waking(now);
        let names: Vec<String> = self.zones.keys().cloned().collect();
        let mut changed = false;
        for name in names {
            let down = self.down(&name, now);
            let terms = self.terms.clone();
            let Some(zone) = self.zones.get_mut(&name) else { continue };
            if now - zone.left_at > terms.calm {
                zone.failed = 0;
            }
            let hold = terms.hold.saturating_mul(1 << zone.failed.min(16)).min(terms.hold_most);
            let next = match zone.standing {
                Standing::Served if down && !waking => Standing::Left { since: now },
                Standing::Returning { .. } if down => {
                    zone.failed += 1;
                    Standing::Left { since: now }
                }
                Standing::Left { since } if !down && now - since >= hold => {
                    Standing::Returning { since: now }
                }
                Standing::Returning { since } if now - since >= terms.cold_span => Standing::Served,
                standing => standing,
            };
            if next != zone.standing {
                if matches!(next, Standing::Left { .. }) {
                    zone.left_at = now;
                }
                zone.standing = next;
                changed = true;
            }
        }
        changed
    }

    /// Where a zone stands.
    pub fn standing(&self, zone: &str) -> Standing {
        self.zones.get(zone).map_or(Standing::Served, |z| z.standing)
    }

    /// The part of its reads that a zone gets now: all, none while it is left, and while it returns a part that
    /// grows as a cold member's capacity does.
    pub fn share(&self, zone: &str, now: Micros) -> f64 {
        match self.standing(zone) {
            Standing::Served => 1.0,
            Standing::Left { .. } => 0.0,
            Standing::Returning { since } => {
                let grown = (now - since).max(0) as f64 / self.terms.cold_span.max(1) as f64;
                (self.terms.cold_from + (1.0 - self.terms.cold_from) * grown).min(1.0)
            }
        }
    }

    /// Every zone that does not get all of its reads, with its part.
    pub fn shares(&self, now: Micros) -> Vec<(String, f64)> {
        let less = |(name, _): (&String, &Zone)| {
            let share = self.share(name, now);
            (share < 1.0).then(|| (name.clone(), share))
        };
        self.zones.iter().filter_map(less).collect()
    }

    /// When something changes by the clock alone: an opinion grows old, a hold ends, a return grows.
    pub fn next_due(&self, now: Micros) -> Micros {
        let returning = self.zones.values().any(|z| !matches!(z.standing, Standing::Served));
        if returning || !self.own.is_empty() {
            now + self.terms.window / 10
        } else {
            Micros::MAX
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn silent(zones: &mut Zones, now: Micros, zone: &str) {
        for (i, member) in [1, 2, 1].into_iter().enumerate() {
            zones.observe(now + i as Micros, zone, member, false);
        }
    }

    fn down(zone: &str) -> Vec<(String, Opinion)> {
        vec![(zone.to_string(), Opinion::Down)]
    }

    #[test]
    fn a_zone_is_left_only_on_a_quorum_of_those_that_hear_each_other() {
        let mut zones = Zones::new(Terms::default(), Alone::Serve);
        zones.alive(0, [1, 2, 3, 4, 5, 6, 7, 8].into_iter());
        silent(&mut zones, 0, "a");
        zones.decide(10);
        assert_eq!(zones.standing("a"), Standing::Served, "one voice of nine is no quorum");
        zones.heard(0, 1, (1, 0), &down("a"));
        zones.heard(0, 2, (1, 0), &[("a".to_string(), Opinion::Up)]);
        zones.heard(0, 3, (1, 0), &[("a".to_string(), Opinion::Up)]);
        zones.decide(10);
        assert_eq!(zones.standing("a"), Standing::Served, "two downs of four voters is no majority");
        zones.heard(0, 3, (1, 1), &down("a"));
        assert!(zones.decide(10));
        assert!(
            matches!(zones.standing("a"), Standing::Left { .. }),
            "three of four voters, a third of nine alive"
        );
    }

    #[test]
    fn the_opinions_of_peers_that_are_not_alive_do_not_count() {
        let mut zones = Zones::new(Terms::default(), Alone::Serve);
        zones.alive(0, [1, 2].into_iter());
        silent(&mut zones, 0, "a");
        zones.heard(0, 1, (1, 0), &down("a"));
        zones.heard(0, 2, (1, 0), &down("a"));
        zones.alive(5, [2].into_iter());
        zones.heard(5, 9, (1, 0), &down("a"));
        zones.decide(10);
        assert!(
            matches!(zones.standing("a"), Standing::Left { .. }),
            "this one and peer 2: two of two voters"
        );
        let mut zones = Zones::new(Terms::default(), Alone::Serve);
        zones.alive(0, [1, 2, 3].into_iter());
        zones.heard(0, 1, (1, 0), &down("a"));
        zones.heard(0, 2, (1, 0), &down("a"));
        zones.alive(1, [3].into_iter());
        zones.decide(10);
        assert_eq!(
            zones.standing("a"),
            Standing::Served,
            "alone now: two of four known alive, and the dead said it"
        );
    }

    #[test]
    fn alone_it_serves_unless_told_to_follow_its_own_opinion() {
        for (alone, left) in [(Alone::Serve, false), (Alone::Own, true)] {
            let mut zones = Zones::new(Terms::default(), alone);
            silent(&mut zones, 0, "a");
            zones.decide(10);
            assert_eq!(matches!(zones.standing("a"), Standing::Left { .. }), left, "{alone:?}");
        }
    }

    #[test]
    fn a_left_zone_is_tried_again_in_steps_and_each_failed_return_holds_it_longer() {
        let terms = Terms::default();
        let mut zones = Zones::new(terms.clone(), Alone::Own);
        silent(&mut zones, 0, "a");
        zones.decide(0);
        assert_eq!(zones.share("a", 0), 0.0);
        // Nothing is sent to a left zone: its opinion grows old, and after the hold it returns at the cold share.
        let mut now = 0;
        while matches!(zones.standing("a"), Standing::Left { .. }) {
            now += S / 10;
            zones.decide(now);
        }
        assert!(now >= terms.life.max(terms.hold), "returned after {now} µs");
        assert!((zones.share("a", now) - terms.cold_from).abs() < 1e-9);
        assert!(zones.share("a", now + terms.cold_span / 2) < 1.0);
        // Still silent: left again, and held twice as long.
        silent(&mut zones, now, "a");
        zones.decide(now + 3);
        let left = now + 3;
        assert!(matches!(zones.standing("a"), Standing::Left { .. }));
        while matches!(zones.standing("a"), Standing::Left { .. }) {
            now += S / 10;
            zones.decide(now);
        }
        assert!(now - left >= 2 * terms.hold, "held {} µs after a failed return", now - left);
        // It answers: the return runs its course to all reads.
        zones.observe(now, "a", 1, true);
        zones.decide(now + terms.cold_span);
        assert_eq!(zones.standing("a"), Standing::Served);
        assert_eq!(zones.share("a", now + terms.cold_span), 1.0);
    }

    #[test]
    fn a_proxy_that_stood_still_does_not_act_on_the_past_it_wakes_to() {
        let terms = Terms::default();
        let mut zones = Zones::new(terms.clone(), Alone::Serve);
        zones.alive(0, [1, 2].into_iter());
        zones.observe(0, "a", 1, true);
        zones.decide(0);
        // Ten seconds later: its sends of before have timed out, and old notes of its peers wait to be read.
        let now = 10 * S;
        (0..9).for_each(|i| zones.silence(now, 0, "a", i % 3));
        zones.alive(now, [1, 2].into_iter());
        [1, 2].into_iter().for_each(|peer| zones.heard(now, peer, (1, 0), &down("a")));
        zones.decide(now);
        assert_eq!(zones.standing("a"), Standing::Served, "it acted on what the others have left behind");
        assert_ne!(zones.own("a", now), Opinion::Down);
        // What still holds once it has caught up is said again, and counts.
        for step in 1..=11 {
            zones.decide(now + step * S / 10);
        }
        assert_eq!(zones.standing("a"), Standing::Served, "it acted on what it read on waking");
        [1, 2].into_iter().for_each(|peer| zones.heard(now + 2 * S, peer, (1, 1), &down("a")));
        zones.decide(now + 2 * S);
        assert!(matches!(zones.standing("a"), Standing::Left { .. }));
    }

    #[test]
    fn a_down_that_is_not_said_again_grows_old_and_one_that_holds_is() {
        let terms = Terms::default();
        let mut zones = Zones::new(terms.clone(), Alone::Serve);
        let alive = |zones: &mut Zones, now| zones.alive(now, [1, 2, 3].into_iter());
        alive(&mut zones, 0);
        [1, 2].into_iter().for_each(|peer| zones.heard(0, peer, (1, 1), &down("a")));
        // It misses the notes that took these back, as one that was away does.
        let mut now = 0;
        while now < terms.life + S {
            now += S / 10;
            alive(&mut zones, now);
            [1, 2].into_iter().for_each(|peer| zones.heard(now, peer, (1, 1), &down("a")));
            zones.decide(now);
        }
        zones.observe(now, "a", 1, true);
        zones.decide(now + terms.hold);
        assert!(!matches!(zones.standing("a"), Standing::Left { .. }), "left on what was said long ago");
        assert!(!zones.down("a", now));
        [1, 2].into_iter().for_each(|peer| zones.heard(now, peer, (1, 2), &down("a")));
        assert!(zones.down("a", now), "said again, it counts");
        // This proxy says its own Down again while it holds, and nothing else.
        let mut own = Zones::new(terms.clone(), Alone::Serve);
        silent(&mut own, 0, "a");
        assert!(own.to_publish(3).is_some());
        assert!(own.to_publish(S).is_none());
        assert!(own.to_publish(terms.life / 3 + 3).is_some());
    }

    #[test]
    fn opinions_are_published_when_they_change_only() {
        let mut zones = Zones::new(Terms::default(), Alone::Serve);
        zones.observe(0, "a", 1, true);
        assert_eq!(zones.to_publish(0), Some(vec![("a".to_string(), Opinion::Up)]));
        zones.observe(1, "a", 2, true);
        assert_eq!(zones.to_publish(1), None);
        silent(&mut zones, 2 * S, "a");
        assert_eq!(zones.to_publish(2 * S), Some(down("a")));
    }

    #[test]
    fn zones_and_voices_are_bounded() {
        let mut zones = Zones::new(Terms::default(), Alone::Serve);
        (0..ZONES_MOST + 5).for_each(|z| zones.observe(0, &format!("z{z}"), 1, true));
        assert_eq!(zones.zones.len(), ZONES_MOST);
        zones.alive(0, 0..(VOICES_MOST as u64 + 5));
        (0..VOICES_MOST as u64 + 5).for_each(|p| zones.heard(0, p, (1, 0), &down("z0")));
        assert_eq!(zones.voices.len(), VOICES_MOST);
        assert_eq!(zones.dropped, 10);
    }
}
