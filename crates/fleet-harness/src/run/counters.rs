//! The counters of a run.

use super::{Fault, Harness, Micros, Rc, Schedule, StandIns};
use crate::check::RunCounters;

impl Harness {
    pub(super) fn counters(
        &self,
        schedule: &Schedule,
        stand_ins: &Rc<StandIns>,
        diverged: u64,
        converged_ms: Micros,
    ) -> RunCounters {
        let model = stand_ins.model();
        let faulty_zones: Vec<&str> = schedule
            .faults
            .iter()
            .filter_map(|f| match f {
                Fault::Zone { zone, .. } | Fault::Cut { zone, .. } => Some(zone.as_str()),
                _ => None,
            })
            .collect();
        let peak_cold_load = model
            .members
            .iter()
            .filter(|m| faulty_zones.contains(&m.zone))
            .map(|m| m.peak_overload)
            .fold(0.0, f64::max);
        let query_counts = self.links.query_counts.borrow();
        let reads_without_fault = |same_zone: bool| {
            query_counts
                .iter()
                .filter(|(r, _)| r.class <= 1 && !r.zone_fault && !r.to_primary && r.same_zone == same_zone)
                .map(|(_, n)| n)
                .sum()
        };
        let (datagrams, bytes) = self
            .cluster
            .mesh
            .sent
            .iter()
            .fold((0, 0), |(d, b), c| (d + c.get().datagrams, b + c.get().bytes));
        RunCounters {
            stale_reads: model.stale_reads,
            duplicate_writes: model.duplicate_writes,
            collapsed_members: model.members.iter().filter(|m| m.has_collapsed).count() as u64,
            peak_cold_load,
            datagrams,
            bytes,
            same_zone_reads: reads_without_fault(true),
            cross_zone_reads: reads_without_fault(false),
            crashed: *self.crashed.borrow(),
            diverged,
            converged_ms: converged_ms as u64,
            harness_delay_ms: (self.max_delay.get() / 1000) as u64,
        }
    }
}
