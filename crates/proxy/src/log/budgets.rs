//! Log lines of the fleet's budgets.

use std::net::SocketAddrV4;
use tracing::{debug, error, info};
use wharfplank_routing::Micros;
use wharfplank_transport::budgets::{Figure, Said};

/// The socket of the budgets is bound; `is_allocator` says whether this proxy leases budgets to others.
pub fn budgets_started(listen: SocketAddrV4, advertise: SocketAddrV4, is_allocator: bool) {
    info!(listen = %listen, advertise = %advertise, bank = is_allocator, "budgets_started");
}

/// What the budgets' thread did. `skew` is how far the budgets' clock is ahead of the true one, by which times are logged.
pub fn budget_event(event: Said<'_>, skew: Micros) {
    match event {
        Said::Reached { reached, done } => {
            info!(
                reached,
                leases = done.leases,
                holders = done.holders,
                ignored = done.ignored,
                unread = done.unread,
                others = done.others,
                "budgets"
            );
        }
        Said::Figure(kind, Figure { share, spent, denied }) => {
            info!(kind = kind.name(), share, spent, denied, "budget");
        }
        Said::Leased { at, bank, ends, what } => {
            let at_us = at - skew;
            let ends_us = ends - skew;
            debug!(at_us, bank, ends_us, what, "budget_leased");
        }
        Said::Spent(what) => debug!(ahead_us = skew, what, "budget_spent"),
        Said::Held(what) => debug!(ahead_us = skew, what, "budget_held"),
        Said::Ended => error!("budgets_ended"),
    }
}
