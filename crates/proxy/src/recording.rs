//! Converts the broker's decisions and observations to records. Does nothing if the settings enable no
//! records.

use crate::clock::Clock;
use crate::config::Config;
use crate::error::{Component, StartError};
use crate::log;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_records::store::StoreLimits;
use wharfplank_records::{FailureReason, MemberState, Outcome, Record, Recorder, RecorderConfig, Staleness};
use wharfplank_rollout::status::rollout_name;
use wharfplank_rollout::ServiceEvent;
use wharfplank_routing::{ClassId, GroupId, HostId, MemberView, Micros, RejectReason};
use wharfplank_settings::RecordSettings;

const MICROS_PER_DAY: Micros = 86_400_000_000;
/// The factor that converts relative latency to the recorded percentage.
const RELATIVE_LATENCY_SCALE: f64 = 100.0;
const MAX_RELATIVE_LATENCY_PERCENT: f64 = 1e6;

/// Records the decisions and observations of one process.
pub struct DecisionRecorder {
    recorder: Option<Recorder>,
    /// The latency objective of each class.
    latency_objectives: Vec<Micros>,
    /// The last recorded health and start time of each listed member.
    recorded_endpoints: HashMap<HostId, (EndpointHealth, i64)>,
}

/// The data of a request that has been answered.
#[derive(Clone, Copy, Debug)]
pub struct RequestSummary {
    /// Its class.
    pub class: ClassId,
    /// Its group.
    pub group: GroupId,
    /// The member that served it, if any.
    pub member: Option<HostId>,
    /// The number of its attempts.
    pub attempts: u32,
    /// The time since its last byte arrived.
    pub took: Micros,
}

/// Converts a reason of the routing policy to the one that records and the log's counters use.
pub fn record_reason(reason: RejectReason) -> FailureReason {
    match reason {
        RejectReason::TooStale { .. } => FailureReason::TooStale,
        RejectReason::NoPrimary => FailureReason::NoPrimary,
        RejectReason::NoMember => FailureReason::NoMember,
        RejectReason::LoadShed => FailureReason::LoadShed,
        RejectReason::QueuedTooLong => FailureReason::QueuedTooLong,
        RejectReason::DeadlineExceeded => FailureReason::DeadlineExceeded,
        RejectReason::AttemptsExhausted => FailureReason::AttemptsExhausted,
        RejectReason::MayHaveRun => FailureReason::MayHaveRun,
        RejectReason::ClaimUnavailable => FailureReason::ClaimUnavailable,
        RejectReason::ShuttingDown => FailureReason::ShuttingDown,
        RejectReason::UnknownClass => FailureReason::UnknownClass,
        RejectReason::OverQuota => FailureReason::OverQuota,
    }
}

impl DecisionRecorder {
    /// Starts the recorder if the settings enable it, and records the zone and the classes of this process.
    pub fn start(
        settings: Option<&RecordSettings>,
        config: &Config,
        clock: Clock,
    ) -> Result<Self, StartError> {
        let latency_objectives: Vec<Micros> =
            config.settings.classes.iter().map(|class| class.latency_objective).collect();
        let recorder = settings.map(|settings| start_recorder(settings, clock)).transpose()?;
        let decisions = DecisionRecorder { recorder, latency_objectives, recorded_endpoints: HashMap::new() };
        decisions.record(|| Record::Proxy { zone: config.parameters.zone.clone() });
        let classes = config.parameters.class_names.iter().zip(&decisions.latency_objectives);
        for (class, (name, objective)) in classes.enumerate() {
            decisions.record(|| Record::Class {
                class: class as u16,
                name: name.clone(),
                latency_objective: *objective,
            });
        }
        Ok(decisions)
    }

    fn record(&self, record: impl FnOnce() -> Record) {
        if let Some(recorder) = &self.recorder {
            recorder.record(record());
        }
    }

    /// Returns whether recording is enabled.
    pub fn is_enabled(&self) -> bool {
        self.recorder.is_some()
    }

    /// Passes the records since the last call to the writer; called at regular intervals.
    pub fn flush(&self) {
        if let Some(recorder) = &self.recorder {
            recorder.submit();
        }
    }

    /// Records the name and zone of a newly listed member, to which its id in later records refers.
    pub fn record_member_name(&self, member: HostId, endpoint: &EndpointRecord) {
        self.record(|| Record::Member {
            member: member.0,
            name: endpoint.name.clone(),
            zone: endpoint.zone.clone(),
        });
    }

