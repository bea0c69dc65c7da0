//! The classes of requests in the load.

use super::Micros;

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// The name, as in the routing configuration.
    pub name: &'static str,
    /// The fraction of all requests that are of this class, in the usual mix.
    pub fraction: f64,
    /// The mean work of a request on one core of a warm member, in µs.
    pub mean_work: f64,
    /// The latency objective, in µs.
    pub latency_objective: Micros,
    /// The client gives up on a request after this time, in µs.
    pub timeout: Micros,
    /// The priority weight of an answer within the latency objective.
    pub weight: f64,
    /// The fraction of the weight that an answer after the latency objective still has.
    pub late_fraction: f64,
}

impl RequestClass {
    /// Returns whether requests of the class are writes, which only a primary accepts.
    pub fn is_write(&self) -> bool {
        self.name == "write"
    }

    /// Returns whether requests of the class are long-running reads, which block the log apply thread of a
    /// replica.
    pub fn is_long_read(&self) -> bool {
        self.name == "report"
    }
}

/// All classes, in the order of the configuration.
pub const CLASSES: [RequestClass; 4] = [
    RequestClass {
        name: "bounded-read",
        fraction: 0.455,
        mean_work: 20_000.0,
        latency_objective: 300_000,
        timeout: 1_000_000,
        weight: 1.0,
        late_fraction: 0.2,
    },
    RequestClass {
        name: "session-read",
        fraction: 0.41,
        mean_work: 20_000.0,
        latency_objective: 300_000,
        timeout: 750_000,
        weight: 3.0,
        late_fraction: 0.0,
    },
    RequestClass {
        name: "report",
        fraction: 0.005,
        mean_work: 300_000.0,
        latency_objective: 7_500_000,
        timeout: 15_000_000,
        weight: 4.0,
        late_fraction: 0.2,
    },
    RequestClass {
        name: "write",
        fraction: 0.13,
        mean_work: 20_000.0,
        latency_objective: 1_000_000,
        timeout: 2_000_000,
        weight: 3.0,
        late_fraction: 0.3,
    },
];

/// The number of long-running reads (class `report`) per thousand requests of the usual mix.
pub const USUAL_REPORTS_PER_MILLE: u64 = 5;

/// The fraction of all requests that each class has.
#[derive(Clone, Copy, Debug)]
pub struct ClassMix([f64; CLASSES.len()]);

impl ClassMix {
    /// Returns the usual mix.
    pub fn usual() -> ClassMix {
        ClassMix::with_reports(USUAL_REPORTS_PER_MILLE)
    }

    /// Returns the mix with `per_mille` long-running reads per thousand requests; the other classes share the
    /// rest in the usual proportions.
    pub fn with_reports(per_mille: u64) -> ClassMix {
        let reports = per_mille as f64 / 1000.0;
        let others: f64 = CLASSES.iter().filter(|c| !c.is_long_read()).map(|c| c.fraction).sum();
        ClassMix(CLASSES.each_ref().map(|class| {
            if class.is_long_read() {
                reports
            } else {
                class.fraction / others * (1.0 - reports)
            }
        }))
    }

    /// Returns the mean work of a request, in µs.
    pub fn mean_work(&self) -> f64 {
        self.0.iter().zip(&CLASSES).map(|(fraction, class)| fraction * class.mean_work).sum()
    }

    /// Returns the class that a random number from 0 to 1 draws.
    pub fn draw(&self, mut number: f64) -> usize {
        let drawn = self.0.iter().position(|fraction| {
            number -= fraction;
            number < 0.0
        });
        drawn.unwrap_or(0)
    }
}
