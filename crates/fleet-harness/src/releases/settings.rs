//! What proxies of a run are told of releases.

use super::agents::Agents;
use super::case::Played;
use super::rules::{DisruptionLimits, Site};
use crate::proxies::Plan;
use crate::relay::Mesh;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use wharfplank_lab::stand::Stand;

/// What may be out at once: one of a group, one of each zone and bank, one of the fleet and bank.
pub const LIMITS: DisruptionLimits = DisruptionLimits { group: 1, zone: 3, fleet: 3 };
/// How long a member may be away before the release halts, and a wave is watched at most.
const READY_WITHIN_S: u64 = 12;
const WATCH_S: u64 = 3;

/// The signal file of a proxy.
pub fn signal(directory: &Path, proxy: usize) -> PathBuf {
    directory.join(format!("n{proxy}.signal"))
}

/// The ledger of a proxy that is a bank.
pub fn ledger(directory: &Path, proxy: usize) -> PathBuf {
    directory.join(format!("n{proxy}.ledger"))
}

/// Banks of a run with so many proxies.
pub fn banks(proxies: usize) -> usize {
    proxies.min(3)
}

/// Where members are.
pub fn sites(stand: &Stand) -> Vec<Site> {
    stand.fleet().members.iter().map(|m| Site { group: m.group, zone: m.zone }).collect()
}

/// The element for one proxy.
pub fn element(played: &Played, stand: &Stand, agents: &Agents, mesh: &Mesh, plan: &Plan) -> String {
    let (n, directory, banks) = (plan.number, &plan.directory, banks(played.proxies));
    let DisruptionLimits { group, zone, fleet } = LIMITS;
    let kept = if n < banks { ledger(directory, n).display().to_string() } else { "no".to_string() };
    let mut text = format!(
        "  <release listen=\"127.0.0.1:0\" rank=\"{}\" banks=\"{banks}\" group=\"{group}\" zone=\"{zone}\" \
         fleet=\"{fleet}\" ledger=\"{kept}\" signal=\"{}\" ready-within-s=\"{READY_WITHIN_S}\" \
         watch-s=\"{WATCH_S}\">\n",
        n + 1,
        signal(directory, n).display()
    );
    // A text that grows in memory takes every line.
    for inbox in &mesh.inbox {
        let _ = writeln!(text, "    <proxy address=\"{inbox}\"/>");
    }
    for (member, agent) in stand.fleet().members.iter().zip(&agents.addresses) {
        let (name, group, zone) = (&member.name, member.group, member.zone);
        let _ = writeln!(
            text,
            "    <member name=\"{name}\" group=\"{group}\" zone=\"{zone}\" agent=\"{agent}\"/>"
        );
    }
    text + "  </release>\n"
}
