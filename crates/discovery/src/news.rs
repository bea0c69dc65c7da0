//! What is said of the list.

use wharfplank_protocol::endpoint_list::EndpointList;
use wharfplank_routing::Micros;

/// Why the newest answer is not believed as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// Its version is older than one already heard at this address.
    Back,
    /// A whole list that lacks half of the members in use, or more.
    Short,
}

impl Doubt {
    /// Its name in the log and in records.
    pub fn name(self) -> &'static str {
        match self {
            Doubt::Back => "back",
            Doubt::Short => "short",
        }
    }
}

/// How old the list is: the time since discovery last answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// Discovery has not answered since the start or since its address changed.
    Unheard,
    /// It answered in time.
    Fresh,
    /// A call is overdue, but nothing can have counted as told in vain.
    Late,
    /// Changes may count as told that were never heard. Members named are still used: their own answers tell
    /// whether they take work, and a proxy that stopped for all would serve nobody.
    Old,
}

impl Age {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Age::Unheard => "unheard",
            Age::Fresh => "fresh",
            Age::Late => "late",
            Age::Old => "old",
        }
    }
}

/// What an answer, a failure or the passing of time changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct News {
    /// What is believed now: the whole list, or entries that changed.
    pub list: Option<EndpointList>,
    /// Members that a doubted answer lacks, and until when they may be sent something all the same.
    pub until: Vec<(String, Micros)>,
    /// Why the newest answer was not believed as it is.
    pub doubt: Option<Doubt>,
}
