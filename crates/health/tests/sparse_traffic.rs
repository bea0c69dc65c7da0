//! A slow primary that reads already avoid, so that a few writes of each proxy are the only evidence against
//! it.

mod common;
use common::{FaultyReporter, Fleet, SECOND};
use wharfplank_health::Verdict;

/// Guards against a baseline that a slow member shifts to its own latency, and against a slow member whose
/// own value is the median of a proxy's members. Seven proxies, as in the slow-member scenarios of the
/// process tests, with and without a faulty reporter, and with a single group, whose primary gets all writes.
#[test]
fn all_proxies_flag_a_slow_primary_by_its_writes_alone() {
    for (members, faulty_reporter) in [(8, None), (8, Some(3)), (4, None)] {
        for seed in 0..30 {
            let mut fleet = Fleet::new(7, members, seed);
            fleet.rate = 57.0;
            fleet.write_fraction = 0.13;
            fleet.network_latency = 6_000;
            fleet.avoids_outliers = true;
            let false_report = FaultyReporter { about: Some(0), log_ratio: i16::MIN };
            fleet.faulty_reporters = faulty_reporter.map(|proxy| (proxy, false_report)).into_iter().collect();
            fleet.run(6 * SECOND, |_| {});
            fleet.member_latency_factors[0] = 3.0;
            fleet.run(SECOND / 2, |_| {});
            fleet.avoided_by_reads = Some(0);
            let mut flagged = [false; 7];
            fleet.run(11 * SECOND, |f| {
                for (flagged, proxy) in flagged.iter_mut().zip(&f.proxies) {
                    *flagged |= proxy.verdict(0) != Verdict::Healthy;
                }
                assert_eq!(f.wrongly_flagged_members(Some(0)), 0);
            });
            assert_eq!(
                flagged, [true; 7],
                "seed {seed}, {members} members, faulty reporter {faulty_reporter:?}"
            );
        }
    }
}
