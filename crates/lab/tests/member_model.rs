//! The model of the stand-in members, in virtual time.

use wharfplank_lab::member_model::{Admission, IncomingRequest, MemberModel, USUAL_REPORTS_PER_MILLE};
use wharfplank_lab::timeline::{FaultKind, ScriptedFault, Timeline};

/// Guards against positions ahead of the clock, which arise if a script that starts later than the model's
/// clock also shifts the positions: a router ignores such positions, and no read could be stale.
#[test]
fn delayed_script_does_not_shift_positions() {
    let timeline = Timeline {
        seconds: 10,
        rate: 1,
        proxies: 1,
        groups: 1,
        members: 3,
        reports: USUAL_REPORTS_PER_MILLE,
        seed: 1,
        scripted_faults: vec![ScriptedFault {
            kind: FaultKind::ZoneLoss,
            at: 2,
            duration: 5,
            targets: "a".to_string(),
            percent: 100,
        }],
    };
    let start = 1_000_000_000;
    let mut model = MemberModel::new(&timeline, start);
    model.start_script(start + 60_000_000);
    let mut now = start;
    for ms in 0..60_000 + 4_000 {
        now = start + ms * 1000;
        model.advance(now);
        assert!((0..3).all(|m| model.position_ms(m) <= now / 1000));
    }
    assert!(model.members[0].is_unresponsive, "the primary's zone fails 2 s after the start of the script");
    let lag = now / 1000 - model.position_ms(1);
    assert!(
        (1_900..2_100).contains(&lag),
        "a replica without a primary applies nothing: the lag is {lag} ms"
    );
    let admission = model.admit(1, IncomingRequest { class: 0, id: None, min_position_ms: None });
    assert_eq!(admission, Admission::Admitted(model.members[1].core_free_at[0]));
    assert_eq!(model.stale_reads, 1, "a bounded read at the lagging replica is stale");
}
