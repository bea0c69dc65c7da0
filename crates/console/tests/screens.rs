//! Screens from fixed records, compared as text.

use ratatui::backend::TestBackend;
use ratatui::Terminal;
use wharfplank_console::screen;
use wharfplank_console::state::{Key, State};
use wharfplank_incidents::gather::gather;
use wharfplank_records::reader::StoreSet;
use wharfplank_records::store::{Store, StoreLimits};
use wharfplank_records::{FailureReason, MemberState, Micros, Outcome, Record, Staleness};
use wharfplank_report::Facts;

const T: Micros = 1_800_000_000_000_000;
const SECOND: Micros = 1_000_000;

/// Two proxies' records of 60 s: replicas 2 to 4 stand still from second 20 to 40, and one proxy is away meanwhile.
fn stores(directory: &std::path::Path) {
    let limits =
        StoreLimits { max_bytes: 64 << 20, block_retention: 3600 * SECOND, summary_retention: 3600 * SECOND };
    for (proxy, parts) in [("n0", vec![(0, 60)]), ("n1", vec![(0, 25), (30, 60)])] {
        for (from, to) in parts {
            let mut store = Store::open(directory, proxy, limits, T + from * SECOND).unwrap().store;
            let mut records = vec![(T + from * SECOND, Record::Proxy { zone: "a".into() })];
            let mut note = |at: Micros, record: Record| records.push((at, record));
            note(
                T + from * SECOND,
                Record::Class { class: 0, name: "lookup".into(), latency_objective: 300_000 },
            );
            for m in 1..=4 {
                let (name, zone) = (format!("m{m}"), ["a", "b"][m as usize % 2].to_string());
                note(T + from * SECOND, Record::Member { member: m, name, zone });
            }
            for second in from..to {
                let at = T + second * SECOND + SECOND / 2;
                let slow = (20..40).contains(&second);
                for m in 1..=4_u32 {
                    let behind = if m > 1 && slow { (second - 20) * SECOND } else { 8_000 };
                    let state = MemberState {
                        member: m,
                        group: 3,
                        primary: m == 1,
                        active: true,
                        position: at - behind,
                        position_seen_at: at,
                        suspected_since: (m == 4 && second > 55).then_some(at),
                        in_flight: 0,
                        relative_latency_percent: 100,
                    };
                    note(at, Record::MemberState(state));
                }
                for i in 0..20 {
                    let is_stale = slow && i < 4;
                    let outcome =
                        if is_stale { Outcome::Rejected(FailureReason::TooStale) } else { Outcome::Served };
                    let member = (!is_stale).then_some(1);
                    let staleness = is_stale.then_some(Staleness { needed: at, known: at - SECOND });
                    note(
                        at + i,
                        Record::Answer {
                            class: 0,
                            group: 3,
                            member,
                            attempts: 1,
                            took: 9000,
                            outcome,
                            staleness,
                        },
                    );
                }
            }
            store.append(&records, T + to * SECOND).unwrap();
        }
    }
}

fn facts(directory: &std::path::Path, state: &State) -> Facts {
    let (from, to) = state.span();
    Facts::of(gather(&StoreSet::open(&[directory.to_path_buf()]), from, to))
}

fn shown(state: &State, facts: &Facts, (width, height): (u16, u16)) -> String {
    let mut terminal = Terminal::new(TestBackend::new(width, height)).unwrap();
    terminal.draw(|frame| screen::draw(frame, state, facts, "")).unwrap();
    let buffer = terminal.backend().buffer();
    let row =
        |y| (0..width).map(|x| buffer[(x, y)].symbol()).collect::<String>().trim_end().to_string() + "\n";
    (0..height).map(row).collect()
}

/// Guards against screens that change unseen. `SCREENS=write` writes them anew, to be read before they are committed.
#[test]
fn screens_are_as_they_were_read() {
    let dir = tempfile::tempdir().unwrap();
    stores(dir.path());
    let mut state = State::new(T, T + 60 * SECOND);
    state.key(Key::In, &facts(dir.path(), &state));
    let facts = facts(dir.path(), &state);
    for (size, file) in [((80, 24), "80x24.txt"), ((200, 60), "200x60.txt")] {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests").join(file);
        let now = shown(&state, &facts, size);
        if std::env::var("SCREENS").as_deref() == Ok("write") {
            std::fs::write(&path, &now).unwrap();
        }
        let wanted = std::fs::read_to_string(&path).unwrap();
        assert!(now == wanted, "{file} differs; now it is\n{now}");
    }
    assert!(shown(&state, &facts, (60, 20)).contains("80x24 is needed"));
}

/// Guards against keys that lead past the records, and a hold that moves on.
#[test]
fn keys_move_the_span() {
    let dir = tempfile::tempdir().unwrap();
    stores(dir.path());
    let mut state = State::new(T, T + 60 * SECOND);
    let facts = facts(dir.path(), &state);
    state.key(Key::In, &facts);
    assert_eq!(state.span(), (T, T + 60 * SECOND));
    state.key(Key::Back, &facts);
    state.reach(T, T + 100 * SECOND);
    assert!(!state.follows());
    assert_eq!(state.span().1, T + 30 * SECOND);
    (0..9).for_each(|_| state.key(Key::Back, &facts));
    assert_eq!(state.span().1, T, "not before the oldest record");
    (0..9).for_each(|_| state.key(Key::Forth, &facts));
    assert!(state.follows() && state.span().1 == T + 100 * SECOND);
    state.key(Key::Filter, &facts);
    state.key(Key::Class, &facts);
    assert_eq!((state.group, state.class.as_deref()), (Some(3), Some("lookup")));
    state.key(Key::Filter, &facts);
    state.key(Key::Class, &facts);
    assert_eq!((state.group, state.class.as_deref()), (None, None));
    state.key(Key::Quit, &facts);
    assert!(state.over);
}
