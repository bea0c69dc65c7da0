//! What is asked of discovery, and how long that may take.

use wharfplank_routing::Micros;

/// What to ask discovery for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The whole list, at once.
    Whole,
    /// What is newer than a version, as soon as there is any.
    Watch {
        /// The version.
        seq: u64,
    },
}

/// The next call. Times are on the caller's clock, spans in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// What to ask for.
    pub ask: Ask,
    /// The wait to ask for; 0 for the whole list.
    pub wait: Micros,
    /// When to call.
    pub at: Micros,
    /// How long a new connection may take to come up.
    pub connect: Micros,
    /// How long the answer may take from the call on; once it has begun, how long it may stand still.
    pub answer: Micros,
    /// After how long without an answer a second call is made on a connection of its own, beside this one.
    pub beside: Micros,
    /// What the second call asks for.
    pub again: Ask,
    /// The wait that it asks for.
    pub again_wait: Micros,
    /// How long it may take, its connection included.
    pub again_answer: Micros,
    /// How long both may take from the call on while bytes of an answer keep coming.
    pub most: Micros,
}
