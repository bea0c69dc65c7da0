//! The goodput of a run, weighted by the priorities of the request classes: the weight of all requests, the
//! weight served, and the weight that a router with perfect knowledge could have served. Agreement among
//! proxies is judged by its effect on goodput, not as an end in itself.

use crate::ground_truth::GroundTruth;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wharfplank_lab::load::{ClientOutcome, RequestRecord};
use wharfplank_lab::member_model::{Micros, RequestClass, CLASSES};

/// The weighted goodput of one class's requests, or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Goodput {
    /// The weight of all requests.
    #[serde(rename = "asked")]
    pub offered: f64,
    /// The weight served; a late answer counts for the class's late fraction of it.
    pub served: f64,
    /// The greatest weight that any router could have served.
    #[serde(rename = "bound")]
    pub upper_bound: f64,
    /// Answers within the class's latency objective.
    pub in_time: u64,
    /// Answers after the latency objective.
    pub late: u64,
    /// Requests rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
}

impl Goodput {
    fn add(&mut self, other: Goodput) {
        self.offered += other.offered;
        self.served += other.served;
        self.upper_bound += other.upper_bound;
        self.in_time += other.in_time;
        self.late += other.late;
        self.rejected += other.rejected;
    }

    /// Returns the goodput of one request.
    fn of(request: &RequestRecord, truth: &GroundTruth, zone: &str) -> Goodput {
        let class = &CLASSES[request.class];
        let is_served = request.outcome == ClientOutcome::Served;
        let is_in_time = request.finished_at - request.due_at <= class.latency_objective;
        Goodput {
            offered: class.weight,
            served: if is_served { weight(class, request.due_at, request.finished_at) } else { 0.0 },
            upper_bound: truth
                .earliest_answer(request, zone)
                .map_or(0.0, |answered_at| weight(class, request.due_at, answered_at)),
            in_time: u64::from(is_served && is_in_time),
            late: u64::from(is_served && !is_in_time),
            rejected: u64::from(request.outcome == ClientOutcome::Rejected),
        }
    }

    /// Formats the fraction of the weight that was served, its upper bound, and the fraction of answers that
    /// were late.
    pub fn render(&self, name: &str) -> String {
        let fraction = |value: f64| value / self.offered.max(f64::MIN_POSITIVE);
        let late = self.late as f64 / (self.late + self.in_time).max(1) as f64;
        format!(
            "goodput of {name}: {:.3} served, at most {:.3} possible; {:.3} of answers late, {} rejected\n",
            fraction(self.served),
            fraction(self.upper_bound),
            late,
            self.rejected
        )
    }
}

/// Returns the weight of an answer to a request that was due at `due`.
fn weight(class: &RequestClass, due: Micros, answered_at: Micros) -> f64 {
    if answered_at - due <= class.latency_objective {
        class.weight
    } else {
        class.weight * class.late_fraction
    }
}

/// Returns the goodput by class; `zone_of` returns the zone of a proxy.
pub fn by_class(
    truth: &GroundTruth,
    requests: &[RequestRecord],
    zone_of: impl Fn(usize) -> &'static str,
) -> BTreeMap<String, Goodput> {
    let mut by_class: BTreeMap<String, Goodput> = BTreeMap::new();
    for request in requests {
        let class = CLASSES[request.class].name.to_string();
        let goodput = Goodput::of(request, truth, zone_of(request.proxy));
        by_class.entry(class).or_default().add(goodput);
    }
    by_class
}

/// Returns the goodput of all classes together.
pub fn total(by_class: &BTreeMap<String, Goodput>) -> Goodput {
    let mut total = Goodput::default();
    by_class.values().for_each(|goodput| total.add(*goodput));
    total
}
