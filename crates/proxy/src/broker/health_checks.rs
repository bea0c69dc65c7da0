//! Probes of members, and what their reports tell.

use super::*;

const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

impl Broker {
    pub(super) fn probe(&mut self, host: HostId) {
        let Some(member) = self.members.get(&host) else { return };
        if self.shared.budgets.as_ref().is_some_and(|budgets| !budgets.probe(member.name())) {
            return self.barred.probes.push_back(host);
        }
        let (member, events) = (Rc::clone(member), self.events.clone());
        let task = async move {
            let report = member.probe(PROBE_TIMEOUT).await;
            let _ = events.send(Event::Probed { host, report }).await;
        };
        self.shared.executor.spawn(task).detach();
    }

    pub(super) fn probed(&mut self, host: HostId, report: Option<String>) {
        // A report that cannot be read, or is ahead of the clock, counts as none.
        let values = report.as_deref().and_then(|text| load_report::parse(text, &self.terms.columns));
        let ok = values.is_some();
        let mut probed = Probed { host, ok, role: None, position: None, queue: None };
        for ReportValue { name, value } in values.unwrap_or_default() {
            match name {
                "x0" => {
                    let at = load_report::seconds_to_micros(value);
                    probed.ok &= at.is_some_and(|at| at <= self.clock.now() + AHEAD_MOST);
                    probed.position = at.filter(|at| *at > 0);
                }
                "x1" => probed.role = value.parse().ok().map(|v: f64| role(v >= 0.5)),
                "q" | "queue" => probed.queue = value.parse().ok(),
                _ => {}
            }
        }
        self.counts.one("probed", if probed.ok { "ok" } else { "failed" }, "");
        self.journal.probed(host, probed.ok);
        let told = probed.position.filter(|_| probed.ok);
        self.talk.learned(self.clock.now(), host, told);
        self.lookups.learned(host, told);
        let sent = self.clock.now() - PROBE_TIMEOUT.as_micros() as Micros;
        self.talk.saw(host, sent, if probed.ok { Ending::Ok } else { Ending::Timeout });
        self.tell(routing::Event::Probed(probed));
    }
}

pub(super) fn role(primary: bool) -> Role {
    if primary {
        Role::Primary
    } else {
        Role::Replica
    }
}
