//! The log's lines of releases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use tracing::{info, warn};
use wharfplank_rollout::status::{course, name};
use wharfplank_rollout::{Action, Course, Id, Said, Step};
use wharfplank_transport::release::Told;

/// Notes where datagrams of releases are taken.
pub fn release_bound(listen: SocketAddr) {
    info!(listen = %listen, "release_started");
}

/// Notes what was done in a release.
pub fn release(names: &BTreeMap<Id, String>, told: &Told<'_>) {
    match told {
        Told::File(path, fault) => warn!(path = %path.display(), what = %fault, "release_file"),
        Told::Said(Said::Bank(open)) => info!(open, "release_bank"),
        Told::Said(Said::Drives(drives)) => info!(drives, "release_drives"),
        Told::Said(Said::Word(word, Ok(plan))) => {
            info!(word = word.as_str(), answer = "yes", release = name(*plan), "release_word")
        }
        Told::Said(Said::Word(word, Err(what))) => {
            warn!(word = word.as_str(), answer = "no", what = what.as_str(), "release_word")
        }
        Told::Said(Said::Did(plan, action)) => {
            let release = name(*plan);
            let (what, member, detail) = words(names, action);
            match action {
                Action::Turned(Course::Halted(_) | Course::Back(_)) => {
                    warn!(release, what, member, detail, "release")
                }
                _ => info!(release, what, member, detail, "release"),
            }
        }
    }
}

/// What was done, to which member, and how: the launch of a step, the number of a wave, the reason of a course.
pub fn words<'a>(names: &'a BTreeMap<Id, String>, action: &Action) -> (&'static str, &'a str, String) {
    let member = |id: &Id| names.get(id).map_or("-", String::as_str);
    match action {
        Action::Stepped(id, step) => {
            let (what, launch) = match step {
                Step::Waiting => ("waiting", 0),
                Step::Ordered(launch) => ("ordered", *launch),
                Step::Released(launch) => ("released", *launch),
                Step::OrderedBack(launch) => ("ordered_back", *launch),
                Step::Undone => ("undone", 0),
            };
            (what, member(id), format!("launch {launch}"))
        }
        Action::Wave(wave) => ("wave", "-", format!("wave {}", wave + 1)),
        Action::Turned(turned) => {
            let (what, reason) = course(*turned);
            let which = reason.strip_prefix("not_ready:").and_then(|id| Id::from_str_radix(id, 16).ok());
            (what, which.as_ref().map_or("-", member), reason)
        }
        Action::HandOver(id, launch) => ("hand_over", member(id), format!("launch {launch}")),
        Action::Order(order) => ("order", member(&order.id), format!("launch {}", order.launch)),
        Action::Ask(bank, _) => ("ask", "-", format!("bank {bank}")),
        Action::Return(bank, back) => ("return", member(&back.id), format!("bank {bank}")),
    }
}
