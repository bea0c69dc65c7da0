//! Detects restarts of several proxies shortly after each other.

use super::incident::{Incident, Kind};
use super::runs::Run;
use super::SECOND;
use crate::evidence::Evidence;
use std::collections::BTreeSet;
use wharfplank_records::reader::GapCause;
use wharfplank_records::Micros;

/// A proxy that goes down within this time of the previous one's return belongs to the same wave.
const MAX_PAUSE: Micros = 30 * SECOND;
/// Restarts of fewer proxies are not a wave.
const MIN_PROXIES: usize = 2;

/// One proxy's restart, ordered by its start.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Restart<'a> {
    from: Micros,
    to: Micros,
    proxy: &'a str,
}

/// Finds the waves of restarts.
pub(super) fn detect(evidence: &Evidence) -> Vec<Incident> {
    let waves = group_into_waves(restarts(evidence));
    waves.iter().filter_map(|wave| wave_incident(evidence, wave)).collect()
}

fn restarts(evidence: &Evidence) -> Vec<Restart<'_>> {
    let mut restarts = Vec::new();
    for (proxy, records) in &evidence.proxies {
        for gap in &records.gaps {
            if matches!(gap.cause, GapCause::Restart | GapCause::Killed) {
                restarts.push(Restart { from: gap.from, to: gap.to, proxy });
            }
        }
    }
    restarts.sort();
    restarts
}

fn group_into_waves(restarts: Vec<Restart<'_>>) -> Vec<Vec<Restart<'_>>> {
    let mut waves: Vec<Vec<Restart>> = Vec::new();
    for restart in restarts {
        let follows =
            |wave: &Vec<Restart>| wave.last().is_some_and(|last| restart.from - last.to <= MAX_PAUSE);
        match waves.last_mut() {
            Some(wave) if follows(wave) => wave.push(restart),
            _ => waves.push(vec![restart]),
        }
    }
    waves
}

fn wave_incident(evidence: &Evidence, wave: &[Restart]) -> Option<Incident> {
    let proxies: BTreeSet<&str> = wave.iter().map(|restart| restart.proxy).collect();
    if proxies.len() < MIN_PROXIES {
        return None;
    }
    let from = wave.first()?.from;
    let to = wave.iter().map(|restart| restart.to).max()?;
    let names: Vec<&str> = proxies.into_iter().collect();
    let run = Run { from, to, open: false };
    Some(Incident::from_run(evidence, Kind::RestartWave, &names.join(", "), run, Vec::new()))
}
