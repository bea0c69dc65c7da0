//! Why a listed member receives no new requests, for the metrics and the log.

use wharfplank_protocol::endpoint_list::EndpointHealth;
use wharfplank_routing::Micros;

/// How long a member must have been suspected before it counts as excluded, in microseconds. Nearly all suspects are
/// retried within half a second and serve again; from outside that looks like any pause between two requests.
pub const MIN_SUSPECTED: Micros = 1_000_000;

/// Why no new requests are sent to a listed member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// An operator cordoned it.
    Cordoned,
    /// The endpoint list says that it is draining.
    Draining,
    /// It has not answered, or has reset its connections, for [`MIN_SUSPECTED`] or longer.
    Suspected,
}

impl Exclusion {
    /// The reason why a member is excluded at `now`, or `None` where it is in service. `suspected_since` is the time
    /// since when the member has been suspected, where it is suspected now.
    pub fn of(
        health: EndpointHealth,
        is_cordoned: bool,
        suspected_since: Option<Micros>,
        now: Micros,
    ) -> Option<Self> {
        if is_cordoned {
            return Some(Exclusion::Cordoned);
        }
        if health != EndpointHealth::Active {
            return Some(Exclusion::Draining);
        }
        let suspected_since = suspected_since?;
        (now - suspected_since >= MIN_SUSPECTED).then_some(Exclusion::Suspected)
    }

    /// The reason as the log prints it.
    pub fn as_str(self) -> &'static str {
        match self {
            Exclusion::Cordoned => "cordoned",
            Exclusion::Draining => "draining",
            Exclusion::Suspected => "suspected",
        }
    }
}
