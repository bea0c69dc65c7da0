//! Sums over the records of one run of a proxy.

use crate::evidence::{AnswerSums, Evidence, ListedHealth, MemberObservation, ProxyEvidence};
use std::collections::HashMap;
use std::sync::Arc;
use wharfplank_records::reader::{NameKind, StoreReader};
use wharfplank_records::{Micros, Outcome};

/// Sums over the records of one run, by the numbers that the run gave its members and classes. Names are
/// resolved only once at the end, since a day has millions of answers.
#[derive(Default)]
pub(super) struct RunSums {
    /// Answers by bin, class and outcome.
    pub answers: HashMap<(Micros, u16, Outcome), AnswerSums>,
    /// Answers by bin, member and class.
    pub served: HashMap<(Micros, u32, u16), AnswerSums>,
    /// Rejections, failures and late answers by bin, group and outcome.
    pub not_served: HashMap<(Micros, u64, Outcome), u64>,
    /// Observations by member.
    pub observations: HashMap<u32, Vec<MemberObservation>>,
    /// Listed health by member.
    pub listed_health: HashMap<u32, Vec<ListedHealth>>,
}

impl RunSums {
    /// Adds an observation. With coarse bins only the last observation in each bin is kept.
    pub fn add_observation(&mut self, frame: &Evidence, member: u32, observation: MemberObservation) {
        let keeps_one_per_bin = frame.bin > super::FINE_BIN;
        let bin = frame.bin_of(observation.at);
        let observations = self.observations.entry(member).or_default();
        match observations.last_mut() {
            Some(last) if keeps_one_per_bin && frame.bin_of(last.at) == bin => *last = observation,
            _ => observations.push(observation),
        }
    }

    /// Adds the sums to a proxy's evidence, under the names that the run gave its members and classes.
    pub fn add_to(self, proxy: &mut ProxyEvidence, names: RunNames) {
        for ((bin, class, outcome), sums) in self.answers {
            *proxy.answers.entry((bin, names.class(class), outcome)).or_default() += sums;
        }
        let mut member_names: HashMap<u32, Arc<str>> = HashMap::new();
        let mut class_names: HashMap<u16, Arc<str>> = HashMap::new();
        for ((bin, member, class), sums) in self.served {
            let member = member_names.entry(member).or_insert_with(|| names.member(member).into()).clone();
            let class = class_names.entry(class).or_insert_with(|| names.class(class).into()).clone();
            *proxy.served.entry((bin, member, class)).or_default() += sums;
        }
        for (key, count) in self.not_served {
            *proxy.not_served.entry(key).or_default() += count;
        }
        for (member, observations) in self.observations {
            proxy.observations.entry(names.member(member)).or_default().extend(observations);
        }
        for (member, listed) in self.listed_health {
            proxy.listed_health.entry(names.member(member)).or_default().extend(listed);
        }
    }
}

/// Resolves the numbers that one run gave members and classes.
#[derive(Clone, Copy)]
pub(super) struct RunNames<'a> {
    /// The store that has the names.
    pub source: &'a StoreReader,
    /// The run's id.
    pub run: i64,
}

impl RunNames<'_> {
    /// Returns the name of a class, or its number where the name is unknown.
    pub fn class(self, class: u16) -> String {
        self.resolve(NameKind::Class, class.into()).unwrap_or_else(|| format!("class {class}"))
    }

    /// Returns the name of a member, or its number where the name is unknown.
    pub fn member(self, member: u32) -> String {
        self.resolve(NameKind::Member, member.into()).unwrap_or_else(|| format!("member {member}"))
    }

    fn resolve(self, kind: NameKind, number: i64) -> Option<String> {
        self.source.name(self.run, kind, number).map(|known| known.name.clone())
    }
}
