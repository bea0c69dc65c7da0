//! The timeline of the stand-in members.

use crate::schedule::{Fault, Schedule};
use wharfplank_lab::member_model::USUAL_REPORTS_PER_MILLE;
use wharfplank_lab::timeline::{FaultKind, ScriptedFault, Timeline};

/// Returns the timeline of the zone and member faults that the stand-in members carry out.
pub(super) fn timeline(schedule: &Schedule) -> Timeline {
    let troubles = schedule.faults.iter().filter_map(|fault| match fault {
        Fault::Zone { at_s, for_s, zone, lose } => Some(ScriptedFault {
            kind: if *lose { FaultKind::ZoneLoss } else { FaultKind::Partition },
            at: *at_s,
            duration: *for_s,
            targets: zone.clone(),
            percent: 100,
        }),
        Fault::Slow { at_s, for_s, member, percent } => Some(ScriptedFault {
            kind: FaultKind::SlowMember,
            at: *at_s,
            duration: *for_s,
            targets: member.clone(),
            percent: *percent,
        }),
        _ => None,
    });
    Timeline {
        seconds: schedule.seconds,
        rate: schedule.rate,
        proxies: schedule.proxies,
        groups: schedule.groups,
        members: 4,
        reports: USUAL_REPORTS_PER_MILLE,
        seed: schedule.seed,
        scripted_faults: troubles.collect(),
    }
}
