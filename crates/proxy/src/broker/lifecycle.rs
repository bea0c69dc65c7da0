//! The process's own course: its start, its regular work, a new configuration and its end.

use super::*;

/// The front is told that queries can be served once discovery has answered, there is a list and a member is
/// connected, or after these times: a proxy that is cut off, or has no list at all, still answers.
const DISCOVERY_WAIT: Micros = 500_000;
const READY_WAIT: Micros = 3_000_000;
/// After the signal to end: new connections are taken for the first, and what is open after the second
/// is given up, or sooner where deadlines are short.
const CLOSE_AFTER: Micros = 700_000;
const GIVE_UP_AFTER: Micros = 3_200_000;

/// How long after the signal to end what is open is given up. SIGKILL comes no sooner than the longest deadline and
/// `CLOSE_AFTER` later, and what it finds of requests that came after `CLOSE_AFTER` is lost.
fn give_up_after(longest: Micros) -> Micros {
    if longest == 0 {
        return GIVE_UP_AFTER;
    }
    GIVE_UP_AFTER.min(longest.saturating_add(CLOSE_AFTER - 2 * LAST_WORDS))
}

impl Broker {
    /// Reads the configuration anew.
    pub(super) fn reload(&mut self) {
        let read = Config::anew();
        self.shared.figures.reloaded(read.is_ok());
        self.journal.reloaded(read.is_ok());
        match read {
            Ok(config) => {
                self.watch.move_to(config.discovery);
                log::reloaded(config.discovery);
            }
            Err(what) => log::kept(&what),
        }
    }

    /// Begins the end.
    pub(super) fn terminate(&mut self) {
        if self.leaving_at.is_none() {
            self.leaving_at = Some(self.clock.now());
            self.journal.stopping();
            self.clients.leave();
        }
    }

    /// When there is something to do although nothing happens.
    pub(super) fn wake_at(&self) -> Micros {
        let timer = self.timers.peek().map_or(Micros::MAX, |Reverse(at)| *at);
        let stage = match self.leaving_at {
            // Values that still pass through are waited for past that, step by step.
            Some(at) if self.closed && !self.gave_up => {
                (at + give_up_after(self.terms.longest)).min(self.clock.now() + LAST_WORDS / 4)
            }
            Some(_) if self.closed => self.clock.now() + LAST_WORDS / 4,
            Some(at) => at + CLOSE_AFTER,
            None => Micros::MAX,
        };
        let ready = if self.ready { Micros::MAX } else { self.clock.now() + 10_000 };
        timer.min(stage).min(ready).min(self.tend_at).min(self.attends_at())
    }

    /// What the clock alone brings about.
    pub(super) fn due(&mut self) {
        let now = self.clock.now();
        while self.timers.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.timers.pop();
            self.tell(routing::Event::Timer);
        }
        if now >= self.tend_at {
            self.tend_at = now + TEND;
            self.counts.add("connections", "open", "", self.shared.open.get() as u64);
            if let Some(what) = self.counts.take() {
                log::counts(now as u64 / 1000, &what);
            }
            self.shared.relax();
            self.talk.suspicions(now, suspects(&self.router));
            self.break_off();
            self.members.values().for_each(|m| m.tend());
            let (views, journal) = (self.router.view(), &self.journal);
            self.releases.tell(now, &self.listed, &self.cordons, &self.names, views, |said, names| {
                journal.released(said, names)
            });
            if self.journal.records() {
                self.router.view().for_each(|view| self.journal.seen(&view));
                self.journal.hand_over();
            }
        }
        if !self.ready {
            let age = now - self.started;
            let told = self.told || age >= DISCOVERY_WAIT;
            let late = age >= READY_WAIT;
            let warm = late || self.members.values().any(|m| m.warm());
            let wanted = self.members.iter().filter(|(_, m)| !warm && m.wanted()).map(|(host, _)| *host);
            let knock = self.opening.next(now, wanted);
            knock.and_then(|host| self.members.get(&host)).into_iter().for_each(|m| m.knock());
            if told && warm && (late || !self.listed.is_empty()) {
                self.ready = true;
                self.clients.ready();
            }
        }
        let Some(leaving_at) = self.leaving_at else { return };
        if !self.closed && now >= leaving_at + CLOSE_AFTER {
            self.closed = true;
            self.lookups.end();
            self.clients.close();
            self.leave_socket();
        }
        if !self.gave_up && now >= leaving_at + give_up_after(self.terms.longest) {
            self.gave_up = true;
            // A process that stood still gives up late: the answers have their time to be written all the same.
            self.leaving_at = Some(now - give_up_after(self.terms.longest));
            self.give_up();
        }
    }

    /// Whether the process may end.
    pub(super) fn over(&self) -> bool {
        let Some(leaving_at) = self.leaving_at else { return false };
        let done = self.requests.is_empty() && self.clients.over();
        // What still passes through ends by itself, or with the process.
        let late = self.clock.now() >= leaving_at + give_up_after(self.terms.longest) + LAST_WORDS;
        (self.closed && done) || (late && self.passing.none())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an end that SIGKILL overtakes: it comes no sooner than the longest deadline, counted as 3 s
    /// where it is longer, and 0.7 s more after SIGTERM.
    #[test]
    fn what_is_open_is_given_up_before_the_process_is_killed() {
        for longest in [1, 300_000, 1_000_000, 2_900_000, 3_000_000, 15_000_000, Micros::MAX] {
            let kill = longest.min(3_000_000) + CLOSE_AFTER;
            assert!(give_up_after(longest) + LAST_WORDS < kill, "longest deadline {longest} us");
        }
        assert_eq!(give_up_after(0), GIVE_UP_AFTER, "no deadline is named");
    }
}
