//! Operators' calls: members taken out and called back, and the figures.

use super::*;
use wharfplank_admin::{Avoided, Call, Gauges, Refusal};
use wharfplank_routing::View;

impl Broker {
    /// Carries a call out at once, and words its answer. What a yes promises holds before it is written: no member
    /// that is out gets a first byte from then on.
    pub(super) fn operate(&mut self, call: &Call) -> String {
        match call {
            Call::Health => match (self.leaving_at.is_some(), self.ready) {
                (true, _) => "fail leaving\n".to_string(),
                (false, true) => "ok ready\n".to_string(),
                (false, false) => "fail starting\n".to_string(),
            },
            Call::Counters => {
                if self.counts.on() {
                    let avoided = self.avoided().map(|(id, why)| format!("{id}:{}", why.name()));
                    log::avoided(&avoided.collect::<Vec<_>>().join(","));
                }
                format!("{}\neof\n", self.shared.figures.line(self.gauges()))
            }
            Call::Cordon(id) => {
                let listed = self.listed.contains_key(id);
                let done = self.cordons.cordon(id, listed);
                self.cordoned(id, done)
            }
            Call::Uncordon(id) => {
                let (listed, now) = (self.listed.contains_key(id), self.clock.now());
                let done = self.cordons.uncordon(id, listed, now);
                self.cordoned(id, done)
            }
        }
    }

    /// Puts a call on a member into force, if it is none of those that are answered no.
    pub(super) fn cordoned(&mut self, id: &str, done: Result<(), Refusal>) -> String {
        if let Err(refusal) = done {
            log::operator(id, refusal.name());
            return format!("fail {}\n", refusal.name());
        }
        let out = self.cordons.is_out(id);
        log::operator(id, if out { "cordoned" } else { "uncordoned" });
        if let Some(host) = self.listed.get(id).map(|host| self.cordons.apply(host)) {
            self.enlist(EndpointList { version: self.seq, complete: false, endpoints: vec![host] });
        }
        format!("ok {}\n", if out { "cordoned" } else { "uncordoned" })
    }

    /// The members of the list that are left out, and why.
    fn avoided(&self) -> impl Iterator<Item = (&str, Avoided)> {
        let now = self.clock.now();
        let since = |view: View| Some((view.host, view.suspected?));
        let suspects: HashMap<HostId, Micros> = self.router.view().filter_map(since).collect();
        self.listed.iter().filter_map(move |(id, host)| {
            let since = self.names.get(id).and_then(|host| suspects.get(host)).copied();
            Some((id.as_str(), Avoided::why(host.health, self.cordons.is_out(id), since, now)?))
        })
    }

    fn gauges(&self) -> Gauges {
        Gauges {
            concurrent: self.requests.len(),
            targets: self.listed.len(),
            targets_disabled: self.avoided().count(),
        }
    }
}
