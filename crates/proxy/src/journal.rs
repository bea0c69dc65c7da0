//! What the broker decided and saw, turned into records. Without records in the settings it does nothing.

use super::clock::Clock;
use super::config::Config;
use super::error::{Component, StartError};
use super::log;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_records::recorder::Terms;
use wharfplank_records::{record, store::Limits, Outcome, Record, Recorder, Seen};
use wharfplank_rollout::status::name;
use wharfplank_rollout::Said;
use wharfplank_routing::{ClassId, GroupId, HostId, MemberView, Micros, RejectReason};
use wharfplank_settings::Records;

const DAY: Micros = 86_400_000_000;

/// The records of one process.
pub struct Journal {
    recorder: Option<Recorder>,
    aims: Vec<Micros>,
    /// What the list last said of each member.
    listed: HashMap<HostId, (EndpointHealth, i64)>,
}

/// The module's reason as records and the log's counts name it.
pub fn recorded(reason: RejectReason) -> record::Reason {
    match reason {
        RejectReason::TooStale { .. } => record::Reason::TooStale,
        RejectReason::NoPrimary => record::Reason::NoPrimary,
        RejectReason::NoMember => record::Reason::NoMember,
        RejectReason::LoadShed => record::Reason::Shed,
        RejectReason::QueuedTooLong => record::Reason::Held,
        RejectReason::DeadlineExceeded => record::Reason::OutOfTime,
        RejectReason::AttemptsExhausted => record::Reason::Spent,
        RejectReason::MayHaveRun => record::Reason::MayHaveRun,
        RejectReason::ShuttingDown => record::Reason::Closing,
        RejectReason::UnknownClass => record::Reason::Unusable,
        RejectReason::OverQuota => record::Reason::OverBudget,
    }
}

/// What is known of a request when it ends.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Its class.
    pub class: ClassId,
    /// Its group.
    pub group: GroupId,
    /// The member that served it.
    pub member: Option<HostId>,
    /// Attempts that were sent.
    pub attempts: u32,
    /// Time since its last byte.
    pub took: Micros,
}

impl Journal {
    /// Starts the recorder that the settings ask for.
    pub fn start(settings: Option<&Records>, config: &Config, clock: Clock) -> Result<Journal, StartError> {
        let aims = config.settings.classes.iter().map(|c| c.latency_objective).collect();
        let mut journal = Journal { recorder: None, aims, listed: HashMap::new() };
        if let Some(settings) = settings {
            let days = |days: u32| Micros::from(days) * DAY;
            let limits = Limits {
                bytes: settings.max_megabytes << 20,
                blocks: days(settings.keep_days),
                sums: days(settings.keep_sums_days),
            };
            let terms = Terms {
                directory: settings.directory.clone(),
                proxy: settings.proxy.clone(),
                queue: settings.queue,
                flush: Duration::from_millis(settings.flush_ms),
                limits,
            };
            let recorder = Recorder::start(terms, move || clock.now(), log::records);
            journal.recorder = Some(recorder.map_err(StartError::component_start(Component::Records))?);
        }
        journal.note(|| Record::Proxy { zone: config.terms.zone.clone() });
        for (class, (name, aim)) in config.terms.class_names.iter().zip(journal.aims.clone()).enumerate() {
            journal.note(|| Record::Class { class: class as u16, name: name.clone(), aim });
        }
        Ok(journal)
    }

    fn note(&self, record: impl FnOnce() -> Record) {
        if let Some(recorder) = &self.recorder {
            recorder.note(record());
        }
    }

    /// Whether anything is recorded.
    pub fn records(&self) -> bool {
        self.recorder.is_some()
    }

    /// Hands over what was noted; called at a steady pace.
    pub fn hand_over(&self) {
        if let Some(recorder) = &self.recorder {
            recorder.hand_over();
        }
    }

    /// A member was heard of for the first time.
    pub fn named(&self, host: HostId, listed: &EndpointRecord) {
        self.note(|| Record::Name { member: host.0, name: listed.name.clone(), zone: listed.zone.clone() });
    }

    /// The list said something of a member.
    pub fn listed(&mut self, seq: u64, host: HostId, listed: &EndpointRecord) {
        let (health, born) = (listed.health, listed.started_at_ms);
        if self.recorder.is_none() || self.listed.insert(host, (health, born)) == Some((health, born)) {
            return;
        }
        let name = match health {
            EndpointHealth::Active => "active",
            EndpointHealth::Draining => "leaving",
            EndpointHealth::Removed => "left",
        };
        self.note(|| Record::Listed { seq, member: host.0, health: name.to_string(), born: born * 1000 });
        if health == EndpointHealth::Removed {
            self.listed.remove(&host);
        }
    }

    /// The age of the list changed, or an answer of discovery is in doubt.
    pub fn list(&self, age: Option<&str>, doubt: Option<&str>) {
        self.note(|| Record::List { age: age.map(str::to_string), doubt: doubt.map(str::to_string) });
    }

    /// A request was served.
    pub fn served(&self, ended: Ended) {
        let late = self.aims.get(ended.class.0).is_some_and(|aim| ended.took > *aim);
        self.answer(ended, if late { Outcome::Late } else { Outcome::Served }, None);
    }

    /// A request was refused, or failed.
    pub fn given_up(&self, ended: Ended, refused: bool, reason: RejectReason) {
        let stale = match reason {
            RejectReason::TooStale { needed, known } => Some((needed, known)),
            _ => None,
        };
        let reason = recorded(reason);
        self.answer(ended, if refused { Outcome::Refused(reason) } else { Outcome::Failed(reason) }, stale);
    }

    fn answer(&self, ended: Ended, outcome: Outcome, stale: Option<(Micros, Micros)>) {
        let Ended { class, group, member, attempts, took } = ended;
        self.note(|| Record::Answer {
            class: class.0 as u16,
            group: group.0,
            member: member.map(|host| host.0),
            attempts: attempts.min(u32::from(u16::MAX)) as u16,
            took,
            outcome,
            stale,
        });
    }

    /// A member's state.
    pub fn seen(&self, view: &MemberView) {
        self.note(|| {
            Record::Seen(Seen {
                member: view.host.0,
                group: view.group.0,
                primary: view.primary,
                active: view.active,
                position: view.position,
                heard: view.position_seen_at,
                suspected: view.suspected_since,
                in_flight: view.in_flight as u32,
                slowness: (view.traits.relative_latency * 100.0).clamp(0.0, 1e6) as u32,
            })
        });
    }

    /// A probe came back.
    pub fn probed(&self, host: HostId, ok: bool) {
        self.note(|| Record::Probe { member: host.0, ok });
    }

    /// The configuration was read anew.
    pub fn reloaded(&self, ok: bool) {
        self.note(|| Record::Reload { ok });
    }

    /// Something was done in a release that this proxy drives.
    pub fn released(&self, said: &Said, names: &BTreeMap<u64, String>) {
        let Said::Did(plan, action) = said else { return };
        self.note(|| {
            let (what, member, detail) = log::words(names, action);
            let (release, what, member) = (name(*plan), what.to_string(), member.to_string());
            Record::Release { release, what, member, detail }
        });
    }

    /// The process was asked to end.
    pub fn stopping(&self) {
        self.note(|| Record::Stopping);
    }
}
