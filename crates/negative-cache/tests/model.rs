//! Model checking of closed timestamps over every order of messages, writes and steps of time, with lost,
//! late and duplicate messages, killed proxies, restarted lease servers and differing clocks. The model
//! consists of proxies with the real table of writes and the real leases, the real lease servers, one key,
//! and a primary that stamps commits by its own clock.

#[path = "model/state.rs"]
mod state;

use state::{config, Action, Bounds, InFlight, Proxy, State, KEY, STEP};
use stateright::{Checker, Model, Property};
use wharfplank_negative_cache::{Micros, PendingWrites, SealedSlot, WriteLeaseServer, WriteLeases};

impl Model for Bounds {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut servers: Vec<WriteLeaseServer> =
            (0..self.servers).map(|index| WriteLeaseServer::new(index as u32, config(), 0)).collect();
        let mut now = 0;
        // Advance time until the servers grant leases and have sealed a slot.
        while servers.iter_mut().any(|server| server.seal(now).is_empty()) {
            now += STEP;
        }
        let start = |clock_offset: Micros| {
            let proxy = |n: usize| {
                let clock_offset = if n == 0 { clock_offset } else { -clock_offset };
                let (writes, leases) = (
                    PendingWrites::new(config(), now + clock_offset),
                    WriteLeases::new(n as u64 + 1, config(), self.servers),
                );
                Proxy { clock_offset, alive: true, writes, leases }
            };
            State {
                now,
                primary_clock_offset: -clock_offset,
                servers: servers.clone(),
                proxies: (0..self.proxies).map(proxy).collect(),
                in_flight: vec![],
                commits: vec![],
                seals: vec![],
                steps: 0,
                requests: 0,
                writes: 0,
                faults: 0,
                kills: 0,
            }
        };
        vec![start(-1), start(1)]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if s.steps < self.steps {
            actions.push(Action::Step);
        }
        let alive = |p: &usize| s.proxies[*p].alive;
        if s.requests < self.requests && s.in_flight.len() < 3 {
            actions.extend(
                (0..self.proxies)
                    .filter(alive)
                    .flat_map(|p| (0..self.servers).map(move |index| Action::SendRequest(p, index))),
            );
        }
        if s.writes < self.writes {
            actions.extend((0..self.proxies).filter(alive).map(Action::Write));
        }
        actions.extend((0..s.in_flight.len()).map(Action::Deliver));
        if s.faults < self.faults {
            actions.extend((0..s.in_flight.len()).flat_map(|n| [Action::Lose(n), Action::Duplicate(n)]));
        }
        if s.kills < self.kills {
            actions.extend((0..self.proxies).filter(alive).map(Action::Kill));
            actions.extend((0..self.servers).map(Action::RestartServer));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        match action {
            Action::Step => {
                (s.steps, s.now) = (s.steps + 1, s.now + STEP);
                let now = s.now;
                // An older write can no longer commit.
                s.in_flight.retain(
                    |f| !matches!(f, InFlight::Write(_, _, sent) if now - sent > config().max_commit_delay),
                );
                let seals: Vec<SealedSlot> =
                    s.servers.iter_mut().flat_map(|server| server.seal(now)).collect();
                s.seals.extend(seals);
            }
            Action::SendRequest(proxy, server) => {
                s.requests += 1;
                let p = &mut s.proxies[proxy];
                p.writes.advance(s.now + p.clock_offset);
                let requests = p.leases.take_due_requests(s.now + p.clock_offset, &p.writes);
                s.in_flight.extend(
                    requests
                        .into_iter()
                        .filter(|(index, _)| *index == server)
                        .map(|(index, request)| InFlight::LeaseRequest(proxy, index, request)),
                );
            }
            Action::Write(proxy) => {
                let p = &mut s.proxies[proxy];
                if !p.leases.can_write(s.now + p.clock_offset) {
                    return None;
                }
                s.writes += 1;
                let write = p.writes.begin(s.now + p.clock_offset, vec![KEY])?;
                s.in_flight.push(InFlight::Write(proxy, write, s.now));
            }
            Action::Deliver(n) => {
                let in_flight = s.in_flight.remove(n);
                s.deliver(in_flight);
            }
            Action::Lose(n) => {
                s.faults += 1;
                if let InFlight::Write(proxy, write, _) | InFlight::WriteAck(proxy, write) =
                    s.in_flight.remove(n)
                {
                    let p = &mut s.proxies[proxy];
                    p.writes.on_in_doubt(s.now + p.clock_offset, write);
                }
            }
            Action::Duplicate(n) => {
                s.faults += 1;
                // A write is not executed twice.
                let in_flight = s.in_flight[n].clone();
                if matches!(in_flight, InFlight::Write(..)) {
                    return None;
                }
                s.deliver(in_flight);
            }
            Action::Kill(proxy) => {
                s.kills += 1;
                s.proxies[proxy].alive = false;
                s.in_flight.retain(
                    |f| !matches!(f, InFlight::LeaseGrant(p, ..) | InFlight::WriteAck(p, ..) if *p == proxy),
                );
            }
            Action::RestartServer(server) => {
                s.kills += 1;
                s.servers[server] = WriteLeaseServer::new(server as u32, config(), s.now);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no entry crosses a commit of its key", |_, s: &State| s.crosses_no_commit()),
            Property::sometimes("an entry crosses a leased slot", |_, s: &State| s.can_advance()),
            Property::sometimes("a write commits", |_, s: &State| !s.commits.is_empty()),
        ]
    }
}

fn check(bounds: Bounds) -> usize {
    let checker = bounds.checker().threads(4).spawn_bfs().join();
    println!("{} states, {} distinct", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn no_entry_crosses_an_unseen_write() {
    let smallest = Bounds { proxies: 1, servers: 1, steps: 6, requests: 2, writes: 1, faults: 0, kills: 0 };
    assert!(check(smallest.clone()) > 10_000);
    assert!(check(Bounds { faults: 1, ..smallest.clone() }) > 10_000);
    assert!(check(Bounds { kills: 1, ..smallest }) > 10_000);
}

/// Like the test above, with more requests, two proxies, two servers, and enough steps for all leases to
/// expire: millions of states. Run with `make model`.
#[test]
#[ignore = "takes minutes"]
fn no_entry_crosses_an_unseen_write_in_a_larger_model() {
    let larger = Bounds { proxies: 1, servers: 1, steps: 7, requests: 3, writes: 1, faults: 0, kills: 0 };
    assert!(check(larger.clone()) > 1_000_000);
    assert!(check(Bounds { requests: 2, faults: 1, ..larger.clone() }) > 100_000);
    assert!(check(Bounds { requests: 2, kills: 1, proxies: 2, steps: 8, ..larger.clone() }) > 1_000_000);
    assert!(check(Bounds { requests: 2, kills: 1, servers: 2, steps: 8, ..larger }) > 1_000_000);
}
