//! What the requests of a run were worth, what of it was served, and what a router that always knows the truth could
//! have served: agreement among proxies is judged by this, not by itself.
//!
//! The bound asks for each request whether, at any time that its client would still wait, some member of its group
//! could have answered it: reached from its proxy's zone, running, the primary for a write, new enough for a read. It
//! knows nothing of capacity and takes an answer to need no time, so no router reaches it where members are busy.

use crate::relay::Links;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wharfplank_lab::fleet::{Fleet, Micros, CLASSES};
use wharfplank_lab::load::{Done, Seen};

/// How often the members are looked at, and the most looks that are kept: an hour's.
pub const LOOK_EVERY: Micros = 20_000;
const LOOKS_MOST: usize = 180_000;
/// How old the data of a bounded read may be.
const BOUND: Micros = 200_000;

/// A member at one moment.
#[derive(Clone, Copy, Debug)]
struct State {
    takes: bool,
    primary: bool,
    position: Micros,
}

/// The members as they truly were through a run.
#[derive(Debug, Default)]
pub struct Truth {
    /// Group and zone of each member.
    members: Vec<(usize, &'static str)>,
    looks: Vec<(Micros, Option<String>, Vec<State>)>,
}

impl Truth {
    /// Looks at the members, if the last look is long enough ago.
    pub fn look(&mut self, now: Micros, fleet: &Fleet, links: &Links) {
        let due = self.looks.last().is_none_or(|(at, ..)| now - at >= LOOK_EVERY);
        if !due || self.looks.len() >= LOOKS_MOST {
            return;
        }
        self.members = fleet.members.iter().map(|m| (m.group, m.zone)).collect();
        let states = fleet.members.iter().enumerate().map(|(i, m)| State {
            takes: !m.silent && !m.drains && !m.fallen,
            primary: m.primary,
            position: fleet.position_ms(i) * 1000,
        });
        self.looks.push((now, links.cut.borrow().clone(), states.collect()));
    }

    /// The first time at which some member could have answered a request while its client waited.
    fn first(&self, done: &Done, zone: &str) -> Option<Micros> {
        let class = &CLASSES[done.class];
        let from = self.looks.partition_point(|(at, ..)| *at + LOOK_EVERY < done.due);
        let waits = self.looks[from..].iter().take_while(|(at, ..)| *at <= done.due + class.wait);
        let able = |at: Micros, state: &State| match (class.name, done.after_ms) {
            ("write", _) => state.primary,
            ("bounded-read", _) => state.primary || state.position >= at - BOUND,
            (_, Some(after)) => state.primary || state.position >= after * 1000,
            _ => true,
        };
        let mut waits = waits.filter(|(at, cut, states)| {
            let apart = |member: &str| cut.as_deref().is_some_and(|cut| (member == cut) != (zone == cut));
            let mut members = self.members.iter().zip(states);
            members.any(|((group, at_zone), state)| {
                *group == done.group && state.takes && !apart(at_zone) && able(*at, state)
            })
        });
        waits.next().map(|(at, ..)| (*at).max(done.due))
    }
}

/// Worth of one class's requests, or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worth {
    /// Worth of the requests.
    pub asked: f64,
    /// Worth served: a late answer has the class's part of it.
    pub served: f64,
    /// The most that any router could have served.
    pub bound: f64,
    /// Answers in time, and late ones.
    pub in_time: u64,
    /// See `in_time`.
    pub late: u64,
    /// Requests refused.
    pub refused: u64,
}

impl Worth {
    fn add(&mut self, other: Worth) {
        self.asked += other.asked;
        self.served += other.served;
        self.bound += other.bound;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
    }

    /// For people: the part of the worth that was served, of the bound, and the late share of answers.
    pub fn render(&self, name: &str) -> String {
        let part = |value: f64| value / self.asked.max(f64::MIN_POSITIVE);
        let late = self.late as f64 / (self.late + self.in_time).max(1) as f64;
        format!(
            "worth of {name}: {:.3} served, {:.3} within reach; {:.3} of answers late, {} refused\n",
            part(self.served),
            part(self.bound),
            late,
            self.refused
        )
    }
}

