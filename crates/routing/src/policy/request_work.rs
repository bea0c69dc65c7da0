//! How much work a request is, in requests of mean work. A member's capacity is counted in these, while
//! members tell no work: it is judged by latency, as measured and as the settings expect it.

use super::{Class, ClassId};

/// Arrivals of the class with the shortest objective that the means start from: a first long read must not
/// pass for a usual request.
const INITIAL_ARRIVALS: f64 = 20.0;
/// The means are taken over about this many arrivals.
const AVERAGED_ARRIVALS: f64 = 400.0;
/// The latency of a class counts as measured after so many answers.
const LEAST_ANSWERS: f64 = 3.0;
/// Least weight of an answer in the mean latency of its class.
const LEAST_ANSWER_WEIGHT: f64 = 0.02;

/// What is known of the requests of one class.
struct ClassRecord {
    arrivals: f64,
    latency_objective: f64,
    answers: f64,
    /// The mean latency of its answers.
    latency: f64,
}

impl ClassRecord {
    fn is_measured(&self) -> bool {
        self.answers >= LEAST_ANSWERS
    }
}

/// The work of the classes of requests, relative to the mean of those that arrive.
#[derive(Default)]
pub(super) struct RequestWork(Vec<ClassRecord>);

impl RequestWork {
    pub(super) fn new(classes: &[Class]) -> Self {
        let record = |class: &Class| ClassRecord {
            arrivals: 0.0,
            latency_objective: class.latency_objective.max(1) as f64,
            answers: 0.0,
            latency: 0.0,
        };
        let mut records: Vec<ClassRecord> = classes.iter().map(record).collect();
        let shortest = records.iter_mut().min_by(|a, b| a.latency_objective.total_cmp(&b.latency_objective));
        if let Some(shortest) = shortest {
            shortest.arrivals = INITIAL_ARRIVALS;
        }
        RequestWork(records)
    }

    /// Counts the arrival of a request.
    pub(super) fn record_arrival(&mut self, class: ClassId) {
        self.0[class.0].arrivals += 1.0;
        let total: f64 = self.0.iter().map(|record| record.arrivals).sum();
        if total > AVERAGED_ARRIVALS {
            self.0.iter_mut().for_each(|record| record.arrivals /= 2.0);
        }
    }

    /// Takes the latency of an answer into the mean of its class.
    pub(super) fn record_answer(&mut self, class: ClassId, latency: f64) {
        let record = &mut self.0[class.0];
        record.answers += 1.0;
        record.latency += (latency - record.latency) * (1.0 / record.answers).max(LEAST_ANSWER_WEIGHT);
    }

    /// The work of a request of this class, in requests of mean work. At least 1, since members that answer
    /// short requests only answer more of them. Of the two measures the larger counts: queueing makes short
    /// requests look like long ones, and an objective may be tight.
    pub(super) fn of(&self, class: ClassId) -> f64 {
        let record = &self.0[class.0];
        let expected = record.latency_objective / self.mean(|_| true, |other| other.latency_objective);
        let measured = if record.is_measured() {
            record.latency / self.mean(ClassRecord::is_measured, |other| other.latency)
        } else {
            0.0
        };
        measured.max(expected).max(1.0)
    }

    /// The mean of a latency over the arrivals of some classes.
    fn mean(&self, includes: impl Fn(&ClassRecord) -> bool, latency: impl Fn(&ClassRecord) -> f64) -> f64 {
        let included = || self.0.iter().filter(|record| includes(record));
        let arrivals: f64 = included().map(|record| record.arrivals).sum();
        let sum: f64 = included().map(|record| record.arrivals * latency(record)).sum();
        (sum / arrivals.max(1.0)).max(1.0)
    }
}
