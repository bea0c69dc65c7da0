//! Which members of the list count as left out, for the figures and the log.

use wharfplank_protocol::endpoint_list::EndpointHealth;
use wharfplank_routing::Micros;

/// A suspect counts from this long after it came to be one. Nearly all are tried again within half a second and serve
/// on: that is a pause between two requests, which nobody outside can tell from any other.
pub const SUSPECTED_FOR: Micros = 1_000_000;

/// Why nothing new goes to a member of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Avoided {
    /// An operator took it out.
    Cordoned,
    /// The list says that it drains.
    Draining,
    /// It answers nothing, or breaks its connections, for a while now.
    Suspected,
}

impl Avoided {
    /// Whether and why a member is left out at this time; `suspected` is when it came to be suspected, if it is now.
    pub fn why(
        listed: EndpointHealth,
        cordoned: bool,
        suspected: Option<Micros>,
        now: Micros,
    ) -> Option<Self> {
        if cordoned {
            return Some(Avoided::Cordoned);
        }
        if listed != EndpointHealth::Active {
            return Some(Avoided::Draining);
        }
        suspected.filter(|since| now - since >= SUSPECTED_FOR).map(|_| Avoided::Suspected)
    }

    /// In a word.
    pub fn name(self) -> &'static str {
        match self {
            Avoided::Cordoned => "cordoned",
            Avoided::Draining => "draining",
            Avoided::Suspected => "suspected",
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against figures that jump by each member that one request made wait.
    #[test]
    fn a_suspect_counts_once_it_stays_one() {
        let suspected = |since| Avoided::why(EndpointHealth::Active, false, since, 9_000_000);
        assert_eq!(suspected(None), None);
        assert_eq!(suspected(Some(8_000_001)), None);
        assert_eq!(suspected(Some(8_000_000)), Some(Avoided::Suspected));
    }

    #[test]
    fn by_hand_and_by_the_list_count_at_once() {
        assert_eq!(Avoided::why(EndpointHealth::Active, true, None, 0), Some(Avoided::Cordoned));
        assert_eq!(Avoided::why(EndpointHealth::Draining, true, Some(0), 0), Some(Avoided::Cordoned));
        assert_eq!(Avoided::why(EndpointHealth::Draining, false, Some(0), 0), Some(Avoided::Draining));
    }
}