/// The worth by class; `zone` tells where a proxy stands.
pub fn by_class(
    truth: &Truth,
    done: &[Done],
    zone: impl Fn(usize) -> &'static str,
) -> BTreeMap<String, Worth> {
    let mut all: BTreeMap<String, Worth> = BTreeMap::new();
    for d in done {
        let class = &CLASSES[d.class];
        let worth = |at: Option<Micros>| match at {
            Some(at) if at - d.due <= class.aim => class.worth,
            Some(_) => class.worth * class.late,
            None => 0.0,
        };
        let (served, in_time) = (d.seen == Seen::Served, d.at - d.due <= class.aim);
        let one = Worth {
            asked: class.worth,
            served: worth(served.then_some(d.at)),
            bound: worth(truth.first(d, zone(d.proxy))),
            in_time: u64::from(served && in_time),
            late: u64::from(served && !in_time),
            refused: u64::from(d.seen == Seen::Refused),
        };
        all.entry(class.name.to_string()).or_default().add(one);
    }
    all
}

/// The worth of all classes.
pub fn total(by_class: &BTreeMap<String, Worth>) -> Worth {
    by_class.values().fold(Worth::default(), |mut sum, worth| {
        sum.add(*worth);
        sum
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn state(takes: bool, primary: bool, position: Micros) -> State {
        State { takes, primary, position }
    }

    fn done(class: usize, due: Micros, after_ms: Option<i64>, seen: Seen) -> Done {
        Done { proxy: 0, class, group: 0, after_ms, due, at: due + 10_000, seen }
    }

    /// Guards against a bound that calls served what nobody could have served, and the other way round.
    #[test]
    fn the_bound_is_what_a_router_could_have_done_that_knows_the_truth() {
        let members = vec![(0, "a"), (0, "b"), (1, "a")];
        // The primary of group 0 is away from 1 s to 3 s, its replica stands still meanwhile.
        let looks = (0..200).map(|i| {
            let at = i * LOOK_EVERY;
            let away = (1_000_000..3_000_000).contains(&at);
            let position = if away { 1_000_000 } else { at };
            (at, None, vec![state(!away, true, at), state(true, false, position), state(true, true, at)])
        });
        let truth = Truth { members, looks: looks.collect() };
        let (lookup, own, write) = (0, 1, 3);
        let first = |d: Done| truth.first(&d, "a");
        assert_eq!(first(done(write, 500_000, None, Seen::Served)), Some(500_000));
        assert_eq!(first(done(write, 1_500_000, None, Seen::Served)), Some(3_000_000), "once it is back");
        assert_eq!(first(done(write, 900_000, None, Seen::Served)), Some(900_000));
        assert_eq!(first(done(lookup, 1_100_000, None, Seen::Served)), Some(1_100_000), "not yet too old");
        assert_eq!(first(done(lookup, 1_500_000, None, Seen::Served)), None, "too old, and gone by 2.5 s");
        assert_eq!(first(done(own, 1_500_000, Some(900), Seen::Served)), Some(1_500_000));
        assert_eq!(first(done(own, 1_500_000, Some(1_400), Seen::Served)), None);
        let all = [
            done(lookup, 1_500_000, None, Seen::Refused),
            done(write, 500_000, None, Seen::Served),
            Done { at: 4_000_000, ..done(write, 2_500_000, None, Seen::Served) },
        ];
        let worth = by_class(&truth, &all, |_| "a");
        let sum = total(&worth);
        let (of_lookup, of_write) = (&CLASSES[lookup], &CLASSES[write]);
        assert_eq!(sum.asked, of_lookup.worth + 2.0 * of_write.worth);
        assert!((sum.served - of_write.worth * (1.0 + of_write.late)).abs() < 1e-9, "{sum:?}");
        assert_eq!(sum.bound, 2.0 * of_write.worth, "the second was possible in time, the lookup never");
        assert_eq!((sum.in_time, sum.late, sum.refused), (1, 1, 1));
    }

    /// Guards against a bound that reaches over a cut.
    #[test]
    fn a_cut_zone_reaches_only_itself() {
        let looks = (0..100).map(|i| {
            let at = i * LOOK_EVERY;
            (at, Some("b".to_string()), vec![state(true, true, at), state(true, false, at)])
        });
        let truth = Truth { members: vec![(0, "a"), (0, "b")], looks: looks.collect() };
        let write = done(3, 0, None, Seen::Served);
        assert_eq!(truth.first(&write, "a"), Some(0));
        assert_eq!(truth.first(&write, "b"), None, "the primary is on the other side");
        assert_eq!(truth.first(&done(0, 0, None, Seen::Served), "b"), Some(0));
    }
}
