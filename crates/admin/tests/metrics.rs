//! The JSON format of the metrics.

use wharfplank_admin::{Gauges, Metrics, ReloadResult, ReplyStatus};

#[test]
fn replies_are_counted_by_class() {
    let metrics = Metrics::new(&["read".to_string(), "write".to_string()]);
    let clone = metrics.clone();
    (0..3).for_each(|_| metrics.record_reply(0, ReplyStatus::Success));
    metrics.record_reply(0, ReplyStatus::Overload);
    metrics.record_reply(1, ReplyStatus::Error);
    metrics.record_reply(2, ReplyStatus::Error);
    (0..5).for_each(|_| clone.record_dispatch());
    metrics.record_reload(ReloadResult::Failed);
    let gauges = Gauges { concurrent: 4, targets: 9, targets_disabled: 1 };
    let expected = concat!(
        r#"{"replies":{"read":{"success":3,"overload":1,"error":0},"write":{"success":0,"overload":0,"error":1}},"#,
        r#""dispatches":5,"concurrent":4,"targets":9,"targets_disabled":1,"reload_success":0,"reload_failure":1}"#
    );
    assert_eq!(metrics.to_json(gauges), expected);
}
