//! Which proxy drives: the least of those heard lately. Two that drive at once, in a cut or after a pause, do no harm;
//! they say twice what is followed once.

use crate::Micros;
use std::collections::BTreeMap;

/// Proxies kept at most; past that those with the greatest numbers go, which drive last.
const PROXIES_MOST: usize = 1024;

/// One proxy's view of who drives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wheel {
    me: u64,
    silent: Micros,
    heard: BTreeMap<u64, Micros>,
    asked_at: Micros,
}

impl Wheel {
    /// A proxy that has heard nobody. It drives once others had the time to be heard.
    pub fn new(me: u64, silent: Micros, now: Micros) -> Wheel {
        // Itself stands for any lesser one that may be there.
        Wheel { me, silent, heard: BTreeMap::from([(0, now)]), asked_at: now }
    }

    /// Another proxy was heard.
    pub fn heard(&mut self, now: Micros, proxy: u64) {
        self.heard.insert(proxy, now);
        while self.heard.len() > PROXIES_MOST {
            self.heard.pop_last();
        }
    }

    /// Whether this proxy is to drive now; asked often. One that stood still waits for others as if it had started.
    pub fn drives(&mut self, now: Micros) -> bool {
        if now - std::mem::replace(&mut self.asked_at, now) >= self.silent {
            self.heard = BTreeMap::from([(0, now)]);
        }
        self.heard.retain(|_, at| now - *at < self.silent);
        self.heard.keys().next().is_none_or(|least| self.me < *least)
    }
}
