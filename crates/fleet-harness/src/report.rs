//! The report of a run, as JSON and as text.

use crate::goodput::{total, Goodput};
use crate::health::Health;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The report of a run. The encoded names are those of `report.json`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The scenario, the seed, and the number of proxies.
    pub scenario: String,
    /// See `scenario`.
    pub seed: u64,
    /// See `scenario`.
    pub proxies: usize,
    /// Whether the proxies exchanged gossip.
    pub peers: bool,
    /// The number of requests by the outcome that their clients saw.
    pub requests: BTreeMap<String, u64>,
    /// The goodput by class, with the upper bound of a router with perfect knowledge.
    #[serde(default, rename = "worth")]
    pub goodput: BTreeMap<String, Goodput>,
    /// Requests that the proxies left unserved, by class, group and reason, and by second of the load.
    #[serde(default, rename = "given_up")]
    pub unserved: BTreeMap<String, u64>,
    /// See `unserved`.
    #[serde(default, rename = "given_up_at")]
    pub unserved_by_second: BTreeMap<u64, u64>,
    /// Requests without an answer although their proxy was neither killed nor paused: a rule violation.
    pub lost: u64,
    /// The first lost requests: the proxy, the class, when each was due and ended in ms of the load, and the
    /// outcome.
    #[serde(rename = "lost_named")]
    pub lost_examples: Vec<String>,
    /// Requests without an answer while their proxy was killed or paused. They are attributed to the
    /// platform's front end, and are no rule violation.
    #[serde(rename = "unanswered_at_a_dead_proxy")]
    pub unanswered_at_unavailable_proxy: u64,
    /// Reads that members served from data older than their class allows.
    #[serde(rename = "stale")]
    pub stale_reads: u64,
    /// Writes that members executed twice.
    #[serde(rename = "twice")]
    pub duplicate_writes: u64,
    /// Members that collapsed under more than three times their capacity while cold.
    #[serde(rename = "fallen")]
    pub collapsed_members: u64,
    /// Failed writes that their clients retried at another proxy, by the outcome of the retry.
    #[serde(rename = "again")]
    pub write_retries: BTreeMap<String, u64>,
    /// Proxies whose replicated state still differed after the load, and the time until all were equal.
    pub diverged: u64,
    /// See `diverged`.
    pub converged_ms: u64,
    /// Bytes of replicated state that a proxy sent per second, the greatest number of entries at a proxy, the
    /// exchanges that all proxies began, and their messages that found a difference.
    #[serde(rename = "replica_bytes_a_second")]
    pub replica_bytes_per_second: f64,
    /// See `replica_bytes_per_second`.
    pub replica_entries: u64,
    /// See `replica_bytes_per_second`.
    pub exchanges: u64,
    /// See `replica_bytes_per_second`.
    pub exchanges_differed: u64,
    /// The greatest delay of the harness's own timers. If it is large, the machine delayed the proxies as
    /// well.
    #[serde(rename = "late_ms")]
    pub harness_delay_ms: u64,
    /// Whether the run was repeated because the machine was overloaded the first time.
    #[serde(default, rename = "again_starved")]
    pub was_repeated: bool,
    /// All rule violations: lost requests, stale reads, duplicate writes, collapsed members, crashed and
    /// diverged proxies, and wrong verdicts on members.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Proxies that exited on their own.
    pub crashed: u64,
    /// For each zone fault, the fraction of live proxies that had evacuated the zone 1, 2 and 5 s after the
    /// fault began, and that had returned to it 1, 2 and 5 s after the fault ended.
    #[serde(rename = "left_after")]
    pub evacuated_after: Vec<[f64; 3]>,
    /// See `evacuated_after`.
    #[serde(rename = "back_after")]
    pub returned_after: Vec<[f64; 3]>,
    /// Proxies that had a zone evacuated when the load ended.
    #[serde(rename = "left_at_end")]
    pub evacuated_at_end: usize,
    /// The fraction of reads sent to a replica in another zone while no zone fault was active. Reads at a
    /// primary are not counted, as it serves whatever zone it is in.
    #[serde(rename = "far_reads")]
    pub cross_zone_read_fraction: f64,
    /// The peak load of all proxies on a member of a lost zone over 1.5 s, as a fraction of the load under
    /// which the member collapses.
    #[serde(rename = "cold_peak")]
    pub peak_cold_load: f64,
    /// The results of outlier detection, if a member was slow.
    #[serde(default)]
    pub health: Health,
    /// The mean rates of bytes and datagrams that a proxy sent to its peers.
    #[serde(rename = "udp_bytes_a_second")]
    pub udp_bytes_per_second: f64,
    /// See `udp_bytes_per_second`.
    #[serde(rename = "udp_datagrams_a_second")]
    pub udp_datagrams_per_second: f64,
}

