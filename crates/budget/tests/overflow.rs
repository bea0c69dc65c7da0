//! Tests of a lease holder with more budgets than its table has places.

use wharfplank_budget::{BudgetId, BudgetKind, BudgetLimits, LeaseHolder, LeaseTerms, Micros, MAX_BUDGETS};

const S: Micros = 1_000_000;
const PROXIES: u64 = 5;
/// The limit of the whole fleet for each member, per second or in use.
const LIMIT: u64 = 100;
/// The members beyond the table.
const EXTRA_MEMBERS: u64 = 3;
const ATTEMPTS: u64 = 200;

/// Returns the holders of a fleet whose tables are full of the budgets of other members.
fn full_holders(kind: BudgetKind) -> Vec<LeaseHolder> {
    let static_quotas = BudgetLimits::new([].into(), [(kind, LIMIT)].into()).static_quota(100, PROXIES);
    let full_holder = |number| {
        let mut holder = LeaseHolder::new(number + 1, LeaseTerms::default(), 0, vec![], 0)
            .with_static_quotas(static_quotas.clone());
        (0..MAX_BUDGETS as u64).for_each(|member| holder.register(0, kind.budget(member)));
        extra_budgets(kind).for_each(|budget| holder.register(0, budget));
        holder
    };
    (0..PROXIES).map(full_holder).collect()
}

fn extra_budgets(kind: BudgetKind) -> impl Iterator<Item = BudgetId> {
    (MAX_BUDGETS as u64..MAX_BUDGETS as u64 + EXTRA_MEMBERS).map(move |member| kind.budget(member))
}

/// Guards against a budget beyond the table that is not limited at all.
#[test]
fn a_fleet_spends_no_more_than_the_limit_of_a_budget_beyond_the_table() {
    let kind = BudgetKind::HealthChecks;
    let mut holders = full_holders(kind);
    for budget in extra_budgets(kind) {
        let mut spent = 0;
        for holder in &mut holders {
            assert_eq!(holder.refused_registrations(), EXTRA_MEMBERS);
            holder.can_spend(0, budget);
            for attempt in 0..ATTEMPTS {
                spent += u64::from(holder.try_spend(3 * S + attempt as Micros, budget));
            }
        }
        assert!(spent <= LIMIT, "{spent} of at most {LIMIT} spent");
    }
}

/// Guards against connections of a budget beyond the table that are not limited, and against units that are
/// not given back.
#[test]
fn a_fleet_holds_no_more_than_the_limit_of_a_budget_beyond_the_table() {
    let kind = BudgetKind::OpenConnections;
    let mut holders = full_holders(kind);
    for budget in extra_budgets(kind) {
        let mut held = 0;
        for holder in &mut holders {
            let acquired = (0..ATTEMPTS).filter(|_| holder.try_acquire(3 * S, budget)).count() as u64;
            assert_eq!(acquired, LIMIT / PROXIES);
            held += acquired;
        }
        assert!(held <= LIMIT, "{held} of at most {LIMIT} held");
        for holder in &mut holders {
            (0..LIMIT / PROXIES).for_each(|_| holder.release(budget));
        }
    }
}

/// A budget without a limit stays unlimited, in a full table too.
#[test]
fn a_budget_without_a_limit_is_not_limited() {
    let mut holders = full_holders(BudgetKind::HealthChecks);
    let retries = BudgetKind::Retries.budget(0);
    assert!((0..ATTEMPTS).all(|_| holders[0].try_spend(S, retries)));
}
