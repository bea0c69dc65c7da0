//! Tests that pin the bytes that proxies of different versions exchange, and the text whose hash tells
//! whether two proxies run with the same limits. The expected values come from the release before the types
//! were renamed.

use std::collections::BTreeMap;
use wharfplank_budget::{
    BudgetAmount, BudgetId, BudgetKind, BudgetLimits, EpochAnnouncement, LeaseGrant, LeaseRequest,
};

fn bytes(message: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap()
}

#[test]
fn messages_keep_their_encoding() {
    let request = LeaseRequest {
        holder: 300,
        sequence: 2,
        newest_lease: 1,
        demand: vec![BudgetAmount::new(7, 200), BudgetAmount::new(1 << 27, 3)],
        in_use: vec![BudgetAmount::new(9, 4)],
    };
    let encoded = [172, 2, 2, 1, 2, 7, 200, 1, 128, 128, 128, 64, 3, 1, 9, 4];
    assert_eq!(bytes(&request), encoded);
    assert_eq!(postcard::from_bytes::<LeaseRequest>(&encoded).unwrap(), request);

    let amounts = vec![BudgetAmount::new(7, 200)];
    let grant = LeaseGrant { holder: 300, request: 2, lease: 5, amounts, more_available: true };
    let encoded = [172, 2, 2, 5, 1, 7, 200, 1, 1];
    assert_eq!(bytes(&grant), encoded);
    assert_eq!(postcard::from_bytes::<LeaseGrant>(&encoded).unwrap(), grant);

    let announcement = EpochAnnouncement { epoch: 2, is_receiver_retired: true };
    assert_eq!(bytes(&announcement), [2, 1]);
    assert_eq!(postcard::from_bytes::<EpochAnnouncement>(&[2, 1]).unwrap(), announcement);
}

#[test]
fn canonical_text_of_limits_does_not_change() {
    let by_budget: BTreeMap<BudgetId, u64> =
        [(BudgetKind::Requests.budget(0), 100), (BudgetKind::TenantRequests.budget(7), 10)].into();
    let by_kind = [
        (BudgetKind::OpenConnections, 3),
        (BudgetKind::HealthChecks, 4),
        (BudgetKind::NewConnections, 5),
        (BudgetKind::Requests, 1),
        (BudgetKind::TenantRequests, 2),
        (BudgetKind::Retries, 6),
        (BudgetKind::DiscoveryCalls, 7),
    ];
    assert_eq!(
        BudgetLimits::new(by_budget, by_kind.into()).canonical_text(),
        "Parts { own: {134217728: 100, 268435463: 10}, kinds: {Requests: 1, Tenant: 2, Retries: 6, Probes: 4, \
         Connects: 5, Held: 3, Discovery: 7} }"
    );
    assert_eq!(BudgetLimits::default().canonical_text(), "Parts { own: {}, kinds: {} }");
}