    /// Records a member of the endpoint list of this version if its health or start time has changed.
    pub fn record_endpoint(&mut self, version: u64, member: HostId, endpoint: &EndpointRecord) {
        if !self.is_enabled() {
            return;
        }
        let state = (endpoint.health, endpoint.started_at_ms);
        if self.recorded_endpoints.insert(member, state) == Some(state) {
            return;
        }
        self.record(|| Record::EndpointListed {
            version,
            member: member.0,
            health: recorded_health(endpoint.health).to_string(),
            started_at: endpoint.started_at_ms * 1000,
        });
        if endpoint.health == EndpointHealth::Removed {
            self.recorded_endpoints.remove(&member);
        }
    }

    /// Records a change of the endpoint list's staleness, or a suspect response of discovery.
    pub fn record_list_state(&self, staleness: Option<&str>, suspect: Option<&str>) {
        self.record(|| Record::EndpointListState {
            staleness: staleness.map(str::to_string),
            suspect: suspect.map(str::to_string),
        });
    }

    /// Records a request that was served.
    pub fn record_served(&self, request: RequestSummary) {
        let objective = self.latency_objectives.get(request.class.0);
        let is_late = objective.is_some_and(|objective| request.took > *objective);
        let outcome = if is_late { Outcome::Late } else { Outcome::Served };
        self.record_answer(request, outcome, None);
    }

    /// Records a request that was rejected.
    pub fn record_rejected(&self, request: RequestSummary, reason: RejectReason) {
        self.record_answer(request, Outcome::Rejected(record_reason(reason)), staleness_gap(reason));
    }

    /// Records a request that has failed.
    pub fn record_failed(&self, request: RequestSummary, reason: RejectReason) {
        self.record_answer(request, Outcome::Failed(record_reason(reason)), staleness_gap(reason));
    }

    fn record_answer(&self, request: RequestSummary, outcome: Outcome, staleness: Option<Staleness>) {
        self.record(|| Record::Answer {
            class: request.class.0 as u16,
            group: request.group.0,
            member: request.member.map(|member| member.0),
            attempts: request.attempts.min(u32::from(u16::MAX)) as u16,
            took: request.took,
            outcome,
            staleness,
        });
    }

    /// Records the router's view of a member.
    pub fn record_member_state(&self, view: &MemberView) {
        self.record(|| {
            Record::MemberState(MemberState {
                member: view.host.0,
                group: view.group.0,
                primary: view.primary,
                active: view.active,
                position: view.position,
                position_seen_at: view.position_seen_at,
                suspected_since: view.suspected_since,
                in_flight: view.in_flight as u32,
                relative_latency_percent: (view.traits.relative_latency * RELATIVE_LATENCY_SCALE)
                    .clamp(0.0, MAX_RELATIVE_LATENCY_PERCENT)
                    as u32,
            })
        });
    }

    /// Records the result of a member's health check.
    pub fn record_health_check(&self, member: HostId, answered: bool) {
        self.record(|| Record::HealthCheck { member: member.0, answered });
    }

    /// Records a reload of the configuration and whether it was applied.
    pub fn record_reload(&self, is_applied: bool) {
        self.record(|| Record::Reload { applied: is_applied });
    }

    /// Records an action in a rollout that this proxy leads.
    pub fn record_rollout_action(&self, event: &ServiceEvent, names: &BTreeMap<u64, String>) {
        let ServiceEvent::Action(rollout, action) = event else { return };
        self.record(|| {
            let (what, member, detail) = log::describe_action(names, action);
            Record::Rollout {
                rollout: rollout_name(*rollout),
                action: what.to_string(),
                member: member.to_string(),
                detail,
            }
        });
    }

    /// Records that a shutdown was requested.
    pub fn record_shutdown(&self) {
        self.record(|| Record::ShuttingDown);
    }
}

fn start_recorder(settings: &RecordSettings, clock: Clock) -> Result<Recorder, StartError> {
    let days = |days: u32| Micros::from(days) * MICROS_PER_DAY;
    let recorder_config = RecorderConfig {
        directory: settings.directory.clone(),
        proxy: settings.proxy.clone(),
        queue_capacity: settings.queue_capacity,
        flush_interval: Duration::from_millis(settings.flush_ms),
        limits: StoreLimits {
            max_bytes: settings.max_megabytes << 20,
            block_retention: days(settings.keep_days),
            summary_retention: days(settings.keep_sums_days),
        },
    };
    Recorder::start(recorder_config, move || clock.now(), log::recorder_fault)
        .map_err(StartError::component_start(Component::Records))
}

/// Returns the name of a health state in records.
fn recorded_health(health: EndpointHealth) -> &'static str {
    match health {
        EndpointHealth::Active => "active",
        EndpointHealth::Draining => "leaving",
        EndpointHealth::Removed => "left",
    }
}

/// Returns the needed and the known log position if a request failed because of staleness.
fn staleness_gap(reason: RejectReason) -> Option<Staleness> {
    match reason {
        RejectReason::TooStale { needed, known } => Some(Staleness { needed, known }),
        _ => None,
    }
}
