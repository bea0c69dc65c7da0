//! What is next with one member of a release, from how far it is, what it was seen to be, and the course.

use crate::{Course, Launch, Plan, Sight, Step, Version};

/// What is next with one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// Nothing, or not before something else.
    Rest,
    /// It is on its way.
    Await,
    /// This launch is to end and that version to start: with a permit for the launch, and as often as it is not seen.
    Go(Launch, Version),
    /// It was seen to have got there.
    Reached(Step),
}

/// What is next with a member, as seen last. `held`: the release has a permit for it.
pub(crate) fn next(plan: &Plan, step: Step, sight: Option<&Sight>, held: bool) -> Next {
    let Some(sight) = sight else { return Next::Rest };
    match plan.control.course {
        Course::Forward => forward(plan, step, sight),
        Course::Halted(_) => halted(plan, step, sight),
        Course::Back(_) => backward(plan, step, sight, held),
    }
}

fn forward(plan: &Plan, step: Step, sight: &Sight) -> Next {
    let there = sight.version == plan.target;
    match step {
        Step::Waiting if there && sight.sound => Next::Reached(Step::Released(sight.launch)),
        // Another driver sent it, and that has not come to be known here yet.
        Step::Waiting if there => Next::Await,
        Step::Waiting => Next::Go(sight.launch, plan.target),
        Step::Ordered(launch) if sight.launch == launch => Next::Go(launch, plan.target),
        Step::Ordered(launch) if sight.launch > launch && sight.sound && there => {
            Next::Reached(Step::Released(sight.launch))
        }
        // It ended by itself before the order came, and started as what it was: the order is void.
        Step::Ordered(launch) if sight.launch > launch && sight.sound => Next::Go(sight.launch, plan.target),
        Step::Ordered(_) => Next::Await,
        _ => Next::Rest,
    }
}

/// An order that may have left can't be called back: it is said until it is followed.
fn halted(plan: &Plan, step: Step, sight: &Sight) -> Next {
    match step {
        Step::Ordered(launch) if sight.launch == launch => Next::Go(launch, plan.target),
        Step::Ordered(launch) if sight.launch > launch && sight.sound && sight.version == plan.target => {
            Next::Reached(Step::Released(sight.launch))
        }
        Step::Ordered(_) => Next::Await,
        _ => Next::Rest,
    }
}

fn backward(plan: &Plan, step: Step, sight: &Sight, held: bool) -> Next {
    let go = Next::Go(sight.launch, plan.back_to());
    let back = sight.version != plan.target;
    match step {
        // A permit that others were told of can't be returned; what it is for is done, towards the old version.
        Step::Waiting | Step::Undone if held => go,
        Step::Waiting | Step::Undone => Next::Rest,
        Step::Ordered(launch) | Step::OrderedBack(launch) if sight.launch == launch => go,
        Step::Ordered(launch) | Step::OrderedBack(launch) if sight.launch < launch => Next::Await,
        _ if back && sight.sound => Next::Reached(Step::Undone),
        _ if back => Next::Await,
        _ => go,
    }
}
