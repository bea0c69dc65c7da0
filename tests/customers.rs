//! Random customer settings: the configuration is accepted, and the router keeps its rules under any events.

#[path = "common/config.rs"]
mod config;
#[path = "common/rule_checker.rs"]
mod rule_checker;
#[path = "common/steps.rs"]
mod steps;

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use rstest::rstest;
use rule_checker::RuleChecker;
use serde_json::{json, Value};
use steps::Step;
use wharfplank::proxy::config::{AddressOverrides, Config};
use wharfplank::routing::Micros;

/// A class: its consistency, its repeat rule, whether all groups drop repeats, its deadline, its target as a
/// fraction of the deadline, its deduplication window, its worth and its late value.
type RandomClass = (usize, usize, bool, Micros, f64, Micros, f64, f64);

fn class() -> impl Strategy<Value = RandomClass> {
    let deadline = prop_oneof![50_000_i64..2_000_000, 50_000_i64..60_000_000];
    let window = prop_oneof![0_i64..300_000, 50_000_i64..10_000_000];
    (
        0..5_usize,
        0..4_usize,
        any::<bool>(),
        deadline,
        0.1..1.0,
        window,
        0.0..9.0,
        prop_oneof![Just(0.0), 0.0..1.0],
    )
}

/// Generates the settings of a customer, with unusual class names.
fn customer() -> impl Strategy<Value = Value> {
    let classes = prop::collection::vec(class(), 1..=10);
    let names = prop::collection::hash_set("[^\\x00-\\x1f,]{1,12}", 10);
    let rules = (0.0..=1.0, 0_i64..30_000_000, 0.0..5.0, 0_i64..5_000_000, 0_i64..5_000_000);
    let allowed = (1..10_u32, any::<bool>(), any::<bool>(), any::<bool>(), 0_i64..5_000_000);
    let kind = (1..400_u32, any::<bool>(), 0..3_usize, any::<bool>(), any::<u64>(), 0..3_usize);
    (classes, names, rules, allowed, kind).prop_map(|(classes, names, rules, allowed, kind)| {
        let consistencies = ["eventual", "lag_bound", "causal", "strong", "mutate"];
        let repeat_rules = ["retryable", "dedup", "fragile", "novel"];
        let when_behind = ["none", "bounce", "await"];
        let list = classes.iter().zip(names).map(|(c, name)| {
            json!({"Name": name, "Repeat": repeat_rules[c.1], "Group": if c.2 { "all" } else { "cell" },
                "DeadlineUs": c.3, "TargetUs": (c.3 as f64 * c.4) as i64, "MemorySpanUs": c.5, "Worth": c.6,
                "LateValue": c.7})
        });
        let tenants: Vec<Value> =
            (0..kind.5).map(|n| json!({"Name": format!("t {n}"), "Share": 0.5, "QuotaPerS": 10.0})).collect();
        json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": format!("{:x}", kind.4),
            "settings": {"Az": "", "Balancers": kind.0, "Discovery": if kind.1 { "ask" } else { "push" },
                "Tenants": tenants, "Classes": list.collect::<Vec<_>>(),
                "Allowed": {"MaxAttempts": allowed.0, "MayCancel": allowed.1, "MayProbe": allowed.2,
                    "RetryAfter": allowed.3, "MaxRetryAfterUs": allowed.4},
                "Rules": {"ColdFrom": rules.0, "ColdUs": rules.1, "FallMultiple": rules.2,
                    "OverloadForUs": rules.3, "AskEveryUs": rules.4},
                "Specifics": {"Consistency": classes.iter().map(|c| consistencies[c.0]).collect::<Vec<_>>(),
                    "MaxAgeUs": classes.iter().map(|c| c.5).collect::<Vec<_>>(),
                    "WhenBehind": when_behind[kind.2],
                    "SessionMarks": if kind.3 { "brought" } else { "kept" }}}})
    })
}

fn step() -> impl Strategy<Value = Step> {
    let span = prop_oneof![0_i64..20_000, 0_i64..400_000, 0_i64..20_000_000];
    prop_oneof![
            6 => (0..10_usize, 0..2_u64, 0.05..1.0, 0..4_u64, prop::option::of(0_i64..900_000))
                .prop_map(|(class, group, deadline_fraction, session, write_age)| {
    Step::Submit { class, group, deadline_fraction, session, write_age } }),
            6 => (any::<prop::sample::Index>(), 0..steps::OUTCOMES.len(), 0..3_u8).prop_map(|(n, outcome, role)| {
                Step::FinishAttempt(n, outcome, role)
            }),
            4 => span.prop_map(Step::Advance),
            1 => (0..8_u32, 0..3_u8, any::<bool>()).prop_map(|(host, status, primary)| {
                Step::ChangeEndpoint(host, status, primary)
            }),
            1 => (0..8_u32, 0..3_u8, 0_i64..2_000_000).prop_map(|(host, role, lag)| {
                Step::LoadReport(host, role, lag)
            }),
            1 => any::<prop::sample::Index>().prop_map(Step::Disconnect),
        ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against rules that hold only for one customer's classes, limits and deadlines.
    #[test]
    fn rules_hold_under_any_settings(
        customer in customer(),
        roles in any::<bool>(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let parsed = Config::parse(customer.to_string().as_bytes(), AddressOverrides::default());
        let mut checker = RuleChecker::new(parsed.expect("valid settings are accepted").settings, roles);
        steps.into_iter().for_each(|step| checker.play(step));
        checker.finish_all();
    }

    /// Guards against an invalid field that is reported only in the first class or only with few classes.
    #[test]
    fn an_invalid_field_of_any_class_is_named(
        customer in customer(),
        which in any::<prop::sample::Index>(),
        field in prop::sample::select(vec![
            "DeadlineUs", "TargetUs", "MemorySpanUs", "Worth", "LateValue", "Name",
        ]),
        invalid in prop::sample::select(vec![
            json!(-1), json!({"x": 1}), json!([1, 2]), json!("no number"), json!(""),
        ]),
    ) {
        let classes = customer["settings"]["Classes"].as_array().expect("a list").len();
        let class = which.index(classes);
        // A name may be any text, and an empty string for a number counts as absent.
        prop_assume!(if field == "Name" { invalid.is_object() || invalid == "" } else { invalid != "" });
        let pointer = format!("/settings/Classes/{class}/{field}");
        let changed = config::with_value(&customer, &pointer, invalid).to_string();
        let parsed = Config::parse(changed.as_bytes(), AddressOverrides::default());
        let message = parsed.err().map(|error| error.to_string()).unwrap_or_default();
        prop_assert!(message.contains(&format!("field Classes.{class}.{field}: ")), "{}", message);
    }
}

/// Guards against a request that is queued while a later timer is set, and given up only when that timer
/// expires. Each of these seeds has such requests.
#[rstest]
fn requests_queued_behind_others_are_answered_in_time(#[values(21, 111, 114, 125, 134, 142)] seed: u64) {
    let config = ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    };
    let inputs = (customer(), any::<bool>(), prop::collection::vec(step(), 1..120));
    let result = TestRunner::new(config).run(&inputs, |(customer, roles, steps)| {
        let parsed = Config::parse(customer.to_string().as_bytes(), AddressOverrides::default());
        let mut checker = RuleChecker::new(parsed.expect("valid settings are accepted").settings, roles);
        steps.into_iter().for_each(|step| checker.play(step));
        checker.finish_all();
        Ok(())
    });
    assert!(result.is_ok(), "{}", result.unwrap_err());
}
