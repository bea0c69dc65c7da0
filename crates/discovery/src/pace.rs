//! The times of calls to discovery.

use wharfplank_routing::Micros;

/// What discovery has to tell counts as told to a proxy after this time at the latest, whether it arrived or not
/// (the platform's protocol, 'Figures').
pub const TOLD_BY: Micros = 6_000_000;

/// How long calls may take. All spans are microseconds.
///
/// What discovery has to tell counts as told [`TOLD_BY`] after it had it and could be reached, whatever calls met before
/// (refused, reset, silent, given up), and sends to a member that drains must end [`Pace::stop_within`] later. A
/// fourteenth of both together is the unit, 0.5 s on the platform, from which all times are made:
///
/// | units | lists that are pushed | lists that must be asked for |
/// | --- | --- | --- |
/// | a watch waits | 4 | 4 |
/// | a connection, and an answer beyond its wait | 1, and a quarter of `stop_within` at most | 1 |
/// | a call stands in the service's line | not | 5, the whole list too |
/// | a second call begins beside a watch | half an answer late | 4.5 |
/// | and is given up | after a connection and an answer | 8 |
/// | the next call begins after a failed one began | a pause of an eighth of `stop_within` | 8.5 at most |
/// | and is answered | at once | 5 later at most |
///
/// [`Pace::reached`] adds them up: 13.5 units of 14 where lists are asked for, however late the answer. A watch that
/// falls silent and is opened anew in vain, refused twice (at 5 units, and after a pause of 3.5), comes to the same.
/// Where lists are pushed the agent is on the proxy's own machine, and what it got when discovery came back counts as
/// told at once: a call that hung and the pause after it have to fit into `stop_within` alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Sends to a member must end this long after it was told to drain or to be gone.
    pub stop_within: Micros,
    /// How long a watch asks discovery to wait.
    pub wait: Micros,
    /// How long a connection may take to come up.
    pub connect: Micros,
    /// How long an answer may take beyond the wait asked for.
    pub answer: Micros,
    /// After this much of the answer's time a second call is made beside the first.
    pub beside: Micros,
    /// Where discovery is one service that every proxy must ask.
    pub shared: Option<Shared>,
}

/// Discovery as one service of fixed capacity that all proxies ask. It refuses calls while its line is full and lets
/// others wait in vain, so proxies that start together, or ask again at a fixed pace, can keep it from answering any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shared {
    /// The seed of this proxy's spread.
    pub seed: u64,
    /// The time that the platform lets pass between calls (its `Rules.AskEveryUs`).
    pub ask_every: Micros,
    /// How many proxies ask.
    pub proxies: u32,
}

impl Pace {
    /// The pause between two calls, however they end: an agent that answers a watch at once must not be asked
    /// without end. A watch goes on if the next call comes within 200 ms.
    pub const APART: Micros = 20_000;
    /// The longest pause after answers that come at once and say nothing: still inside those 200 ms.
    pub const IDLE_APART: Micros = 150_000;
    /// The least time for a connection or an answer: the proxy itself may stand still for a while.
    pub const LEAST: Micros = 100_000;
    /// The longest pause after calls that failed, where lists are pushed.
    pub const FAILED_APART: Micros = 1_000_000;
    /// Where discovery is shared, calls are spread over this much for each proxy, as far as the time allows.
    pub const SPREAD: Micros = 25_000;
    /// Where discovery is shared, the whole list, whose every line is work for the service, is asked for again after so
    /// many failures: by few proxies, and by many.
    pub const SHARED_WHOLE: (u32, u32) = (4, 16);
    /// Where discovery is shared, calls for the whole list that many proxies make of themselves, since none has told
    /// them of a change, are spread over this much for each.
    pub const WHOLE_SPREAD: Micros = 400_000;

    /// The times for a rule that sends end `stop_within` after a drain is told (0 to 1 h; more counts as 1 h).
    pub fn new(stop_within: Micros) -> Self {
        let stop_within = stop_within.clamp(0, 3_600_000_000);
        let unit = (TOLD_BY + stop_within.min(TOLD_BY)) / 14;
        // The agent of a pushed list is on this machine and answers at once or, while discovery is down, not at all.
        let short = (stop_within / 4).clamp(Self::LEAST, unit);
        Pace { stop_within, wait: unit * 4, connect: short, answer: short, beside: short / 2, shared: None }
    }

