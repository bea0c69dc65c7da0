//! A release as a state: any proxy that has it can go on, and copies that differ merge to one.

use crate::{Evidence, Id, Launch, Tally, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Proxies whose tallies are kept at most.
const TALLIES_MOST: usize = 1024;

/// A release: when it was started, by the wall clock of the proxy where it was, and which proxy that was. Of two
/// releases the lesser goes first; nothing else rests on the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlanId {
    /// Unix milliseconds.
    pub started_ms: u64,
    /// The proxy.
    pub by: u64,
}

/// Where a release goes. Of two words with one number the later of these holds: the one that does less harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Course {
    /// On to the next members and waves.
    Forward,
    /// Nobody new goes out; who is out comes back.
    Halted(Reason),
    /// The released go back, the newest first. It can't be turned again.
    Back(Reason),
}

/// Why a release halts or goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// An operator's word.
    Operator,
    /// The released refuse more than the others.
    Refusals,
    /// The released answer late more often than the others.
    Late,
    /// This one was not back and sound in time.
    NotReady(Id),
    /// An older release goes first: the members go on to its version.
    OtherRelease(Version),
}

/// The newest word on a release's course.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Control {
    /// Grows with each word.
    pub number: u64,
    /// The word.
    pub course: Course,
}

/// How far a release is with one member. Its order is the order of the steps, so that of two copies the further holds
/// and no step is done again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    /// Nothing was ordered.
    Waiting,
    /// A permit was held for this launch, and the order to end it may have left.
    Ordered(Launch),
    /// It was seen sound at this launch, as the new version.
    Released(Launch),
    /// As [`Step::Ordered`], to go back.
    OrderedBack(Launch),
    /// It was seen sound, and not as the new version.
    Undone,
}

/// A release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Which.
    pub id: PlanId,
    /// What members are to run.
    pub target: Version,
    /// What they ran, and run again on the way back.
    pub back: Version,
    /// Releases that were over where and when this one was started: it need not give way to them.
    pub after: BTreeSet<PlanId>,
    /// Who goes when: 1, 2, 4 and so on, for good.
    pub waves: Vec<Vec<Id>>,
    /// The newest word on its course.
    pub control: Control,
    /// How far it is with whom; who is absent waits.
    pub steps: BTreeMap<Id, Step>,
    /// What each proxy saw of the released and the others since the release began.
    pub tallies: BTreeMap<u64, Tally>,
    /// The sequential test, as the newest look at it left it.
    pub evidence: Evidence,
}

impl Plan {
    /// A release of members in this order, in waves that double. One of more than may be out at once is made up to a
    /// multiple of that: the last of a wave that does not fill the allowance waste the rest of it.
    pub fn new(id: PlanId, target: Version, back: Version, members: &[Id], at_once: usize) -> Plan {
        let (mut waves, mut rest, mut size) = (Vec::new(), members, 1_usize);
        while !rest.is_empty() {
            if size > at_once {
                size = size.next_multiple_of(at_once.max(1));
            }
            // A last wave that is smaller than the one before goes with it: a stop less, late in the release.
            let take = if rest.len() < 2 * size { rest.len() } else { size };
            let (wave, later) = rest.split_at(take);
            waves.push(wave.to_vec());
            (rest, size) = (later, size * 2);
        }
        let control = Control { number: 0, course: Course::Forward };
        let (steps, tallies, evidence) = (BTreeMap::new(), BTreeMap::new(), Evidence::default());
        Plan { id, target, back, after: BTreeSet::new(), waves, control, steps, tallies, evidence }
    }

    /// Makes of two copies one: commutative, associative and idempotent, field by field.
    pub fn merge(&mut self, other: &Plan) {
        self.control = self.control.max(other.control);
        for (id, step) in &other.steps {
            self.advance(*id, *step);
        }
        for (proxy, tally) in &other.tallies {
            self.tallied(*proxy, tally);
        }
        self.evidence.merge(&other.evidence);
    }

    /// What a proxy saw in all; sums only grow.
    pub fn tallied(&mut self, proxy: u64, tally: &Tally) {
        if self.tallies.len() < TALLIES_MOST || self.tallies.contains_key(&proxy) {
            self.tallies.entry(proxy).or_default().merge(tally);
        }
    }

    /// The sums over all proxies.
    pub fn tally(&self) -> Tally {
        self.tallies.values().fold(Tally::default(), |sum, tally| sum.plus(tally))
    }

    /// How far it is with one.
    pub fn step(&self, id: Id) -> Step {
        self.steps.get(&id).copied().unwrap_or(Step::Waiting)
    }

    /// One step further with one; a step back is none. Whether it was one.
    pub fn advance(&mut self, id: Id, step: Step) -> bool {
        let further = step > self.step(id) && self.waves.iter().flatten().any(|member| *member == id);
        if further {
            self.steps.insert(id, step);
        }
        further
    }

    /// Another word on the course; a release that goes back only goes on with that.
    pub fn turn(&mut self, course: Course) -> bool {
        let turns = !matches!(self.control.course, Course::Back(_)) && self.control.course != course;
        if turns {
            self.control = Control { number: self.control.number + 1, course };
        }
        turns
    }

    /// What members go back to.
    pub fn back_to(&self) -> Version {
        match self.control.course {
            Course::Back(Reason::OtherRelease(version)) => version,
            _ => self.back,
        }
    }

    /// The first wave that has members which are not released yet.
    pub fn wave(&self) -> usize {
        let released = |id: &Id| matches!(self.step(*id), Step::Released(_));
        self.waves.iter().position(|wave| !wave.iter().all(released)).unwrap_or(self.waves.len())
    }

    /// Whether nothing is left to do: all are released, or all that were touched are back.
    pub fn over(&self) -> bool {
        match self.control.course {
            Course::Forward => self.wave() == self.waves.len(),
            Course::Halted(_) => false,
            Course::Back(_) => self.steps.values().all(|step| matches!(step, Step::Waiting | Step::Undone)),
        }
    }

    /// Members that run the new version or may, the newest first.
    pub fn touched(&self) -> impl Iterator<Item = (Id, Step)> + '_ {
        let ids = self.waves.iter().flatten().rev();
        ids.map(|id| (*id, self.step(*id))).filter(|(_, step)| !matches!(step, Step::Waiting | Step::Undone))
    }
}
