//! Counters since the start of this process, and the JSON format in which operators read them.

use prometheus_client::metrics::counter::Counter;
use serde::Serialize;
use std::collections::BTreeMap;

/// The result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// A member's answer was returned.
    Success,
    /// The request was rejected to shed load.
    Overload,
    /// The request failed.
    Error,
}

/// The result of a configuration reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadResult {
    /// The new configuration is in use.
    Applied,
    /// The new configuration is invalid; the old one stays in use.
    Failed,
}

/// The replies to requests of one class.
#[derive(Clone, Debug, Default)]
struct ReplyCounters {
    success: Counter,
    overload: Counter,
    error: Counter,
}

/// Current values at the time of reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests that were accepted and not yet answered.
    pub concurrent: usize,
    /// Members in the endpoint list.
    pub targets: usize,
    /// Listed members that receive no new requests; see [`crate::Exclusion`].
    pub targets_disabled: usize,
}

/// The counters of this process. Clones share their counts.
#[derive(Clone, Debug)]
pub struct Metrics {
    replies: Vec<(String, ReplyCounters)>,
    dispatches: Counter,
    reload_success: Counter,
    reload_failure: Counter,
}

impl Metrics {
    /// Creates counters at 0. Classes are addressed by their index in `classes`.
    pub fn new(classes: &[String]) -> Self {
        Metrics {
            replies: classes.iter().map(|name| (name.clone(), ReplyCounters::default())).collect(),
            dispatches: Counter::default(),
            reload_success: Counter::default(),
            reload_failure: Counter::default(),
        }
    }

    /// Counts the final answer to a request of the class with this index.
    pub fn record_reply(&self, class_index: usize, status: ReplyStatus) {
        let Some((_, replies)) = self.replies.get(class_index) else { return };
        let counter = match status {
            ReplyStatus::Success => &replies.success,
            ReplyStatus::Overload => &replies.overload,
            ReplyStatus::Error => &replies.error,
        };
        counter.inc();
    }

    /// Counts an attempt whose request was written completely to a member.
    pub fn record_dispatch(&self) {
        self.dispatches.inc();
    }

    /// Counts a configuration reload.
    pub fn record_reload(&self, result: ReloadResult) {
        let counter = match result {
            ReloadResult::Applied => &self.reload_success,
            ReloadResult::Failed => &self.reload_failure,
        };
        counter.inc();
    }

    /// Returns the metrics as one line of JSON.
    pub fn to_json(&self, gauges: Gauges) -> String {
        let replies = self.replies.iter().map(|(name, counters)| {
            let reply = SerializedReplies {
                success: counters.success.get(),
                overload: counters.overload.get(),
                error: counters.error.get(),
            };
            (name.as_str(), reply)
        });
        let metrics = SerializedMetrics {
            replies: replies.collect(),
            dispatches: self.dispatches.get(),
            concurrent: gauges.concurrent,
            targets: gauges.targets,
            targets_disabled: gauges.targets_disabled,
            reload_success: self.reload_success.get(),
            reload_failure: self.reload_failure.get(),
        };
        serde_json::to_string(&metrics).unwrap_or_default()
    }
}

#[derive(Serialize)]
struct SerializedReplies {
    success: u64,
    overload: u64,
    error: u64,
}

#[derive(Serialize)]
struct SerializedMetrics<'a> {
    replies: BTreeMap<&'a str, SerializedReplies>,
    dispatches: u64,
    concurrent: usize,
    targets: usize,
    targets_disabled: usize,
    reload_success: u64,
    reload_failure: u64,
}
