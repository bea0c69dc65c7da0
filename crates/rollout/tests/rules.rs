//! The rules of a bank one by one, each by the one thing that would break it.

use wharfplank_rollout::{
    Allowance, Answer, Ask, Bank, Cause, Id, Kind, Launch, Ledger, Micros, Place, PlanId, Refusal, Return,
    Roster, Sight, Terms, Wheel,
};

const PLAN: PlanId = PlanId { started_ms: 1, by: 1 };

/// Two groups of three, of which members 0 and 3 are primaries; two may be out, one of a group.
fn roster(fleet: u32) -> Roster {
    let place = |id: Id| Place { id, group: id as u32 / 3, zone: id as u32 % 3, kind: Kind::Member };
    Roster::new((0..6).map(place).collect(), Allowance { group: 1, zone: 2, fleet, banks: 1 })
}

fn bank(ledger: Option<Ledger>) -> Bank {
    Bank::new(0, roster(2), Terms::default(), ledger)
}

/// What a driver with the bank's roster asks.
fn asks(control: u64, holder: u64, number: u64, wants: Vec<(Id, Launch)>) -> Ask {
    Ask { plan: PLAN, control, roster: roster(2).digest(), holder, number, wants }
}

fn see(bank: &mut Bank, now: Micros, id: Id, launch: Launch, sound: bool) {
    bank.seen(
        now,
        id,
        Sight { launch, version: 1, sound, down: !sound, primary: id.is_multiple_of(3), at: now },
    );
}

fn opened() -> Bank {
    let mut bank = bank(Some(Ledger::default()));
    (0..6).for_each(|id| see(&mut bank, 0, id, 1, true));
    bank
}

fn ask(bank: &mut Bank, now: Micros, holder: u64, number: u64, id: Id, launch: Launch) -> Option<Answer> {
    bank.asked(now, &asks(0, holder, number, vec![(id, launch)]))
}

fn refused(answer: Option<Answer>) -> Option<Refusal> {
    answer.and_then(|answer| answer.refused.first().map(|(_, refusal)| *refusal))
}

#[test]
fn who_was_not_seen_lately_counts_as_out() {
    let mut new = bank(Some(Ledger::default()));
    see(&mut new, 0, 1, 1, true);
    assert_eq!(refused(ask(&mut new, 0, 1, 1, 1, 1)), Some(Refusal::Group));
    let mut bank = opened();
    let late = Terms::default().fresh + 1;
    assert_eq!(refused(ask(&mut bank, late, 1, 1, 1, 1)), Some(Refusal::Group));
    assert_eq!(bank.cause(late, 4), Some(Cause::Unseen));
}

#[test]
fn a_bank_without_its_ledger_stays_closed_and_one_with_it_holds_on() {
    let mut lost = bank(None);
    (0..6).for_each(|id| see(&mut lost, 0, id, 1, true));
    assert_eq!(refused(ask(&mut lost, 0, 1, 1, 1, 1)), Some(Refusal::Closed));
    let mut first = opened();
    assert_eq!(ask(&mut first, 0, 1, 1, 1, 1).map(|answer| answer.held.len()), Some(1));
    let mut next = bank(first.ledger().cloned());
    (0..6).for_each(|id| see(&mut next, 0, id, 1, true));
    assert_eq!(refused(ask(&mut next, 0, 1, 1, 2, 1)), Some(Refusal::Group));
}

#[test]
fn a_permit_is_returned_once_by_its_holder_and_by_nobody_once_shared() {
    let mut bank = opened();
    let given = ask(&mut bank, 0, 1, 1, 1, 1).map(|answer| answer.held[0].number).unwrap_or(0);
    let back = Return { id: 1, number: given, holder: 1 };
    bank.returned(&Return { holder: 2, ..back });
    assert_eq!(bank.cause(0, 1), Some(Cause::Release));
    bank.returned(&back);
    assert_eq!(bank.cause(0, 1), None);
    // Given again: the same return, doubled or an hour late, is of another permit.
    assert!(ask(&mut bank, 0, 1, 2, 1, 1).is_some());
    bank.returned(&back);
    assert_eq!(bank.cause(0, 1), Some(Cause::Release));
    // Another driver was told of it, and may order by it.
    let told = bank.asked(0, &asks(0, 2, 1, vec![]));
    let number = told.map(|answer| answer.held[0].number).unwrap_or(0);
    bank.returned(&Return { number, ..back });
    assert_eq!(bank.cause(0, 1), Some(Cause::Release));
}

#[test]
fn asks_that_come_late_or_know_less_get_nothing() {
    let mut bank = opened();
    assert!(ask(&mut bank, 0, 1, 5, 1, 1).is_some());
    assert_eq!((ask(&mut bank, 0, 1, 5, 4, 1), ask(&mut bank, 0, 1, 4, 4, 1)), (None, None));
    let newer = asks(3, 2, 1, vec![(1, 1)]);
    assert!(bank.asked(0, &newer).is_some());
    assert_eq!(refused(ask(&mut bank, 0, 1, 6, 4, 1)), Some(Refusal::Stale));
}

