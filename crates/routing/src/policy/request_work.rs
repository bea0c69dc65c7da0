//! The amount of work of a request, as a multiple of the mean request's. Members' capacity is counted in this
//! unit. Members do not report work, so it is estimated from measured latencies and from the latency
//! objectives in the settings.

use super::{Class, ClassId};

/// The initial number of arrivals of the class with the shortest objective. Without it a long read that
/// arrives first would be taken for a mean request.
const INITIAL_ARRIVALS: f64 = 20.0;
/// The means are taken over roughly this many arrivals.
const AVERAGED_ARRIVALS: f64 = 400.0;
/// The number of answers from which on the latency of a class counts as measured.
const MIN_ANSWERS: f64 = 3.0;
/// The minimum weight of an answer in the mean latency of its class.
const MIN_ANSWER_WEIGHT: f64 = 0.02;

/// The statistics of one class of requests.
struct ClassRecord {
    arrivals: f64,
    latency_objective: f64,
    answers: f64,
    /// The mean latency of the answers.
    latency: f64,
}

impl ClassRecord {
    fn is_measured(&self) -> bool {
        self.answers >= MIN_ANSWERS
    }
}

/// The work of each request class, relative to the mean over all arrivals.
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

    /// Adds the latency of an answer to the mean of its class.
    pub(super) fn record_answer(&mut self, class: ClassId, latency: f64) {
        let record = &mut self.0[class.0];
        record.answers += 1.0;
        record.latency += (latency - record.latency) * (1.0 / record.answers).max(MIN_ANSWER_WEIGHT);
    }

    /// The work of a request of this class, in requests of mean work. At least 1, since a member that serves
    /// only short requests serves more of them. The larger of the two estimates counts: queueing makes short
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

    /// The mean of a latency over the arrivals of the included classes.
    fn mean(&self, includes: impl Fn(&ClassRecord) -> bool, latency: impl Fn(&ClassRecord) -> f64) -> f64 {
        let included = || self.0.iter().filter(|record| includes(record));
        let arrivals: f64 = included().map(|record| record.arrivals).sum();
        let sum: f64 = included().map(|record| record.arrivals * latency(record)).sum();
        (sum / arrivals.max(1.0)).max(1.0)
    }
}
