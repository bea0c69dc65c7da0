//! Log lines of rollouts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use tracing::{info, warn};
use wharfplank_rollout::status::{phase_names, rollout_name};
use wharfplank_rollout::{ControllerAction, NodeId, Phase, ServiceEvent, UpgradeState};
use wharfplank_transport::rollout::RolloutLogEvent;

/// Logs that the datagram socket of rollouts is bound.
pub fn rollout_started(listen: SocketAddr) {
    info!(listen = %listen, "release_started");
}

/// Logs an event of the rollout service; `names` are those of the inventory.
pub fn rollout_event(names: &BTreeMap<NodeId, String>, event: &RolloutLogEvent<'_>) {
    match event {
        RolloutLogEvent::FileFailed { path, error } => {
            warn!(path = %path.display(), what = %error, "release_file");
        }
        RolloutLogEvent::Service(ServiceEvent::PermitServerOpen(open)) => {
            info!(open, "release_permit_server");
        }
        RolloutLogEvent::Service(ServiceEvent::Leader(is_leader)) => info!(is_leader, "release_leader"),
        RolloutLogEvent::Service(ServiceEvent::Command { text, result: Ok(rollout) }) => {
            info!(
                command = text.as_str(),
                answer = "yes",
                release = rollout_name(*rollout),
                "release_command"
            );
        }
        RolloutLogEvent::Service(ServiceEvent::Command { text, result: Err(failure) }) => {
            let what = failure.to_string();
            warn!(command = text.as_str(), answer = "no", what = what.as_str(), "release_command");
        }
        RolloutLogEvent::Service(ServiceEvent::Action(rollout, action)) => {
            let release = rollout_name(*rollout);
            let (what, member, detail) = describe_action(names, action);
            match action {
                ControllerAction::PhaseChanged(Phase::Halted(_) | Phase::RollingBack(_)) => {
                    warn!(release, what, member, detail, "release");
                }
                _ => info!(release, what, member, detail, "release"),
            }
        }
    }
}

/// Returns the representation of an action in the log and records: the action, the member, and the
/// incarnation, wave or reason.
pub fn describe_action<'a>(
    names: &'a BTreeMap<NodeId, String>,
    action: &ControllerAction,
) -> (&'static str, &'a str, String) {
    let member = |id: &NodeId| names.get(id).map_or("-", String::as_str);
    match action {
        ControllerAction::Advanced(id, state) => {
            let (what, launch) = match state {
                UpgradeState::Pending => ("waiting", 0),
                UpgradeState::Ordered(incarnation) => ("ordered", *incarnation),
                UpgradeState::Upgraded(incarnation) => ("released", *incarnation),
                UpgradeState::RollbackOrdered(incarnation) => ("ordered_back", *incarnation),
                UpgradeState::RolledBack => ("undone", 0),
            };
            (what, member(id), format!("launch {launch}"))
        }
        ControllerAction::WaveStarted(wave) => ("wave", "-", format!("wave {}", wave + 1)),
        ControllerAction::PhaseChanged(phase) => {
            let (what, reason) = phase_names(*phase);
            let which = reason.strip_prefix("not_ready:").and_then(|id| NodeId::from_str_radix(id, 16).ok());
            (what, which.as_ref().map_or("-", member), reason)
        }
        ControllerAction::HandOver(id, incarnation) => {
            ("hand_over", member(id), format!("launch {incarnation}"))
        }
        ControllerAction::Restart(order) => {
            ("order", member(&order.id), format!("launch {}", order.incarnation))
        }
        ControllerAction::RequestPermits(server, _) => ("ask", "-", format!("bank {server}")),
        ControllerAction::ReturnPermit(server, permit) => {
            ("return", member(&permit.id), format!("bank {server}"))
        }
    }
}
