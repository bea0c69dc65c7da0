//! A slow primary that reads avoid by themselves: a few writes of each proxy are the only evidence against it.

mod common;
use common::{Fleet, Liar, SECOND};
use wharfplank_health::Verdict;

/// Guards against a baseline that a slow member makes its own, and against a median of a proxy's members that is the
/// slow one's: seven proxies as in the process tests' slow scenarios, with and without a liar, and of one group, whose
/// primary has all writes.
#[test]
fn a_slow_primary_is_named_by_all_proxies_on_its_writes_alone() {
    for (members, liar) in [(8, None), (8, Some(3)), (4, None)] {
        for seed in 0..30 {
            let mut fleet = Fleet::new(7, members, seed);
            fleet.rate = 57.0;
            fleet.writes = 0.13;
            fleet.network = 6_000;
            fleet.avoids_outliers = true;
            let lie = Liar { about: Some(0), log_ratio: i16::MIN };
            fleet.liars = liar.map(|proxy| (proxy, lie)).into_iter().collect();
            fleet.run(6 * SECOND, |_| {});
            fleet.slowness[0] = 3.0;
            fleet.run(SECOND / 2, |_| {});
            fleet.avoided = Some(0);
            let mut named = [false; 7];
            fleet.run(11 * SECOND, |f| {
                for (named, proxy) in named.iter_mut().zip(&f.proxies) {
                    *named |= proxy.verdict(0) != Verdict::Sound;
                }
                assert_eq!(f.wrongly_named(Some(0)), 0);
            });
            assert_eq!(named, [true; 7], "seed {seed}, {members} members, liar {liar:?}");
        }
    }
}
