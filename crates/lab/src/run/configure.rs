//! The files that a proxy is started with: its configuration and its settings.

use super::RunSetup;
use crate::member_model::{CLASSES, COLLAPSE_MULTIPLE, COLLAPSE_WINDOW, WARM_UP_FLOOR, WARM_UP_TIME};
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};

/// Writes the configuration (JSON) and the settings (XML) of a proxy.
pub(super) fn write_configuration(
    setup: &RunSetup,
    number: usize,
    discovery: SocketAddr,
    endpoint_list: &serde_json::Value,
    addresses: &[SocketAddr],
) -> std::io::Result<()> {
    let file = |extension: &str| setup.directory.join(format!("n{number}.{extension}"));
    let classes: Vec<_> = CLASSES
        .iter()
        .map(|c| {
            let repeat = if c.name == "write" { "fragile" } else { "retryable" };
            json!({"Name": c.name, "TargetUs": c.latency_objective, "DeadlineUs": c.timeout, "Repeat": repeat, "Worth": 1.0, "LateValue": 0.2})
        })
        .collect();
    let zone = ["a", "b", "c"][number % 3];
    let config = json!({
        "name": format!("n{number}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": format!("{:016x}", 0x51ed + number), "known": endpoint_list,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "Az": zone, "Balancers": addresses.len(),
            "Allowed": {"ConnectTimeoutUs": 250_000, "KeepaliveUs": 15_000_000, "MaxAttempts": 8,
                        "MaxRetryAfterUs": 2_000_000, "MayCancel": true, "MayProbe": true, "RetryAfter": true},
            "Classes": classes, "Report": {"Columns": ["x0", "x1", "inflight", "util"]},
            "Rules": {"StopSendingWithinUs": 1_000_000, "ColdFrom": WARM_UP_FLOOR, "ColdUs": WARM_UP_TIME,
                      "FallMultiple": COLLAPSE_MULTIPLE, "OverloadForUs": COLLAPSE_WINDOW},
            "Specifics": {"Consistency": ["lag_bound", "causal", "eventual", "mutate"], "MaxAgeUs": [200_000, 0, 0, 0],
                          "SessionMarks": "brought", "WhenBehind": "none"}}});
    std::fs::write(file("json"), config.to_string())?;
    let records = setup.directory.join("records");
    let records =
        format!("<records directory=\"{}\" proxy=\"n{number}\" flush-ms=\"200\"/>", records.display());
    let element = setup.gossip_program.as_ref().map_or(records, |_| gossip_settings(addresses, number));
    std::fs::write(file("xml"), format!("<wharfplank>\n  {element}\n</wharfplank>\n"))
}

/// Returns the settings of a proxy that gossips, replicates what it learns, and judges the health of members
/// together with the other proxies. Its seeds are proxies that receive no load.
fn gossip_settings(addresses: &[SocketAddr], number: usize) -> String {
    let seeds: Vec<String> = addresses.iter().skip(3).take(3).map(ToString::to_string).collect();
    format!(
        "<peers listen=\"{}\" seeds=\"{}\" expected=\"{}\"/><replica/><health/>",
        addresses[number],
        seeds.join(" "),
        addresses.len()
    )
}

/// Picks `count` loopback addresses whose UDP ports are free.
pub(super) fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let sockets: std::io::Result<Vec<UdpSocket>> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0")).collect();
    sockets?.iter().map(UdpSocket::local_addr).collect()
}
