//! Tests of generating, writing and reading schedules.

use wharfplank_fleet_harness::schedule::{Fault, Scenario, Schedule, ScheduleError};

#[test]
fn schedules_are_deterministic_and_round_trip() {
    for scenario in Scenario::ALL {
        let one = Schedule::from_seed(scenario, 7, 11, true);
        assert_eq!(one, Schedule::from_seed(scenario, 7, 11, true));
        let text = serde_json::to_string(&one).unwrap();
        assert_eq!(Schedule::read(&text), Ok(one));
        assert_eq!(Scenario::from_name(scenario.name()), Some(scenario));
    }
    let killed = Schedule::from_seed(Scenario::Kill70, 10, 3, true);
    assert!(killed.faults.iter().any(|f| matches!(f, Fault::Kill { proxies, .. } if proxies.len() == 7)));
}

#[test]
fn schedules_with_unknown_targets_are_rejected() {
    let mut schedule = Schedule::from_seed(Scenario::Pause, 5, 1, true);
    schedule.faults.push(Fault::Pause { at_ms: 0, for_ms: 1, proxy: 9 });
    let text = serde_json::to_string(&schedule).unwrap();
    assert_eq!(Schedule::read(&text), Err(ScheduleError::UnknownTarget));
    schedule.proxies = 1000;
    let text = serde_json::to_string(&schedule).unwrap();
    assert_eq!(Schedule::read(&text), Err(ScheduleError::TooLarge));
    assert!(matches!(Schedule::read("{"), Err(ScheduleError::Malformed(_))));
}
