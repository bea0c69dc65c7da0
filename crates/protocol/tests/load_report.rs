//! Load reports of members.

use wharfplank_protocol::load_report;

/// Guards against a member that is taken out of use, or used without limit, because its load report states a
/// queue that is no finite number.
#[test]
fn a_report_with_a_queue_that_is_no_finite_number_is_refused() {
    let columns = ["x0".to_string(), "q".to_string()];
    assert!(load_report::parse("x0=1.5,q=3", &columns).is_some());
    for queue in ["NaN", "inf", "-infinity", "1e999", ""] {
        assert_eq!(load_report::parse(&format!("x0=1.5,q={queue}"), &columns), None, "{queue}");
    }
}
