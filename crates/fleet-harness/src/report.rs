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
    #[serde(default)]
    pub given_up: BTreeMap<String, u64>,
    /// See `given_up`.
    #[serde(default)]
    pub given_up_at: BTreeMap<u64, u64>,
    /// Requests without an answer although their proxy was neither killed nor paused: a rule violation.
    pub lost: u64,
    /// The first lost requests: the proxy, the class, when each was due and ended in ms of the load, and the
    /// outcome.
    pub lost_named: Vec<String>,
    /// Requests without an answer while their proxy was killed or paused. They are attributed to the
    /// platform's front end, and are no rule violation.
    pub unanswered_at_a_dead_proxy: u64,
    /// Reads that members served from data older than their class allows.
    pub stale: u64,
    /// Writes that members executed twice.
    pub twice: u64,
    /// Members that collapsed under more than three times their capacity while cold.
    pub fallen: u64,
    /// Failed writes that their clients retried at another proxy, by the outcome of the retry.
    pub again: BTreeMap<String, u64>,
    /// Proxies whose replicated state still differed after the load, and the time until all were equal.
    pub diverged: u64,
    /// See `diverged`.
    pub converged_ms: u64,
    /// Bytes of replicated state that a proxy sent per second, the greatest number of entries at a proxy, the
    /// exchanges that all proxies began, and their messages that found a difference.
    pub replica_bytes_a_second: f64,
    /// See `replica_bytes_a_second`.
    pub replica_entries: u64,
    /// See `replica_bytes_a_second`.
    pub exchanges: u64,
    /// See `replica_bytes_a_second`.
    pub exchanges_differed: u64,
    /// The greatest delay of the harness's own timers. If it is large, the machine delayed the proxies as
    /// well.
    pub late_ms: u64,
    /// Whether the run was repeated because the machine was overloaded the first time.
    #[serde(default)]
    pub again_starved: bool,
    /// All rule violations: lost requests, stale reads, duplicate writes, collapsed members, crashed and
    /// diverged proxies, and wrong verdicts on members.
    pub broken: u64,
    /// Proxies that exited on their own.
    pub crashed: u64,
    /// For each zone fault, the fraction of live proxies that had evacuated the zone 1, 2 and 5 s after the
    /// fault began, and that had returned to it 1, 2 and 5 s after the fault ended.
    pub left_after: Vec<[f64; 3]>,
    /// See `left_after`.
    pub back_after: Vec<[f64; 3]>,
    /// Proxies that had a zone evacuated when the load ended.
    pub left_at_end: usize,
    /// The fraction of reads sent to a replica in another zone while no zone fault was active. Reads at a
    /// primary are not counted, as it serves whatever zone it is in.
    pub far_reads: f64,
    /// The peak load of all proxies on a member of a lost zone over 1.5 s, as a fraction of the load under
    /// which the member collapses.
    pub cold_peak: f64,
    /// The results of outlier detection, if a member was slow.
    #[serde(default)]
    pub health: Health,
    /// The mean rates of bytes and datagrams that a proxy sent to its peers.
    pub udp_bytes_a_second: f64,
    /// See `udp_bytes_a_second`.
    pub udp_datagrams_a_second: f64,
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
            self.broken, self.lost, self.stale, self.twice, self.fallen, self.crashed, self.diverged
        ));
        out.push_str(&total(&self.goodput).render("all"));
        self.goodput.iter().for_each(|(class, goodput)| out.push_str(&goodput.render(class)));
        self.given_up.iter().for_each(|(what, count)| out.push_str(&format!("unserved: {count} {what}\n")));
        let seconds: Vec<String> = self.given_up_at.iter().map(|(s, n)| format!("{s}:{n}")).collect();
        out.push_str(&format!("unserved by second: {}\n", seconds.join(" ")));
        self.lost_named.iter().for_each(|lost| out.push_str(&format!("lost request: {lost}\n")));
        out.push_str(&format!(
            "unanswered at a killed or paused proxy: {}\n",
            self.unanswered_at_a_dead_proxy
        ));
        for (left, back) in self.left_after.iter().zip(&self.back_after) {
            out.push_str(&format!(
                "proxies that evacuated the zone 1, 2, 5 s after its loss: {:.2} {:.2} {:.2}; that returned 1, 2, 5 s after its end: {:.2} {:.2} {:.2}\n",
                left[0], left[1], left[2], back[0], back[1], back[2]
            ));
        }
        out.push_str(&format!(
            "reads to another zone's replica without a zone fault: {:.4}; peak load on a returning member: {:.2} of its collapse load\n",
            self.far_reads, self.cold_peak
        ));
        let again: Vec<String> = self.again.iter().map(|(k, v)| format!("{k} {v}")).collect();
        out.push_str(&format!(
            "failed writes retried at another proxy: {}\n",
            if again.is_empty() { "none".to_string() } else { again.join(", ") }
        ));
        out.push_str(&format!(
            "replicated state: equal {} ms after the load, {} entries, {:.0} bytes/s per proxy, {} exchanges, {} messages with a difference\n",
            self.converged_ms, self.replica_entries, self.replica_bytes_a_second, self.exchanges, self.exchanges_differed
        ));
        out.push_str(&self.health.render());
        out.push_str(&format!("greatest delay of the harness: {} ms\n", self.late_ms));
        out.push_str(&format!(
            "between proxies: {:.0} bytes/s and {:.1} datagrams/s per proxy\n",
            self.udp_bytes_a_second, self.udp_datagrams_a_second
        ));
        out
    }
}
