//! What operators are shown of releases, beside the signal file.

use crate::{Course, Desk, Plan, PlanId, Reason, Step};
use std::fmt::Write;

/// A release's name for people and programs.
pub fn name(plan: PlanId) -> String {
    format!("{}.{}", plan.started_ms, plan.by)
}

/// A reason in words.
pub fn reason(reason: Reason) -> String {
    match reason {
        Reason::Operator => String::from("operator"),
        Reason::Refusals => String::from("refusals"),
        Reason::Late => String::from("late"),
        Reason::NotReady(id) => format!("not_ready:{id:016x}"),
        Reason::OtherRelease(version) => format!("other_release:{version}"),
    }
}

/// A course in words, and its reason.
pub fn course(course: Course) -> (&'static str, String) {
    match course {
        Course::Forward => ("forward", String::from("-")),
        Course::Halted(why) => ("halted", reason(why)),
        Course::Back(why) => ("back", reason(why)),
    }
}

impl Desk {
    /// The status: the last word's answer, this proxy, and a line for each release it knows, the newest first.
    pub fn status(&self) -> String {
        let station = self.station();
        let bank = match (station.is_bank(), station.closed()) {
            (false, _) => "none",
            (true, false) => "open",
            (true, true) => "closed",
        };
        let mut text = format!("answer {}\nproxy drives={} bank={bank}\n", self.answered, station.drives());
        let plans: Vec<&Plan> = station.plans().iter().collect();
        plans.iter().rev().for_each(|plan| line(&mut text, plan));
        text
    }
}

fn line(text: &mut String, plan: &Plan) {
    let mut counts = [0_usize; 5];
    for id in plan.waves.iter().flatten() {
        counts[match plan.step(*id) {
            Step::Waiting => 0,
            Step::Ordered(_) => 1,
            Step::Released(_) => 2,
            Step::OrderedBack(_) => 3,
            Step::Undone => 4,
        }] += 1;
    }
    let [waiting, ordered, released, ordered_back, undone] = counts;
    let (course, reason) = course(plan.control.course);
    let tally = plan.tally();
    // A text that grows in memory takes every line.
    let _ = writeln!(
        text,
        "release {} target={} back={} course={course} reason={reason} over={} wave={}/{} waiting={waiting} \
         ordered={ordered} released={released} ordered_back={ordered_back} undone={undone} answers={}/{} refused={}/{} \
         late={}/{}",
        name(plan.id),
        plan.target,
        plan.back_to(),
        plan.over(),
        plan.wave().min(plan.waves.len()),
        plan.waves.len(),
        tally.released.answers,
        tally.others.answers,
        tally.released.refused,
        tally.others.refused,
        tally.released.late,
        tally.others.late,
    );
}
