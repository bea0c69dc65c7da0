//! Checks anti-entropy with a model checker: three proxies that run the real store and exchange code, over
//! every order of messages, with loss, duplication and a restart.

use stateright::{Checker, Model, Property};
use wharfplank_shared_state::anti_entropy::{
    entries_missing_at_peer, range_messages, repair_messages, Message,
};
use wharfplank_shared_state::{Entry, Key, Store, Value, WriteOutcome};

const NOW: i64 = 10;
const PROXIES: usize = 3;

/// Returns the entries that are recorded, each with the proxy that records it: two values of one key, and one
/// of another.
fn recorded_entries() -> Vec<(usize, Key, Entry)> {
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
    recorded: Vec<bool>,
    in_flight: Vec<Envelope>,
    exchanges: usize,
    faults: usize,
    restarts: usize,
    /// Whether a store lost entries without a restart.
    has_lost_entries: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Record(usize),
    StartExchange(usize, usize),
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    Restart(usize),
}

struct ExchangeModel {
    exchanges: usize,
    faults: usize,
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
            Message::Claim(_) => unreachable!("exchanges make no claims"),
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
        let recorded = vec![false; recorded_entries().len()];
        vec![State {
            stores,
            recorded,
            in_flight: Vec::new(),
            exchanges: 0,
            faults: 0,
            restarts: 0,
            has_lost_entries: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let not_recorded = (0..state.recorded.len()).filter(|n| !state.recorded[*n]);
        actions.extend(not_recorded.map(Action::Record));
        if state.exchanges < self.exchanges && state.in_flight.len() < 2 {
            let pairs = (0..PROXIES).flat_map(|a| (0..PROXIES).map(move |b| (a, b)));
            actions.extend(pairs.filter(|(a, b)| a != b).map(|(a, b)| Action::StartExchange(a, b)));
        }
        actions.extend((0..state.in_flight.len()).map(Action::Deliver));
        if state.faults < self.faults {
            actions.extend((0..state.in_flight.len()).flat_map(|n| [Action::Lose(n), Action::Duplicate(n)]));
        }
        if state.restarts < self.restarts {
            actions.extend((0..PROXIES).map(Action::Restart));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Record(n) => {
                let (proxy, key, entry) = recorded_entries()[n];
                state.recorded[n] = true;
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
                state.faults += 1;
                state.in_flight.remove(n);
            }
            Action::Duplicate(n) => {
                state.faults += 1;
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
            Property::always("no store loses entries", |_, s: &State| !s.has_lost_entries),
            Property::always("stores hold only recorded entries", |_, s: &State| {
                let is_recorded = |key: &Key, entry: &Entry| {
                    recorded_entries()
                        .iter()
                        .zip(&s.recorded)
                        .any(|((_, k, e), recorded)| *recorded && k == key && e == entry)
                };
                s.stores.iter().all(|store| store.iter().all(|(key, entry)| is_recorded(key, entry)))
            }),
            Property::sometimes(
                "stores are equal after all entries were recorded, one message fault and one restart",
                |m: &ExchangeModel, s: &State| {
                    let all = s.recorded.iter().all(|recorded| *recorded) && s.stores[0].len() == 2;
                    all && s.faults == m.faults
                        && s.restarts == m.restarts
                        && s.stores.iter().all(|t| *t == s.stores[0])
                },
            ),
        ]
    }
}

fn check_model(model: ExchangeModel) -> usize {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} states, {} of them distinct", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn invariants_hold_for_all_message_orders() {
    assert!(
        check_model(ExchangeModel { exchanges: 2, faults: 1, restarts: 1 }) > 1_000,
        "the model has too few states"
    );
}

/// The same model with a third exchange: 1.5 million states. Run by `make model`.
#[test]
#[ignore = "takes minutes"]
fn invariants_hold_for_three_exchanges() {
    assert!(check_model(ExchangeModel { exchanges: 3, faults: 1, restarts: 1 }) > 1_000_000);
}

/// One exchange without loss makes any two stores equal.
#[test]
fn lossless_exchange_makes_stores_equal() {
    let all = recorded_entries();
    for first_mask in 0..8_u32 {
        for second_mask in 0..8_u32 {
            let store_of = |mask: u32| {
                let mut store = Store::default();
                let chosen = all.iter().enumerate().filter(|(n, _)| mask & (1 << n) != 0);
                chosen.for_each(|(_, (_, key, entry))| {
                    store.merge(*key, entry, NOW);
                });
                store
            };
            let recorded = vec![true; all.len()];
            let mut state = State {
                stores: vec![store_of(first_mask), store_of(second_mask), Store::default()],
                recorded,
                in_flight: Vec::new(),
                exchanges: 0,
                faults: 0,
                restarts: 0,
                has_lost_entries: false,
            };
            let message = Message::DigestRequest(state.stores[0].bucket_digests().to_vec());
            state.in_flight.push(Envelope { from: 0, to: 1, message });
            while let Some(in_flight) = state.in_flight.pop() {
                ExchangeModel::deliver(&mut state, &in_flight);
            }
            assert_eq!(state.stores[0], state.stores[1], "stores {first_mask:03b} and {second_mask:03b}");
        }
    }
}
