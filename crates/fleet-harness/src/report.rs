//! What a run showed, for programs and for people.

use crate::goodput::{total, Goodput};
use crate::health::Health;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a run showed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The scenario, the seed and the size.
    pub scenario: String,
    /// See `scenario`.
    pub seed: u64,
    /// See `scenario`.
    pub proxies: usize,
    /// Whether the proxies talked.
    pub peers: bool,
    /// Requests by what their clients saw.
    pub requests: BTreeMap<String, u64>,
    /// What they were worth, by class, and what a router could have served that knows the truth.
    #[serde(default, rename = "worth")]
    pub goodput: BTreeMap<String, Goodput>,
    /// Requests given up by all proxies, by class, group and reason; and by the second of the load.
    #[serde(default)]
    pub given_up: BTreeMap<String, u64>,
    /// See `given_up`.
    #[serde(default)]
    pub given_up_at: BTreeMap<u64, u64>,
    /// Requests without an answer whose proxy was neither killed nor paused meanwhile: lost, a broken rule.
    pub lost: u64,
    /// The first of the lost: which proxy and class, when it was due and ended in ms of the load, and what was seen.
    pub lost_named: Vec<String>,
    /// Requests without an answer while their proxy was killed or paused: what the platform's front costs.
    pub unanswered_at_a_dead_proxy: u64,
    /// Reads served from data older than their class allows, at the members.
    pub stale: u64,
    /// Writes that ran twice, at the members.
    pub twice: u64,
    /// Members that fell over under more than three times what they could do while cold.
    pub fallen: u64,
    /// Writes that were answered as failed and sent again by their clients at another proxy, by what came then.
    pub again: BTreeMap<String, u64>,
    /// Proxies that held another replicated state than most long after the load, and the time until none did.
    pub diverged: u64,
    /// See `diverged`.
    pub converged_ms: u64,
    /// Bytes of replicated state that a proxy sent a second; the most entries that one held; exchanges begun by all,
    /// and messages of them that found a difference.
    pub replica_bytes_a_second: f64,
    /// See `replica_bytes_a_second`.
    pub replica_entries: u64,
    /// See `replica_bytes_a_second`.
    pub exchanges: u64,
    /// See `replica_bytes_a_second`.
    pub exchanges_differed: u64,
    /// The most that the rig itself was late: much of it, and the machine had no time for the proxies either.
    pub late_ms: u64,
    /// Whether it was played again since the machine had no time the first time.
    #[serde(default)]
    pub again_starved: bool,
    /// All broken rules: lost, stale, twice, fallen, proxies that crashed, and proxies that diverged.
    pub broken: u64,
    /// Proxies that ended on their own.
    pub crashed: u64,
    /// For each zone fault, the part of the live proxies that had left the zone 1, 2 and 5 s after it began, and
    /// that no longer held it left 1, 2 and 5 s after it ended.
    pub left_after: Vec<[f64; 3]>,
    /// See `left_after`.
    pub back_after: Vec<[f64; 3]>,
    /// Proxies that held a zone left when the load ended.
    pub left_at_end: usize,
    /// The part of reads sent to a replica of another zone while no zone was in trouble (the primary serves where it
    /// stands).
    pub far_reads: f64,
    /// The most that all proxies sent a member of a lost zone over 1.5 s, as a part of what fells it.
    pub cold_peak: f64,
    /// What the fleet held of members, where one was slow.
    #[serde(default)]
    pub health: Health,
    /// Bytes and datagrams that a proxy sent its peers a second, in the mean.
    pub udp_bytes_a_second: f64,
    /// See `udp_bytes_a_second`.
    pub udp_datagrams_a_second: f64,
}

impl Report {
    /// The report for people.
    pub fn render(&self) -> String {
        let mut out = format!(
            "{} seed {} at {} proxies, {}\n",
            self.scenario,
            self.seed,
            self.proxies,
            if self.peers { "talking" } else { "each alone" }
        );
        let requests: Vec<String> = self.requests.iter().map(|(k, v)| format!("{k} {v}")).collect();
        out.push_str(&format!("requests: {}\n", requests.join(", ")));
        out.push_str(&format!(
            "broken rules {}: lost {}, stale reads {}, writes twice {}, cold members fallen {}, crashes {}, diverged {}\n",
            self.broken, self.lost, self.stale, self.twice, self.fallen, self.crashed, self.diverged
        ));
        out.push_str(&total(&self.goodput).render("all"));
        self.goodput.iter().for_each(|(class, goodput)| out.push_str(&goodput.render(class)));
        self.given_up.iter().for_each(|(what, count)| out.push_str(&format!("given up: {count} {what}\n")));
        let seconds: Vec<String> = self.given_up_at.iter().map(|(s, n)| format!("{s}:{n}")).collect();
        out.push_str(&format!("given up by second: {}\n", seconds.join(" ")));
        self.lost_named.iter().for_each(|lost| out.push_str(&format!("lost: {lost}\n")));
        out.push_str(&format!("unanswered at a dead or paused proxy: {}\n", self.unanswered_at_a_dead_proxy));
        for (left, back) in self.left_after.iter().zip(&self.back_after) {
            out.push_str(&format!(
                "left the zone 1, 2, 5 s after it was lost: {:.2} {:.2} {:.2}; no longer 1, 2, 5 s after its return: {:.2} {:.2} {:.2}\n",
                left[0], left[1], left[2], back[0], back[1], back[2]
            ));
        }
        out.push_str(&format!(
            "reads to a far replica while no zone was in trouble: {:.4}; peak on a returning member: {:.2} of what fells it\n",
            self.far_reads, self.cold_peak
        ));
        let again: Vec<String> = self.again.iter().map(|(k, v)| format!("{k} {v}")).collect();
        out.push_str(&format!(
            "failed writes sent again elsewhere: {}\n",
            if again.is_empty() { "none".to_string() } else { again.join(", ") }
        ));
        out.push_str(&format!(
            "replicated state: equal {} ms after the load, {} entries, {:.0} bytes a proxy a second, {} exchanges, {} messages of them found a difference\n",
            self.converged_ms, self.replica_entries, self.replica_bytes_a_second, self.exchanges, self.exchanges_differed
        ));
        out.push_str(&self.health.render());
        out.push_str(&format!("the rig itself was {} ms late at most\n", self.late_ms));
        out.push_str(&format!(
            "between proxies: {:.0} bytes and {:.1} datagrams a proxy a second\n",
            self.udp_bytes_a_second, self.udp_datagrams_a_second
        ));
        out
    }
}
