//! How much work a request is, in requests of mean work. A member's capacity is counted in these, while
//! members tell no work: it is judged by latency, as measured and as the settings expect it.

use super::{ClassId, Router};

/// The arrivals of the shortest class that the means start from: a first long read must not pass for a usual
/// one.
const INITIAL_ARRIVALS: f64 = 20.0;
/// The means are taken over about this many arrivals.
const AVERAGED_ARRIVALS: f64 = 400.0;

/// The mean latency of the requests that arrive.
#[derive(Default)]
pub(super) struct MeanRequest {
    arrivals: f64,
    usual_latency: f64,
    latency_objective: f64,
}

impl MeanRequest {
    /// Starts from the shortest class of each kind.
    pub(super) fn starting_from(usual_latency: f64, latency_objective: f64) -> Self {
        MeanRequest { arrivals: INITIAL_ARRIVALS, usual_latency, latency_objective }
    }

    /// Counts an arrival of a class with these latencies.
    pub(super) fn observe(&mut self, usual_latency: f64, latency_objective: f64) {
        self.arrivals = (self.arrivals + 1.0).min(AVERAGED_ARRIVALS);
        self.usual_latency += (usual_latency - self.usual_latency) / self.arrivals;
        self.latency_objective += (latency_objective - self.latency_objective) / self.arrivals;
    }

    /// The work of a request of a class with these latencies. At least 1, since members that answer short
    /// requests only answer more of them. Of the two measures the larger counts: queueing makes short ones
    /// look like long ones, and an objective may be tight.
    fn work(&self, usual_latency: f64, latency_objective: f64) -> f64 {
        let measured = usual_latency / self.usual_latency;
        let expected = latency_objective / self.latency_objective;
        measured.max(expected).max(1.0)
    }
}

impl Router {
    /// Counts the arrival of a request of this class.
    pub(super) fn observe_arrival(&mut self, class: ClassId) {
        let (usual_latency, latency_objective) = self.class_latencies(class);
        self.mean_request.observe(usual_latency, latency_objective);
    }

    /// The work of a request of this class, in requests of mean work.
    pub(super) fn request_work(&self, class: ClassId) -> f64 {
        let (usual_latency, latency_objective) = self.class_latencies(class);
        self.mean_request.work(usual_latency, latency_objective)
    }

    fn class_latencies(&self, class: ClassId) -> (f64, f64) {
        let latency_objective = self.settings.classes[class.0].latency_objective.max(1) as f64;
        (self.usual_latency[class.0], latency_objective)
    }
}
