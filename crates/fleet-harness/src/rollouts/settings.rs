//! The rollout settings of a run's proxies, and the paths of the files that they name.

use super::case::Scenario;
use super::member_agents::MemberAgents;
use super::rules::{DisruptionLimits, Site};
use crate::proxies::ProxyConfig;
use crate::relay::Mesh;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use wharfplank_lab::stand_ins::StandIns;

/// The limits: one member of each group, and for a zone and the fleet one for each permit server.
pub(super) const LIMITS: DisruptionLimits = DisruptionLimits { group: 1, zone: 3, fleet: 3 };
const MAX_PERMIT_SERVERS: usize = 3;
/// The maximum time for which a member may be down before the rollout halts.
const READY_TIMEOUT_S: u64 = 12;
/// The maximum time for which a wave is observed.
const SOAK_TIME_S: u64 = 3;

/// Returns the path of a proxy's signal file.
pub(super) fn signal_file(directory: &Path, proxy: usize) -> PathBuf {
    directory.join(format!("n{proxy}.signal"))
}

/// Returns the path of a proxy's status file, which is next to its signal file.
pub(super) fn status_file(directory: &Path, proxy: usize) -> PathBuf {
    signal_file(directory, proxy).with_extension("signal.status")
}

/// Returns the path of the ledger of a permit server.
pub(super) fn ledger_file(directory: &Path, proxy: usize) -> PathBuf {
    directory.join(format!("n{proxy}.ledger"))
}

/// Returns the number of permit servers among this number of proxies.
pub(super) fn permit_servers(proxies: usize) -> usize {
    proxies.min(MAX_PERMIT_SERVERS)
}

/// Returns the site of each member.
pub(super) fn sites(stand_ins: &StandIns) -> Vec<Site> {
    let members = &stand_ins.model().members;
    members.iter().map(|member| Site { group: member.group, zone: member.zone }).collect()
}

/// Returns the `<release>` element of a proxy's settings.
pub(super) fn release_element(
    scenario: &Scenario,
    stand_ins: &StandIns,
    agents: &MemberAgents,
    mesh: &Mesh,
    config: &ProxyConfig,
) -> String {
    let proxy = config.number;
    let servers = permit_servers(scenario.proxies);
    let DisruptionLimits { group, zone, fleet } = LIMITS;
    let ledger = if proxy < servers {
        ledger_file(&config.directory, proxy).display().to_string()
    } else {
        String::from("no")
    };
    let mut text = format!(
        "  <release listen=\"127.0.0.1:0\" rank=\"{}\" banks=\"{servers}\" group=\"{group}\" zone=\"{zone}\" \
         fleet=\"{fleet}\" ledger=\"{ledger}\" signal=\"{}\" ready-within-s=\"{READY_TIMEOUT_S}\" \
         watch-s=\"{SOAK_TIME_S}\">\n",
        proxy + 1,
        signal_file(&config.directory, proxy).display()
    );
    // Writing to a string can't fail.
    for address in &mesh.inbox_addresses {
        let _ = writeln!(text, "    <proxy address=\"{address}\"/>");
    }
    for (member, agent) in stand_ins.model().members.iter().zip(&agents.addresses) {
        let (name, group, zone) = (&member.name, member.group, member.zone);
        let _ = writeln!(
            text,
            "    <member name=\"{name}\" group=\"{group}\" zone=\"{zone}\" agent=\"{agent}\"/>"
        );
    }
    text + "  </release>\n"
}
