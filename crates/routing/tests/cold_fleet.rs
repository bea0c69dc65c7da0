//! What a fleet sends to members that have just started: in any span of the settings' `overload_span` no more than
//! N + 2 x root of N + 2 requests of mean work, N being `overload_multiple` times what the member can do then.

mod fleet;
use fleet::*;

/// Shares and work as the brief has them: reads, writes, and few reads that take long.
const USUAL: [(f64, f64); 3] = [(0.85, 0.053), (0.13, 0.13), (0.02, 1.3)];
/// Half of the work is in long reads.
const HEAVY: [(f64, f64); 3] = [(0.83, 0.053), (0.12, 0.13), (0.05, 1.3)];

fn day(seed: u64, routers: usize) -> Day {
    Day {
        seed,
        routers,
        warm: vec![10, 11, 12],
        cold: vec![13],
        leaves: vec![],
        after: 0,
        second: true,
        uneven: 1.0,
        burst: (1.0, 0),
        mix: USUAL,
        load: 0.7,
        slow_start_from: 0.24,
        slow_start_span: 15 * SECOND,
        overload_span: 1_500_000,
    }
}

type Kind = (&'static str, fn(Day) -> Day);

/// Each kind of day by its name.
fn kinds() -> Vec<Kind> {
    vec![
        ("joins", |d| d),
        ("keeper", |d| Day { cold: vec![5], ..d }),
        ("keeper, heavy", |d| Day { cold: vec![5], mix: HEAVY, ..d }),
        ("burst", |d| Day { burst: (1.5, 0), load: 0.9, ..d }),
        ("late burst", |d| Day { burst: (1.5, 5 * SECOND), load: 0.9, ..d }),
        ("few kin", |d| Day { warm: vec![10], load: 0.3, ..d }),
        ("few kin, burst", |d| Day { warm: vec![10], load: 0.45, burst: (1.5, 0), ..d }),
        ("replaced", |d| Day { leaves: vec![11, 12], cold: vec![5, 13], ..d }),
        ("primary", |d| Day { leaves: vec![10], ..d }),
        ("primary, burst", |d| Day { leaves: vec![10], burst: (1.5, 0), load: 0.9, ..d }),
        ("all cold", |d| Day { leaves: vec![10, 11, 12], cold: vec![13, 14, 15], ..d }),
        ("all cold, burst", |d| Day {
            leaves: vec![10, 11, 12],
            cold: vec![13, 14, 15],
            burst: (1.5, 0),
            load: 0.9,
            ..d
        }),
        ("all cold, no second", |d| Day {
            leaves: vec![10, 11, 12],
            cold: vec![13, 14, 15],
            second: false,
            ..d
        }),
        ("kin leave", |d| Day { leaves: vec![10, 11, 12], after: 5 * SECOND, cold: vec![13, 14, 15], ..d }),
        ("kin leave, burst", |d| Day {
            leaves: vec![10, 11, 12],
            after: 4 * SECOND,
            cold: vec![13, 14, 15],
            burst: (1.5, 4 * SECOND),
            load: 0.9,
            ..d
        }),
        ("kin leave, one", |d| Day {
            leaves: vec![10, 11, 12],
            after: 4 * SECOND,
            burst: (1.5, 4 * SECOND),
            ..d
        }),
        ("small", |d| Day {
            slow_start_from: 0.1,
            overload_span: 500_000,
            burst: (1.5, 0),
            leaves: vec![10],
            ..d
        }),
        ("small, all cold", |d| Day {
            slow_start_from: 0.1,
            overload_span: 500_000,
            leaves: vec![10, 11, 12],
            cold: vec![13, 14, 15],
            ..d
        }),
    ]
}

/// Guards against long reads that count as one request each, and so fell a member that has just started: they all go
/// to one replica, by chance the cold one. Before sends were weighed, 17 of these 120 cases went past what fells a
/// member, by up to 1.48 (1.28 where half of the work is in long reads), and the mean served was less.
#[test]
fn no_fleet_sends_a_cold_member_more_than_fells_it() {
    let mut worst = Vec::new();
    for (name, kind) in kinds() {
        for (routers, uneven) in [(3, 1.0), (20, 10.0), (30, 1.0), (30, 10.0)] {
            let day = kind(Day { uneven, ..day(2, routers) });
            let out = play(&day);
            let (largest, mean) = out.parts(&day);
            println!(
                "{name}, {routers} x{uneven}: {largest:.2}, mean {mean:.2}, {:.3}",
                out.served / out.asked
            );
            worst
                .extend((largest > 1.0).then(|| format!("{name}, {routers} x{uneven}: {}", out.worst(&day))));
        }
    }
    assert!(worst.is_empty(), "{worst:#?}");
}