    /// Discovery is one service of fixed capacity for all proxies, each of which must ask it.
    pub fn shared(self, shared: Shared) -> Self {
        let unit = self.unit();
        Pace { connect: unit, answer: unit, beside: unit / 2, shared: Some(shared), ..self }
    }

    fn unit(&self) -> Micros {
        self.wait / 4
    }

    /// How long the answer to a call that asks for this wait may take. A shared service lets calls stand in its line,
    /// those for the whole list as well: given up sooner, they have cost it their work for nothing.
    pub fn patience(&self, wait: Micros) -> Micros {
        self.answer + if self.shared.is_some() { self.wait } else { wait }
    }

    /// The wait that the second call beside a watch asks for, and how long it may take with its connection. A shared
    /// service is asked for what is new once more, and may let that stand in its line; an agent for the whole list.
    pub fn again(&self) -> (Micros, Micros) {
        match self.shared {
            Some(_) => (self.unit() * 3, self.unit() * 7 / 2),
            None => (0, self.connect + self.answer),
        }
    }

    /// How long a call may take while bytes of its answer keep coming.
    pub fn most(&self) -> Micros {
        self.unit() * 8
    }

    /// Where discovery is shared, the longest time from the start of a call that failed to the start of the next one.
    pub fn again_within(&self) -> Micros {
        self.unit() * 17 / 2
    }

    /// The first call to a shared discovery, or to another one that it moved to, comes within this span.
    pub fn first_within(&self, shared: &Shared) -> Micros {
        let spread = Micros::from(shared.proxies) * Self::SPREAD;
        spread.min(shared.ask_every / 4).min(self.unit() * 5).max(1)
    }

    /// The longest pause after so many failures in a row of calls to a shared discovery: the spread of all proxies,
    /// doubled each time, as far as the time allows. After one failure a silent watch may lie before it.
    pub fn shared_apart(&self, shared: &Shared, failures: u32) -> Micros {
        let most = if failures <= 1 { self.unit() * 7 / 2 } else { self.again_within() };
        let spread = (Micros::from(shared.proxies) * Self::SPREAD).max(Self::LEAST);
        (spread << failures.saturating_sub(1).min(10)).min(shared.ask_every.max(Self::LEAST)).min(most)
    }

    /// Whether so few proxies share discovery that all may ask for the whole list in the time of one call.
    pub fn few(&self, shared: &Shared) -> bool {
        Micros::from(shared.proxies) * Self::WHOLE_SPREAD / 2 <= self.patience(self.wait)
    }

    /// After so many failures in a row a shared discovery is asked for the whole list.
    pub fn whole_after(&self, shared: &Shared) -> u32 {
        let (few, many) = Self::SHARED_WHOLE;
        if self.few(shared) {
            few
        } else {
            many
        }
    }

    /// The longest pause after calls that failed where lists are pushed. What the agent got when discovery came back
    /// counts as told at once, so that a call that hung until then and this pause must fit into `stop_within`.
    pub fn failed_apart(&self) -> Micros {
        (self.stop_within / 8).clamp(Self::APART, Self::FAILED_APART)
    }

    /// The longest time from the moment from which discovery can be reached to the answer, whatever calls met before:
    /// one that began just before and failed, and the next one. An agent answers at once; a shared service may let the
    /// call stand in its line. [`Pace::allowed`] is never less for rules of 0.4 s and more.
    pub fn reached(&self) -> Micros {
        match self.shared {
            Some(_) => self.again_within() + self.patience(self.wait),
            None => self.beside + self.connect + self.answer + self.failed_apart(),
        }
    }

    /// What [`Pace::reached`] may take.
    pub fn allowed(&self) -> Micros {
        match self.shared {
            Some(_) => TOLD_BY + self.stop_within.min(TOLD_BY),
            None => self.stop_within,
        }
    }

    /// The longest time from the start of a watch that falls silent to the answer of the second call after it.
    pub fn worst(&self) -> Micros {
        let (_, again) = self.again();
        let next = match self.shared {
            Some(_) => self.patience(self.wait),
            None => self.beside + again,
        };
        self.wait + self.beside + again + 2 * Self::APART + next
    }

    /// Up to what age a list may still be without anything having counted as told in vain.
    pub fn old_after(&self) -> Micros {
        TOLD_BY + self.stop_within
    }
}
