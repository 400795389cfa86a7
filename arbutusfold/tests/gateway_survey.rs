//! Tests of the survey of slow and silent runners.

use arbutusfold::gateway::{leader, survey};

#[test]
fn slow_and_silent_runners_are_reported_and_others_are_not() {
    let reports = [
        (5, Some(1.0)),
        (3, Some(12.0)),
        (4, None),
        (9, Some(1.1)),
        (1, Some(1.0)),
    ];
    let slow = survey::slow_runners(&reports);
    let keys: Vec<_> = slow.iter().map(|slow| slow.runner).collect();
    assert_eq!(keys, [3, 4]);
    assert_eq!(slow[0], leader::SlowRunner::new(3, 12.0));
    assert!(slow[1].factor_tenths > slow[0].factor_tenths);
}

#[test]
fn isolated_leader_reports_no_slow_runner() {
    let reports: Vec<_> = (0..10).map(|key| (key, (key < 6).then_some(1.0))).collect();
    assert!(survey::slow_runners(&reports).is_empty());
}
