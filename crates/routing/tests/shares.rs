//! A zone's share of reads, as the fleet decided it: a left zone takes no reads, a returning one a part, and writes
//! go to the primary wherever it stands.

use wharfplank_routing::{
    Action, AttemptNo, Class, ClassId, Consistency, Effect, Ending, Entry, Event, GroupId, HostId, Listed,
    Micros, Outcome, Request, RequestId, Role, Router, Settings, WhenBehind,
};

fn settings() -> Settings {
    let class =
        |consistency| Class { consistency, effect: Effect::Safe, aim: 300_000, worth: 1.0, late_worth: 0.2 };
    Settings {
        seed: 5,
        routers: 3,
        classes: vec![class(Consistency::Any), class(Consistency::Write)],
        max_attempts: 4,
        may_cancel: true,
        may_probe: false,
        must_follow: false,
        max_retry_after: 1_000_000,
        cold_from: 1.0,
        cold_span: 0,
        fall_multiple: 1.0,
        fall_span: 0,
        when_behind: WhenBehind::Answers,
        gone_is_advice: false,
        tokens_carried: true,
    }
}

/// Members 1 (the primary) and 2 in zone 10, 3 and 4 in zone 20.
fn entries() -> Vec<Entry> {
    let entry = |host: u32, zone: u32| Entry {
        host: HostId(host),
        group: GroupId(1),
        listed: Listed::Up,
        primary: host == 1,
        launched: None,
        local: zone == 10,
        zone,
    };
    vec![entry(1, 10), entry(2, 10), entry(3, 20), entry(4, 20)]
}

/// Where 400 requests of a class go with these shares; `None`: the fleet does not decide zones.
fn sends(shares: Option<&[(u32, f64)]>, class: usize) -> [u32; 5] {
    let mut router = Router::new(settings());
    let mut actions = Vec::new();
    router.handle(0, Event::List(entries()), &mut actions);
    if let Some(shares) = shares {
        router.handle(0, Event::Shares(shares.to_vec()), &mut actions);
    }
    let mut to = [0; 5];
    for n in 0..400_u32 {
        let now = Micros::from(n) * 1_000;
        let mut id = [b'.'; 36];
        id[..8].copy_from_slice(format!("{n:08x}").as_bytes());
        let request = Request {
            id: RequestId(id),
            class: ClassId(class),
            group: GroupId(1),
            key: None,
            give_up_at: now + 1_000_000,
            write_age: None,
            doubted: false,
        };
        actions.clear();
        router.handle(now, Event::Request(request), &mut actions);
        let sent: Vec<HostId> = actions
            .iter()
            .filter_map(|a| if let Action::Send { host, .. } = a { Some(*host) } else { None })
            .collect();
        // Each request is answered before the next, so that room never decides.
        for host in sent {
            to[host.0 as usize] += 1;
            let role = Some(if host == HostId(1) { Role::Primary } else { Role::Replica });
            let outcome = Outcome {
                id: RequestId(id),
                attempt: AttemptNo(0),
                host,
                ending: Ending::Ok,
                terminal: true,
                latency: 10_000,
                role,
                position: Some(now),
            };
            router.handle(now + 10_000, Event::Outcome(outcome), &mut actions);
        }
    }
    to
}

#[test]
fn reads_stay_near_where_the_fleet_decides_and_a_left_zone_takes_none() {
    let alone = sends(None, 0);
    assert!(alone[3] + alone[4] > 0, "without the fleet's decision, far replicas take reads too: {alone:?}");
    let near = sends(Some(&[]), 0);
    assert_eq!(near[2], 400, "with it, the near replica takes all while it can: {near:?}");
    let left = sends(Some(&[(10, 0.0)]), 0);
    assert_eq!(left[1] + left[2], 0, "the router's own zone is left, yet it took reads: {left:?}");
    assert_eq!(left.iter().sum::<u32>(), 400);
    let part = sends(Some(&[(10, 0.5)]), 0);
    assert!(part[2] > 100 && part[2] < 300, "half a share took {} of 400: {part:?}", part[2]);
}

#[test]
fn writes_go_to_the_primary_whatever_the_shares() {
    assert_eq!(sends(Some(&[(10, 0.0), (20, 0.0)]), 1)[1], 400);
}