impl Report {
    /// Formats the report as text.
    pub fn render(&self) -> String {
        let mut out = format!(
            "{} seed {} at {} proxies, {}\n",
            self.scenario,
            self.seed,
            self.proxies,
            if self.peers { "with gossip" } else { "without gossip" }
        );
        let requests: Vec<String> = self.requests.iter().map(|(k, v)| format!("{k} {v}")).collect();
        out.push_str(&format!("requests: {}\n", requests.join(", ")));
        out.push_str(&format!(
            "rule violations {}: lost requests {}, stale reads {}, duplicate writes {}, collapsed members {}, crashed proxies {}, diverged proxies {}\n",
            self.violations, self.lost, self.stale_reads, self.duplicate_writes, self.collapsed_members, self.crashed, self.diverged
        ));
        out.push_str(&total(&self.goodput).render("all"));
        self.goodput.iter().for_each(|(class, goodput)| out.push_str(&goodput.render(class)));
        self.unserved.iter().for_each(|(what, count)| out.push_str(&format!("unserved: {count} {what}\n")));
        let seconds: Vec<String> = self.unserved_by_second.iter().map(|(s, n)| format!("{s}:{n}")).collect();
        out.push_str(&format!("unserved by second: {}\n", seconds.join(" ")));
        self.lost_examples.iter().for_each(|lost| out.push_str(&format!("lost request: {lost}\n")));
        out.push_str(&format!(
            "unanswered at a killed or paused proxy: {}\n",
            self.unanswered_at_unavailable_proxy
        ));
        for (left, back) in self.evacuated_after.iter().zip(&self.returned_after) {
            out.push_str(&format!(
                "proxies that evacuated the zone 1, 2, 5 s after its loss: {:.2} {:.2} {:.2}; that returned 1, 2, 5 s after its end: {:.2} {:.2} {:.2}\n",
                left[0], left[1], left[2], back[0], back[1], back[2]
            ));
        }
        out.push_str(&format!(
            "reads to another zone's replica without a zone fault: {:.4}; peak load on a returning member: {:.2} of its collapse load\n",
            self.cross_zone_read_fraction, self.peak_cold_load
        ));
        let again: Vec<String> = self.write_retries.iter().map(|(k, v)| format!("{k} {v}")).collect();
        out.push_str(&format!(
            "failed writes retried at another proxy: {}\n",
            if again.is_empty() { "none".to_string() } else { again.join(", ") }
        ));
        out.push_str(&format!(
            "replicated state: equal {} ms after the load, {} entries, {:.0} bytes/s per proxy, {} exchanges, {} messages with a difference\n",
            self.converged_ms, self.replica_entries, self.replica_bytes_per_second, self.exchanges, self.exchanges_differed
        ));
        out.push_str(&self.health.render());
        out.push_str(&format!("greatest delay of the harness: {} ms\n", self.harness_delay_ms));
        out.push_str(&format!(
            "between proxies: {:.0} bytes/s and {:.1} datagrams/s per proxy\n",
            self.udp_bytes_per_second, self.udp_datagrams_per_second
        ));
        out
    }
}
