//! Operators' admin calls: health and metrics of the process, and cordons on members.

use super::Broker;
use crate::log;
use std::collections::HashMap;
use wharfplank_admin::{Command, CordonError, Exclusion, Gauges};
use wharfplank_protocol::endpoint_list::EndpointList;
use wharfplank_routing::{HostId, MemberView, Micros};

impl Broker {
    /// Executes a call immediately, and returns the text of its answer. The effect is in force before the
    /// answer is written: once a cordon has been confirmed, no first byte of a request is sent to the member.
    pub(super) fn perform_admin_call(&mut self, command: &Command) -> String {
        match command {
            Command::Health => self.health_text().to_string(),
            Command::Counters => {
                self.log_excluded_members();
                format!("{}\neof\n", self.pools.metrics.to_json(self.gauges()))
            }
            Command::Cordon(id) => {
                let is_listed = self.endpoints.records.contains_key(id);
                let result = self.endpoints.cordons.cordon(id, is_listed);
                self.apply_cordon(id, result)
            }
            Command::Uncordon(id) => {
                let is_listed = self.endpoints.records.contains_key(id);
                let result = self.endpoints.cordons.uncordon(id, is_listed, self.clock.now());
                self.apply_cordon(id, result)
            }
        }
    }

    fn health_text(&self) -> &'static str {
        if self.lifecycle.is_shutting_down() {
            "fail leaving\n"
        } else if self.lifecycle.is_ready() {
            "ok ready\n"
        } else {
            "fail starting\n"
        }
    }

    /// Applies the changed cordon of a member to the router and the pools unless the change was rejected;
    /// returns the text of the answer.
    pub(super) fn apply_cordon(&mut self, id: &str, result: Result<(), CordonError>) -> String {
        if let Err(error) = result {
            log::admin_command(id, &error.to_string());
            return format!("fail {error}\n");
        }
        let is_cordoned = self.endpoints.cordons.is_cordoned(id);
        let state = if is_cordoned { "cordoned" } else { "uncordoned" };
        log::admin_command(id, state);
        let record = self.endpoints.records.get(id).map(|record| self.endpoints.cordons.apply(record));
        if let Some(record) = record {
            let version = self.endpoints.version;
            self.apply_list_with_cordons(&EndpointList { version, complete: false, endpoints: vec![record] });
        }
        format!("ok {state}\n")
    }

    fn log_excluded_members(&self) {
        if self.counts.is_enabled() {
            let excluded =
                self.excluded_members_with_reasons().map(|(id, reason)| format!("{id}:{}", reason.as_str()));
            log::excluded_members(&excluded.collect::<Vec<_>>().join(","));
        }
    }

    /// Returns the listed members that receive no requests, with the reason.
    fn excluded_members_with_reasons(&self) -> impl Iterator<Item = (&str, Exclusion)> {
        let now = self.clock.now();
        let suspected_since = |view: MemberView| Some((view.host, view.suspected_since?));
        let suspected: HashMap<HostId, Micros> =
            self.router.member_views().filter_map(suspected_since).collect();
        let endpoints = &self.endpoints;
        endpoints.records.iter().filter_map(move |(id, record)| {
            let since = endpoints.ids.get(id).and_then(|host| suspected.get(host)).copied();
            let is_cordoned = endpoints.cordons.is_cordoned(id);
            let reason = Exclusion::of(record.health, is_cordoned, since, now)?;
            Some((id.as_str(), reason))
        })
    }

    fn gauges(&self) -> Gauges {
        Gauges {
            concurrent: self.requests.len(),
            targets: self.endpoints.records.len(),
            targets_disabled: self.excluded_members_with_reasons().count(),
        }
    }
}
