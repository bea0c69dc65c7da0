//! Logs members in slow start: its start, its progress, and the requests that this proxy has sent at its end.

use super::Broker;
use crate::log::{self, SlowStartStage};
use std::collections::BTreeMap;
use wharfplank_routing::{HostId, SlowStartView};

/// The members in slow start as last logged; bounded by the number of members.
#[derive(Default)]
pub(super) struct SlowStartLog(BTreeMap<HostId, SlowStartView>);

impl Broker {
    /// Logs the members in slow start, and those that have left it since the last call.
    pub(super) fn log_slow_start(&mut self) {
        let present: BTreeMap<HostId, SlowStartView> =
            self.router.slow_start_views().map(|view| (view.host, view)).collect();
        let previous = std::mem::take(&mut self.slow_start_log.0);
        if present.is_empty() && previous.is_empty() {
            return;
        }
        let names = self.endpoints.names_by_id();
        let log = |stage, view: &SlowStartView| {
            log::slow_start(stage, names.get(&view.host).copied().unwrap_or("-"), view);
        };
        for view in present.values() {
            // A slow start that is younger than the last logged one is a new one.
            let is_known = previous.get(&view.host).is_some_and(|before| before.age <= view.age);
            log(if is_known { SlowStartStage::Continued } else { SlowStartStage::Began }, view);
        }
        for (host, view) in &previous {
            if !present.contains_key(host) {
                log(SlowStartStage::Ended, view);
            }
        }
        self.slow_start_log.0 = present;
    }
}
