//! The timeline of the stand-in members.

use crate::schedule::{Fault, Schedule};
use wharfplank_lab::member_model::USUAL_REPORTS_PER_MILLE;
use wharfplank_lab::timeline::{Kind, Timeline, Trouble};

/// Returns the timeline of the zone and member faults that the stand-in members carry out.
pub(super) fn timeline(schedule: &Schedule) -> Timeline {
    let troubles = schedule.faults.iter().filter_map(|fault| match fault {
        Fault::Zone { at_s, for_s, zone, lose } => Some(Trouble {
            kind: if *lose { Kind::Lose } else { Kind::Cut },
            at: *at_s,
            lasts: *for_s,
            on: zone.clone(),
            percent: 100,
        }),
        Fault::Slow { at_s, for_s, member, percent } => Some(Trouble {
            kind: Kind::SlowMember,
            at: *at_s,
            lasts: *for_s,
            on: member.clone(),
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
        troubles: troubles.collect(),
    }
}
