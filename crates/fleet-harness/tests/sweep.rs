//! Tests of the totals of a sweep.

use wharfplank_fleet_harness::check::Report;
use wharfplank_fleet_harness::schedule::{Scenario, Schedule};
use wharfplank_fleet_harness::sweep::sums;

#[test]
fn runs_are_totalled_by_scenario() {
    let schedule = |scenario, seed| Schedule::from_seed(scenario, 3, seed, true);
    let report = Report {
        violations: 2,
        lost: 2,
        evacuated_after: vec![[0.0, 1.0, 1.0], [1.0, 1.0, 1.0]],
        returned_after: vec![[1.0; 3], [0.0; 3]],
        peak_cold_load: 0.4,
        ..Report::default()
    };
    let played = [
        (schedule(Scenario::ZoneLoss, 1), Ok(report)),
        (schedule(Scenario::ZoneLoss, 2), Ok(Report::default())),
        (schedule(Scenario::Calm, 3), Err("it did not start".to_string())),
    ];
    let sums = sums(&played);
    assert_eq!(sums.len(), 2);
    assert_eq!((sums[0].runs, sums[0].violations, sums[0].violation_seeds.clone()), (2, 2, vec![1]));
    assert_eq!((sums[0].evacuated_after, sums[0].returned_after), ([0.5, 1.0, 1.0], [0.5; 3]));
    assert_eq!((sums[1].runs, sums[1].failed.len()), (0, 1));
    assert!(sums[1].render().contains("it did not start"));
}
