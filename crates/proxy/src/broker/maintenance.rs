//! Timed work: the router's timers, and the maintenance of pools, logs and records every second.

use super::Broker;
use crate::log;
use crate::rollout::MemberObservations;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use wharfplank_routing::{self as routing, HostId, Micros, Router};

/// The interval of the maintenance.
const MAINTENANCE_INTERVAL: Micros = 1_000_000;

/// The times at which the broker has work to do independently of events.
pub(super) struct MaintenanceTimers {
    router_timers: BinaryHeap<Reverse<Micros>>,
    next_maintenance_at: Micros,
}

impl MaintenanceTimers {
    pub(super) fn new(now: Micros) -> Self {
        MaintenanceTimers {
            router_timers: BinaryHeap::new(),
            next_maintenance_at: now + MAINTENANCE_INTERVAL,
        }
    }

    /// Schedules a timer event for the router.
    pub(super) fn schedule_router_timer(&mut self, at: Micros) {
        self.router_timers.push(Reverse(at));
    }

    /// Removes an expired router timer, if any.
    fn pop_expired_router_timer(&mut self, now: Micros) -> Option<Micros> {
        let Reverse(at) = *self.router_timers.peek()?;
        if at > now {
            return None;
        }
        self.router_timers.pop();
        Some(at)
    }

    fn next_router_timer(&self) -> Option<Micros> {
        self.router_timers.peek().map(|Reverse(at)| *at)
    }
}

impl Broker {
    /// Returns when the event loop has work to do independently of events.
    pub(super) fn next_wakeup_at(&self) -> Micros {
        let now = self.clock.now();
        let wakeups = [
            self.timers.next_router_timer(),
            self.next_shutdown_step(now),
            self.lifecycle.next_readiness_check(now),
            self.next_handover_timer(),
        ];
        wakeups.into_iter().flatten().fold(self.timers.next_maintenance_at, Micros::min)
    }

    /// Runs the work that is due now.
    pub(super) fn run_due_work(&mut self) {
        let now = self.clock.now();
        while self.timers.pop_expired_router_timer(now).is_some() {
            self.notify_router(routing::Event::Timer);
        }
        if now >= self.timers.next_maintenance_at {
            self.timers.next_maintenance_at = now + MAINTENANCE_INTERVAL;
            self.run_maintenance(now);
        }
        self.check_readiness(now);
        self.advance_shutdown(now);
    }

    fn run_maintenance(&mut self, now: Micros) {
        self.log_counts(now);
        self.log_slow_start();
        self.pools.relax_liveness_check();
        self.gossip.report_suspects(now, suspected_members(&self.router));
        self.cancel_attempts_over_budget();
        self.endpoints.members.values().for_each(|member| member.maintain());
        self.exchange_with_rollout(now);
        self.record_members();
    }

    fn log_counts(&mut self, now: Micros) {
        self.counts.add("connections", "open", "", self.pools.open_connections.get() as u64);
        if let Some(counts) = self.counts.take_text() {
            log::activity_counts(now as u64 / 1000, &counts);
        }
    }

    fn exchange_with_rollout(&mut self, now: Micros) {
        let endpoints = &self.endpoints;
        let recorder = &self.recorder;
        let members = MemberObservations {
            endpoints: &endpoints.records,
            cordons: &endpoints.cordons,
            host_ids: &endpoints.ids,
            views: self.router.member_views(),
        };
        self.rollout.exchange(now, members, |event, names| recorder.record_rollout_action(event, names));
    }

    fn record_members(&self) {
        if self.recorder.is_enabled() {
            self.router.member_views().for_each(|view| self.recorder.record_member_state(&view));
            self.recorder.flush();
        }
    }
}

/// Returns the members that the router suspects to be faulty.
fn suspected_members(router: &Router) -> impl Iterator<Item = HostId> + '_ {
    router.member_views().filter(|view| view.suspected_since.is_some()).map(|view| view.host)
}
