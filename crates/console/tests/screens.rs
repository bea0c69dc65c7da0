//! The screens for fixed records, compared as text.

use ratatui::backend::TestBackend;
use ratatui::Terminal;
use wharfplank_console::screen;
use wharfplank_console::state::{Action, State};
use wharfplank_incidents::gather::gather;
use wharfplank_records::reader::StoreSet;
use wharfplank_records::store::{Store, StoreLimits};
use wharfplank_records::{FailureReason, MemberState, Micros, Outcome, Record, Staleness};
use wharfplank_report::Facts;

const T: Micros = 1_800_000_000_000_000;
const SECOND: Micros = 1_000_000;

/// Writes 60 s of records of two proxies. Replicas 2 to 4 do not apply the log from second 20 to 40, and the
/// second proxy is down from second 25 to 30.
fn stores(directory: &std::path::Path) {
    let limits =
        StoreLimits { max_bytes: 64 << 20, block_retention: 3600 * SECOND, summary_retention: 3600 * SECOND };
    for (proxy, parts) in [("n0", vec![(0, 60)]), ("n1", vec![(0, 25), (30, 60)])] {
        for (from, to) in parts {
            let mut store = Store::open(directory, proxy, limits, T + from * SECOND).unwrap().store;
            let mut records = vec![(T + from * SECOND, Record::Proxy { zone: "a".into() })];
            let mut add_record = |at: Micros, record: Record| records.push((at, record));
            add_record(
                T + from * SECOND,
                Record::Class { class: 0, name: "lookup".into(), latency_objective: 300_000 },
            );
            for m in 1..=4 {
                let (name, zone) = (format!("m{m}"), ["a", "b"][m as usize % 2].to_string());
                add_record(T + from * SECOND, Record::Member { member: m, name, zone });
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
                    add_record(at, Record::MemberState(state));
                }
                for i in 0..20 {
                    let is_stale = slow && i < 4;
                    let outcome =
                        if is_stale { Outcome::Rejected(FailureReason::TooStale) } else { Outcome::Served };
                    let member = (!is_stale).then_some(1);
                    let staleness = is_stale.then_some(Staleness { needed: at, known: at - SECOND });
                    add_record(
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
    Facts::from_evidence(gather(&StoreSet::open(&[directory.to_path_buf()]), from, to))
}

fn render(state: &State, facts: &Facts, (width, height): (u16, u16)) -> String {
    let mut terminal = Terminal::new(TestBackend::new(width, height)).unwrap();
    terminal.draw(|frame| screen::draw(frame, state, facts, "")).unwrap();
    let buffer = terminal.backend().buffer();
    let row =
        |y| (0..width).map(|x| buffer[(x, y)].symbol()).collect::<String>().trim_end().to_string() + "\n";
    (0..height).map(row).collect()
}

/// Guards against unnoticed changes of the screens. `SCREENS=write` updates the expected files, which must be
/// reviewed before they are committed.
#[test]
fn screens_match_the_expected_files() {
    let dir = tempfile::tempdir().unwrap();
    stores(dir.path());
    let mut state = State::new(T, T + 60 * SECOND);
    state.apply(Action::ZoomIn, &facts(dir.path(), &state));
    let facts = facts(dir.path(), &state);
    for (size, file) in [((80, 24), "80x24.txt"), ((200, 60), "200x60.txt")] {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests").join(file);
        let actual = render(&state, &facts, size);
        if std::env::var("SCREENS").as_deref() == Ok("write") {
            std::fs::write(&path, &actual).unwrap();
        }
        let expected = std::fs::read_to_string(&path).unwrap();
        assert!(actual == expected, "{file} differs; the screen is\n{actual}");
    }
    assert!(render(&state, &facts, (60, 20)).contains("80x24 is needed"));
}

/// Guards against a time span that leaves the range of the records, and a paused view that moves when records
/// arrive.
#[test]
fn actions_move_the_time_span() {
    let dir = tempfile::tempdir().unwrap();
    stores(dir.path());
    let mut state = State::new(T, T + 60 * SECOND);
    let facts = facts(dir.path(), &state);
    state.apply(Action::ZoomIn, &facts);
    assert_eq!(state.span(), (T, T + 60 * SECOND));
    state.apply(Action::Earlier, &facts);
    state.update_bounds(T, T + 100 * SECOND);
    assert!(!state.is_following());
    assert_eq!(state.span().1, T + 30 * SECOND);
    (0..9).for_each(|_| state.apply(Action::Earlier, &facts));
    assert_eq!(state.span().1, T, "never before the oldest record");
    (0..9).for_each(|_| state.apply(Action::Later, &facts));
    assert!(state.is_following() && state.span().1 == T + 100 * SECOND);
    state.apply(Action::NextGroup, &facts);
    state.apply(Action::NextClass, &facts);
    assert_eq!((state.group, state.class.as_deref()), (Some(3), Some("lookup")));
    state.apply(Action::NextGroup, &facts);
    state.apply(Action::NextClass, &facts);
    assert_eq!((state.group, state.class.as_deref()), (None, None));
    state.apply(Action::Quit, &facts);
    assert!(state.should_quit);
}