#[test]
fn a_driver_with_another_allowance_gets_nothing() {
    let mut bank = opened();
    let other = Ask { roster: roster(4).digest(), ..asks(0, 1, 1, vec![(1, 1)]) };
    assert_eq!(refused(bank.asked(0, &other)), Some(Refusal::Roster));
}

#[test]
fn a_permit_ends_at_a_later_launch_that_is_sound_and_not_before() {
    let mut bank = opened();
    assert!(ask(&mut bank, 0, 1, 1, 1, 1).is_some());
    let hour = 3_600_000_000;
    see(&mut bank, hour, 1, 1, true);
    see(&mut bank, hour, 1, 2, false);
    assert_eq!(bank.cause(hour, 1), Some(Cause::Release));
    see(&mut bank, hour + 1, 1, 2, true);
    assert_eq!(bank.cause(hour + 1, 1), None);
}

#[test]
fn a_group_keeps_its_primary_until_the_handover_and_a_replica() {
    let mut bank = opened();
    assert_eq!(refused(ask(&mut bank, 0, 1, 1, 0, 1)), Some(Refusal::Primary));
    // Both say that they are: it is handed over, and the old one not yet seen again.
    bank.seen(1, 1, Sight { launch: 1, version: 1, sound: true, down: false, primary: true, at: 1 });
    assert_eq!(refused(ask(&mut bank, 1, 1, 2, 0, 1)), Some(Refusal::Primary));
    bank.seen(2, 0, Sight { launch: 1, version: 1, sound: true, down: false, primary: false, at: 2 });
    assert_eq!(ask(&mut bank, 2, 1, 3, 0, 1).map(|answer| answer.held.len()), Some(1));
    // The other group's primary fell: a replica may have to become it.
    let places = (0..3).map(|id| Place { id, group: 0, zone: id as u32, kind: Kind::Member }).collect();
    let wide = Roster::new(places, Allowance { group: 3, zone: 3, fleet: 3, banks: 1 });
    let digest = wide.digest();
    let mut wide = Bank::new(0, wide, Terms::default(), Some(Ledger::default()));
    let ask = |bank: &mut Bank, now, holder, number, id, launch| {
        bank.asked(now, &Ask { roster: digest, ..asks(0, holder, number, vec![(id, launch)]) })
    };
    (0..3).for_each(|id| see(&mut wide, 0, id, 1, true));
    assert!(ask(&mut wide, 0, 1, 1, 1, 1).is_some());
    assert_eq!(refused(ask(&mut wide, 0, 1, 2, 2, 1)), Some(Refusal::LastReplica));
    see(&mut wide, 1, 0, 1, false);
    assert_eq!(refused(ask(&mut wide, 1, 1, 3, 2, 1)), Some(Refusal::NoPrimary));
}

#[test]
fn what_is_down_goes_beyond_the_allowance_only_where_it_stays_down() {
    let mut bank = opened();
    assert!(ask(&mut bank, 0, 1, 1, 1, 1).is_some());
    see(&mut bank, 0, 2, 1, false);
    let held = ask(&mut bank, 0, 1, 2, 2, 1).map(|answer| answer.held).unwrap_or_default();
    assert_eq!(held.iter().map(|permit| permit.down).collect::<Vec<_>>(), [false, true]);
    see(&mut bank, 1, 2, 1, true);
    assert_eq!(bank.cause(1, 2), None);
    assert_eq!(refused(ask(&mut bank, 1, 1, 3, 2, 1)), Some(Refusal::Group));
}

#[test]
fn the_least_that_is_heard_drives_and_one_that_stood_still_waits() {
    let silent = 3;
    let mut wheel = Wheel::new(2, silent, 0);
    assert!(!wheel.drives(2) && wheel.drives(3));
    wheel.heard(4, 1);
    assert!(!wheel.drives(4) && !wheel.drives(6) && wheel.drives(7));
    assert!(!wheel.drives(100) && !wheel.drives(102) && wheel.drives(103), "it drove as it woke");
}

/// Guards against an order that is followed only where the member is down, given since the broker alone doubts it: its
/// agent says that it serves, and the release would wait for ever. One that is up again ends such a permit.
#[test]
fn one_that_the_broker_alone_doubts_needs_a_place() {
    let mut bank = opened();
    let sight = |down, at| Sight { launch: 1, version: 1, sound: false, down, primary: false, at };
    bank.seen(1, 1, sight(false, 1));
    let answer = ask(&mut bank, 2, 1, 1, 1, 1).unwrap();
    assert_eq!(answer.held.iter().map(|permit| permit.down).collect::<Vec<_>>(), [false]);
    bank.seen(3, 4, sight(true, 3));
    let answer = ask(&mut bank, 4, 1, 2, 4, 1).unwrap();
    assert!(answer.held.iter().any(|permit| permit.id == 4 && permit.down), "{answer:?}");
    bank.seen(5, 4, sight(false, 5));
    let answer = bank.asked(6, &asks(0, 1, 3, vec![])).unwrap();
    assert_eq!(
        answer.held.iter().map(|permit| permit.id).collect::<Vec<_>>(),
        [1],
        "it serves, unsound or not"
    );
}
