//! The classes of the load.

use super::Micros;

/// A class of the load.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its part of the requests.
    pub part: f64,
    /// The mean work in µs.
    pub work: f64,
    /// Answers within this time are in time.
    pub aim: Micros,
    /// The client gives up then.
    pub wait: Micros,
    /// What an answer in time is worth, and the part of it that a late one has.
    pub worth: f64,
    /// See `worth`.
    pub late: f64,
}

/// The classes, in the order of the configuration.
pub const CLASSES: [Class; 4] = [
    Class {
        name: "bounded-read",
        part: 0.455,
        work: 20_000.0,
        aim: 300_000,
        wait: 1_000_000,
        worth: 1.0,
        late: 0.2,
    },
    Class {
        name: "session-read",
        part: 0.41,
        work: 20_000.0,
        aim: 300_000,
        wait: 750_000,
        worth: 3.0,
        late: 0.0,
    },
    Class {
        name: "report",
        part: 0.005,
        work: 300_000.0,
        aim: 7_500_000,
        wait: 15_000_000,
        worth: 4.0,
        late: 0.2,
    },
    Class {
        name: "write",
        part: 0.13,
        work: 20_000.0,
        aim: 1_000_000,
        wait: 2_000_000,
        worth: 3.0,
        late: 0.3,
    },
];
