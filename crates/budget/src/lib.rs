//! Budgets that apply to a whole fleet of proxies and are divided among the proxies by leases. The
//! division follows the demand and the proxies that join and leave, and the quotas in force never add up
//! to more than the fleet's limit. The crate does no I/O: it takes messages, the time and attempts to
//! spend, and returns messages and permissions.
//!
//! Each of a few lease allocators owns a fixed part of every limit and leases it out independently of the
//! others. Under a network partition, each side keeps the parts of the allocators that it can reach. A
//! lease expires by time alone, on the holder's clock before it does on the allocator's. The allocator
//! does not reuse a leased amount before that expiry unless the holder has confirmed that it uses a newer
//! lease. Clocks need not agree; they only have to run at the same rate within
//! [`LeaseTerms::max_drift_ppm`].
//!
//! - [`LeaseAllocator`]: leases out its part according to demand, and never more than that part.
//! - [`LeaseTable`]: the leases that one proxy holds from all allocators.
//! - [`RateLimiter`]: enforces a quota per second and estimates the demand.
//! - [`ConcurrencyBudget`]: limits the units that one proxy holds open at the same time, such as
//!   connections.
//! - [`TakeoverGuard`]: delays an allocator's leases after the set of allocators has changed.
//! - [`BudgetLimits`]: the limits of the fleet, of one allocator, or the static quota of one proxy.
//! - [`LeaseHolder`]: one proxy's lease table and limiters, and when it sends requests to which
//!   allocator.
//!
//! ```
//! use wharfplank_budget::{LeaseAllocator, LeaseHolder, LeaseTerms};
//!
//! let terms = LeaseTerms::default();
//! let mut allocator = LeaseAllocator::new(terms.clone(), [(7, 100)].into(), 0);
//! let mut holder = LeaseHolder::new(1, terms.clone(), 1, [7].into(), 0);
//! // A newly started allocator grants nothing until every lease of its predecessor has expired.
//! let mut now = allocator.opens_at();
//! while holder.quota(now, 7) == 0 {
//!     now += 50_000;
//!     for (_, request) in holder.due_requests(now) {
//!         let grant = allocator.on_request(now, &request);
//!         grant.iter().for_each(|grant| assert!(holder.on_grant(now, 0, grant)));
//!     }
//! }
//! // An increased quota may be spent once it has been in force for a second.
//! assert!(!holder.try_spend(now, 7));
//! assert!(holder.try_spend(now + 1_000_001, 7));
//! ```

mod account;
mod allocator;
mod concurrency_budget;
mod fair_division;
mod kind;
mod lease_holder;
mod lease_table;
mod limits;
mod messages;
mod overflow;
mod rate_limiter;
mod request_schedule;
mod takeover;
mod terms;

pub use allocator::{LeaseAllocator, MAX_HOLDERS};
pub use concurrency_budget::ConcurrencyBudget;
pub use fair_division::ROTATION_PERIOD;
pub use kind::BudgetKind;
pub use lease_holder::{Excess, LeaseHolder, MAX_BUDGETS};
pub use lease_table::{AllocatorQuota, GrantEffect, LeaseTable};
pub use limits::BudgetLimits;
pub use messages::{BudgetAmount, LeaseGrant, LeaseRequest};
pub use rate_limiter::RateLimiter;
pub use takeover::{EpochAnnouncement, TakeoverGuard};
pub use terms::LeaseTerms;

/// A point in time or a duration, in microseconds, on the caller's clock.
pub type Micros = i64;

/// The identifier of a budget, as made by [`BudgetKind::budget`].
pub type BudgetId = u32;

/// The identifier of a lease holder: one process of a proxy. It is never reused for another process.
pub type HolderId = u64;
