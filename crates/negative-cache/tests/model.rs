//! The closed times, checked by a model checker over every order of messages, writes and time, with loss, late and
//! doubled messages, kills, a bank that restarts, and clocks apart: proxies that run the real ledger and leave, the
//! real banks, one key, and a primary that stamps commits by its own clock.

#[path = "model/state.rs"]
mod state;

use state::{terms, Act, Bounds, Flying, Proxy, State, KEY, STEP};
use stateright::{Checker, Model, Property};
use wharfplank_negative_cache::{Bank, Leave, Micros, Seal, Writes};

impl Model for Bounds {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let mut banks: Vec<Bank> = (0..self.banks).map(|b| Bank::new(b as u32, terms(), 0)).collect();
        let mut now = 0;
        // Until the banks are open and have sealed a slot.
        while banks.iter_mut().any(|bank| bank.seal(now).is_empty()) {
            now += STEP;
        }
        let start = |off: Micros| {
            let proxy = |n: usize| {
                let off = if n == 0 { off } else { -off };
                let (writes, leave) =
                    (Writes::new(terms(), now + off), Leave::new(n as u64 + 1, terms(), self.banks));
                Proxy { off, alive: true, writes, leave }
            };
            State {
                now,
                primary_off: -off,
                banks: banks.clone(),
                proxies: (0..self.proxies).map(proxy).collect(),
                flying: vec![],
                commits: vec![],
                seals: vec![],
                steps: 0,
                asks: 0,
                writes: 0,
                faults: 0,
                kills: 0,
            }
        };
        vec![start(-1), start(1)]
    }

    fn actions(&self, s: &State, acts: &mut Vec<Act>) {
        if s.steps < self.steps {
            acts.push(Act::Step);
        }
        let alive = |p: &usize| s.proxies[*p].alive;
        if s.asks < self.asks && s.flying.len() < 3 {
            acts.extend(
                (0..self.proxies).filter(alive).flat_map(|p| (0..self.banks).map(move |b| Act::Ask(p, b))),
            );
        }
        if s.writes < self.writes {
            acts.extend((0..self.proxies).filter(alive).map(Act::Write));
        }
        acts.extend((0..s.flying.len()).map(Act::Deliver));
        if s.faults < self.faults {
            acts.extend((0..s.flying.len()).flat_map(|n| [Act::Lose(n), Act::Twice(n)]));
        }
        if s.kills < self.kills {
            acts.extend((0..self.proxies).filter(alive).map(Act::Kill));
            acts.extend((0..self.banks).map(Act::Restart));
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut s = last.clone();
        match act {
            Act::Step => {
                (s.steps, s.now) = (s.steps + 1, s.now + STEP);
                let now = s.now;
                // A write that is older cannot run any more.
                s.flying.retain(|f| !matches!(f, Flying::Write(_, _, sent) if now - sent > terms().late));
                let seals: Vec<Seal> = s.banks.iter_mut().flat_map(|bank| bank.seal(now)).collect();
                s.seals.extend(seals);
            }
            Act::Ask(proxy, bank) => {
                s.asks += 1;
                let p = &mut s.proxies[proxy];
                p.writes.moves(s.now + p.off);
                let asks = p.leave.asks(s.now + p.off, &p.writes);
                s.flying.extend(
                    asks.into_iter().filter(|(b, _)| *b == bank).map(|(b, a)| Flying::Ask(proxy, b, a)),
                );
            }
            Act::Write(proxy) => {
                let p = &mut s.proxies[proxy];
                if !p.leave.may_write(s.now + p.off) {
                    return None;
                }
                s.writes += 1;
                let ticket = p.writes.begin(s.now + p.off, vec![KEY])?;
                s.flying.push(Flying::Write(proxy, ticket, s.now));
            }
            Act::Deliver(n) => {
                let flying = s.flying.remove(n);
                s.deliver(flying);
            }
            Act::Lose(n) => {
                s.faults += 1;
                if let Flying::Write(proxy, ticket, _) | Flying::Done(proxy, ticket) = s.flying.remove(n) {
                    let p = &mut s.proxies[proxy];
                    p.writes.in_doubt(s.now + p.off, ticket);
                }
            }
            Act::Twice(n) => {
                s.faults += 1;
                // A write does not run twice.
                let flying = s.flying[n].clone();
                if matches!(flying, Flying::Write(..)) {
                    return None;
                }
                s.deliver(flying);
            }
            Act::Kill(proxy) => {
                s.kills += 1;
                s.proxies[proxy].alive = false;
                s.flying.retain(|f| !matches!(f, Flying::Grant(p, ..) | Flying::Done(p, ..) if *p == proxy));
            }
            Act::Restart(bank) => {
                s.kills += 1;
                s.banks[bank] = Bank::new(bank as u32, terms(), s.now);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no fact crosses a commit of its key", |_, s: &State| s.right()),
            Property::sometimes("a fact crosses a slot of writers", |_, s: &State| s.moves()),
            Property::sometimes("a commit comes", |_, s: &State| !s.commits.is_empty()),
        ]
    }
}

fn checked(bounds: Bounds) -> usize {
    let checker = bounds.checker().threads(4).spawn_bfs().join();
    println!("{} states, {} of them distinct", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn no_order_of_messages_writes_and_time_hides_a_write() {
    let least = Bounds { proxies: 1, banks: 1, steps: 6, asks: 2, writes: 1, faults: 0, kills: 0 };
    assert!(checked(least.clone()) > 10_000);
    assert!(checked(Bounds { faults: 1, ..least.clone() }) > 10_000);
    assert!(checked(Bounds { kills: 1, ..least }) > 10_000);
}

/// As above with more asks, two writers, two banks, and time until every leave has ended: millions of states.
/// `make model`.
#[test]
#[ignore = "takes minutes"]
fn no_longer_order_of_messages_writes_and_time_hides_a_write() {
    let more = Bounds { proxies: 1, banks: 1, steps: 7, asks: 3, writes: 1, faults: 0, kills: 0 };
    assert!(checked(more.clone()) > 1_000_000);
    assert!(checked(Bounds { asks: 2, faults: 1, ..more.clone() }) > 100_000);
    assert!(checked(Bounds { asks: 2, kills: 1, proxies: 2, steps: 8, ..more.clone() }) > 1_000_000);
    assert!(checked(Bounds { asks: 2, kills: 1, banks: 2, steps: 8, ..more }) > 1_000_000);
}
