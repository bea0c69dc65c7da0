//! Anti-entropy, checked by a model checker over every order of messages, with loss, duplicates and a restart: three
//! proxies that run the real store and the real exchange.

use stateright::{Checker, Model, Property};
use wharfplank_shared_state::anti_entropy::{
    entries_missing_at_peer, range_messages, repair_messages, Message,
};
use wharfplank_shared_state::{Entry, Key, Store, Value, WriteOutcome};

const NOW: i64 = 10;
const PROXIES: usize = 3;

/// What is learned, and by which proxy: two values of one key, and one of another.
fn facts() -> Vec<(usize, Key, Entry)> {
    vec![
        (0, Key::Position(1), Entry::new(Value::Position { epoch: 1, position: 5 }, NOW)),
        (1, Key::Position(1), Entry::new(Value::Position { epoch: 2, position: 3 }, NOW)),
        (2, Key::WriteOutcome(9), Entry::new(Value::WriteOutcome(WriteOutcome::InDoubt), NOW)),
    ]
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Envelope {
    from: usize,
    to: usize,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    stores: Vec<Store>,
    learned: Vec<bool>,
    in_flight: Vec<Envelope>,
    exchanges: usize,
    lost: usize,
    restarts: usize,
    /// Whether some store lost what it held without having restarted.
    has_lost_entries: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Learn(usize),
    StartExchange(usize, usize),
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    Restart(usize),
}

struct ExchangeModel {
    exchanges: usize,
    lost: usize,
    restarts: usize,
}

impl ExchangeModel {
    fn deliver(state: &mut State, in_flight: &Envelope) {
        let Envelope { from, to, message } = in_flight;
        let store = &mut state.stores[*to];
        let before = store.clone();
        let mut answers = Vec::new();
        match message {
            Message::DigestRequest(digests) => answers = range_messages(store, digests, 0, 4),
            Message::Ranges(ranges) => {
                for range in ranges {
                    range.entries.iter().for_each(|(key, entry)| {
                        store.merge(*key, entry, NOW);
                    });
                    answers.extend(repair_messages(entries_missing_at_peer(store, range), 4));
                }
            }
            Message::Repair(entries) | Message::Delta(entries) => {
                entries.iter().for_each(|(key, entry)| {
                    store.merge(*key, entry, NOW);
                });
            }
        }
        let kept = |(key, entry): (&Key, &Entry)| store.get(key).is_some_and(|e| e.value() >= entry.value());
        state.has_lost_entries |= !before.iter().all(kept);
        state.in_flight.extend(answers.into_iter().map(|message| Envelope { from: *to, to: *from, message }));
    }
}

impl Model for ExchangeModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let stores = vec![Store::default(); PROXIES];
        let learned = vec![false; facts().len()];
        vec![State {
            stores,
            learned,
            in_flight: Vec::new(),
            exchanges: 0,
            lost: 0,
            restarts: 0,
            has_lost_entries: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let not_learned = (0..state.learned.len()).filter(|n| !state.learned[*n]);
        actions.extend(not_learned.map(Action::Learn));
        if state.exchanges < self.exchanges && state.in_flight.len() < 2 {
            let pairs = (0..PROXIES).flat_map(|a| (0..PROXIES).map(move |b| (a, b)));
            actions.extend(pairs.filter(|(a, b)| a != b).map(|(a, b)| Action::StartExchange(a, b)));
        }
        actions.extend((0..state.in_flight.len()).map(Action::Deliver));
        if state.lost < self.lost {
            actions.extend((0..state.in_flight.len()).flat_map(|n| [Action::Lose(n), Action::Duplicate(n)]));
        }
        if state.restarts < self.restarts {
            actions.extend((0..PROXIES).map(Action::Restart));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Learn(n) => {
                let (proxy, key, entry) = facts()[n];
                state.learned[n] = true;
                state.stores[proxy].merge(key, &entry, NOW);
            }
            Action::StartExchange(a, b) => {
                state.exchanges += 1;
                let message = Message::DigestRequest(state.stores[a].bucket_digests().to_vec());
                state.in_flight.push(Envelope { from: a, to: b, message });
            }
            Action::Deliver(n) => {
                let in_flight = state.in_flight.remove(n);
                ExchangeModel::deliver(&mut state, &in_flight);
            }
            Action::Lose(n) => {
                state.lost += 1;
                state.in_flight.remove(n);
            }
            Action::Duplicate(n) => {
                state.lost += 1;
                let in_flight = state.in_flight[n].clone();
                ExchangeModel::deliver(&mut state, &in_flight);
            }
            Action::Restart(n) => {
                state.restarts += 1;
                state.stores[n] = Store::default();
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no store loses what it holds", |_, s: &State| !s.has_lost_entries),
            Property::always("nothing is held that nobody learned", |_, s: &State| {
                let is_learned = |key: &Key, entry: &Entry| {
                    facts()
                        .iter()
                        .zip(&s.learned)
                        .any(|((_, k, e), learned)| *learned && k == key && e == entry)
                };
                s.stores.iter().all(|store| store.iter().all(|(key, entry)| is_learned(key, entry)))
            }),
            Property::sometimes(
                "all are equal after all was learned, one message lost and one restart",
                |m: &ExchangeModel, s: &State| {
                    let all = s.learned.iter().all(|learned| *learned) && s.stores[0].len() == 2;
                    all && s.lost == m.lost
                        && s.restarts == m.restarts
                        && s.stores.iter().all(|t| *t == s.stores[0])
                },
            ),
        ]
    }
}

fn checked(model: ExchangeModel) -> usize {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} states, {} of them distinct", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn every_order_of_messages_with_loss_and_a_restart_keeps_the_rules() {
    assert!(
        checked(ExchangeModel { exchanges: 2, lost: 1, restarts: 1 }) > 1_000,
        "the model has hardly any states"
    );
}

/// As above with a third exchange: 1.5 million states. `make model`.
#[test]
#[ignore = "takes minutes"]
fn every_order_of_messages_of_three_exchanges_keeps_the_rules() {
    assert!(checked(ExchangeModel { exchanges: 3, lost: 1, restarts: 1 }) > 1_000_000);
}

/// From every pair of stores, one exchange without loss leaves both equal.
#[test]
fn one_exchange_without_loss_makes_two_stores_equal() {
    let all = facts();
    for mine in 0..8_u32 {
        for theirs in 0..8_u32 {
            let store_of = |mask: u32| {
                let mut store = Store::default();
                let chosen = all.iter().enumerate().filter(|(n, _)| mask & (1 << n) != 0);
                chosen.for_each(|(_, (_, key, entry))| {
                    store.merge(*key, entry, NOW);
                });
                store
            };
            let learned = vec![true; all.len()];
            let mut state = State {
                stores: vec![store_of(mine), store_of(theirs), Store::default()],
                learned,
                in_flight: Vec::new(),
                exchanges: 0,
                lost: 0,
                restarts: 0,
                has_lost_entries: false,
            };
            let message = Message::DigestRequest(state.stores[0].bucket_digests().to_vec());
            state.in_flight.push(Envelope { from: 0, to: 1, message });
            while let Some(in_flight) = state.in_flight.pop() {
                ExchangeModel::deliver(&mut state, &in_flight);
            }
            assert_eq!(state.stores[0], state.stores[1], "stores {mine:03b} and {theirs:03b}");
        }
    }
}
