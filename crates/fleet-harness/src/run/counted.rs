//! What the stand-ins and relays counted in a run.

use super::*;
use crate::check::Counted;

impl Rig {
    pub(super) fn counted(
        &self,
        schedule: &Schedule,
        stand: &Rc<Stand>,
        diverged: u64,
        converged_ms: Micros,
    ) -> Counted {
        let fleet = stand.fleet();
        let lost: Vec<&str> = schedule
            .faults
            .iter()
            .filter_map(|f| match f {
                Fault::Zone { zone, .. } | Fault::Cut { zone, .. } => Some(zone.as_str()),
                _ => None,
            })
            .collect();
        let cold_peak =
            fleet.members.iter().filter(|m| lost.contains(&m.zone)).map(|m| m.peak).fold(0.0, f64::max);
        let ways = self.links.ways.borrow();
        let calm = |near: bool| {
            ways.iter()
                .filter(|(w, _)| w.class <= 1 && !w.troubled && !w.primary && w.near == near)
                .map(|(_, n)| n)
                .sum()
        };
        let (datagrams, bytes) = self
            .cluster
            .mesh
            .carried
            .iter()
            .fold((0, 0), |(d, b), c| (d + c.get().datagrams, b + c.get().bytes));
        Counted {
            stale: fleet.stale,
            twice: fleet.twice,
            fallen: fleet.members.iter().filter(|m| m.fallen).count() as u64,
            cold_peak,
            datagrams,
            bytes,
            near: calm(true),
            far: calm(false),
            crashed: *self.crashed.borrow(),
            diverged,
            converged_ms: converged_ms as u64,
            late_ms: (self.late.get() / 1000) as u64,
        }
    }
}
