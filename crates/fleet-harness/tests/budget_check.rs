//! Tests of the checker of budgets.

use wharfplank_fleet_harness::budgets::check::{check, Findings, Limit};
use wharfplank_fleet_harness::proxies::ProxyConfig;

fn findings(logs: [&str; 2]) -> Findings {
    let directory = std::env::temp_dir().join(format!("wharfplank-budgets-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    for (n, log) in logs.iter().enumerate() {
        std::fs::write(ProxyConfig::log_path(&directory, n), log).unwrap();
    }
    let findings = check(&directory, 2, 1, |_| Limit { leased: 4, total: 4 });
    std::fs::remove_dir_all(&directory).unwrap();
    findings
}

/// Guards against a checker that misses amounts above the limit.
#[test]
fn amounts_above_the_limit_are_counted() {
    let leased = |at: i64, amount: i64| {
        format!(
            "{{\"event\":\"budget_leased\",\"at_us\":{at},\"bank\":0,\"ends_us\":3000000,\"what\":\"1={amount}\"}}\n"
        )
    };
    let spent = |what: &str| format!("{{\"event\":\"budget_spent\",\"ahead_us\":0,\"what\":\"{what}\"}}\n");
    let held = |what: &str| format!("{{\"event\":\"budget_held\",\"ahead_us\":0,\"what\":\"{what}\"}}\n");
    // The first proxy returns a unit before the second one receives it.
    let allowed = [leased(0, 3) + &leased(10, 2), leased(0, 1) + &leased(10, 2)];
    assert_eq!(findings([&allowed[0], &allowed[1]]).breaches(), 0);
    let leased_twice = [leased(0, 3), leased(10, 2)];
    assert_eq!(findings([&leased_twice[0], &leased_twice[1]]).lease_breaches, 1);
    let allowed = [spent("1@0,1@1,1@2"), spent("1@999500,1@1000000")];
    assert_eq!(
        (findings([&allowed[0], &allowed[1]]).spend_breaches, findings([&allowed[0], &allowed[1]]).spends),
        (0, 5)
    );
    let too_many = [spent("1@0,1@1,1@2"), spent("1@500000,1@900000")];
    assert_eq!(findings([&too_many[0], &too_many[1]]).spend_breaches, 1);
    let too_much = [held("1@0=1,1@1=2,1@5=1"), held("1@2=1,1@3=2,1@4=3")];
    assert_eq!(findings([&too_much[0], &too_much[1]]).in_use_breaches, 1);
}
