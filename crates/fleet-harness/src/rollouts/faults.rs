//! Starts the rollouts of a run, and injects its fault.

use super::case::{Case, NEW_VERSION, OLD_VERSION, OTHER_VERSION};
use super::events::StopCause;
use super::harness::Harness;
use super::settings::signal_file;
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// The longest time between the starts of two rollouts, in milliseconds.
const MAX_START_GAP_MS: u64 = 400;
/// The number of members that are restarting when a member crashes.
const RESTARTING_AT_CRASH: usize = 2;
const TRIGGER_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The leader, which is the proxy with the lowest rank.
const LEADER: usize = 0;
/// A permit server that is not the leader.
const OTHER_PERMIT_SERVER: usize = 1;

/// The network conditions in [`Case::Lossy`].
const LOSS: f64 = 0.2;
const DUPLICATES: f64 = 0.2;
const JITTER_MICROS: i64 = 300_000;

impl Harness {
    /// Starts the rollouts, or the restarts of all members in [`Case::WithoutRollout`].
    pub(super) async fn start_rollouts(&self) -> Result<(), String> {
        match self.scenario.case {
            Case::WithoutRollout => {
                for member in 0..self.agents.addresses.len() {
                    self.agents.stop_and_restart(member, NEW_VERSION, StopCause::Ordered);
                }
                return Ok(());
            }
            Case::Lossy => self.make_lossy(),
            _ => {}
        }
        self.start_rollout(0, NEW_VERSION)?;
        if self.scenario.case == Case::TwoAtOnce {
            Timer::after(Duration::from_millis(self.scenario.seed % MAX_START_GAP_MS)).await;
            self.start_rollout(1, OTHER_VERSION)?;
        }
        Ok(())
    }

    /// Writes the command to start a rollout to a proxy's signal file.
    fn start_rollout(&self, proxy: usize, target: u64) -> Result<(), String> {
        let path = signal_file(&self.paths.directory, proxy);
        let command = format!("start {target} {OLD_VERSION}\n");
        std::fs::write(&path, command).map_err(|e| format!("{}: {e}", path.display()))
    }

    fn make_lossy(&self) {
        let mut conditions = self.cluster.mesh.conditions.borrow_mut();
        conditions.loss = LOSS;
        conditions.duplicate = DUPLICATES;
        conditions.jitter = JITTER_MICROS;
    }

    /// Injects the fault once its trigger is met, and ends it after its duration.
    pub(super) async fn inject_fault(self: Rc<Self>) -> Result<(), String> {
        while !self.is_fault_due() {
            Timer::after(TRIGGER_POLL_INTERVAL).await;
        }
        if self.scenario.case != Case::MemberCrashes {
            Timer::after(Duration::from_millis(self.scenario.fault_trigger.delay_ms)).await;
        }
        self.had_fault.set(true);
        match self.scenario.case {
            Case::LeaderKilled => self.kill_for_a_while(LEADER).await?,
            Case::PermitServerKilled => self.kill_for_a_while(OTHER_PERMIT_SERVER).await?,
            Case::LeaderPaused => {
                self.cluster.pause(LEADER);
                self.fault_duration().await;
                self.cluster.resume(LEADER);
            }
            Case::Partition => self.partition_for_a_while().await,
            Case::MemberCrashes => self.crash_member(),
            Case::Drained => {
                self.agents.start_drain(self.scenario.faulty_member);
                self.fault_duration().await;
                self.agents.end_drain(self.scenario.faulty_member);
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns whether the fault is due. That depends on member events and not on time, so that the fault
    /// occurs during the rollout.
    fn is_fault_due(&self) -> bool {
        let restarting = self.agents.states.borrow().iter().filter(|state| state.is_restarting).count();
        let needs_outages = self.scenario.case == Case::MemberCrashes;
        self.followed_orders() >= self.scenario.fault_trigger.followed_orders
            && (!needs_outages || restarting >= RESTARTING_AT_CRASH)
    }

    fn fault_duration(&self) -> Timer {
        Timer::after(Duration::from_millis(self.scenario.fault_duration_ms))
    }

    async fn kill_for_a_while(&self, proxy: usize) -> Result<(), String> {
        self.kill(proxy);
        self.fault_duration().await;
        self.cluster.start(proxy)
    }

    /// Partitions a third of the proxies, with the leader among them, from the others.
    async fn partition_for_a_while(&self) {
        let minority: Vec<usize> = (0..self.scenario.proxies.div_ceil(3)).collect();
        self.cluster.cut_off(&minority);
        self.fault_duration().await;
        self.cluster.reconnect(&minority);
    }

    /// Crashes the scenario's faulty member, or the next one that serves.
    fn crash_member(&self) {
        let states = self.agents.states.borrow().clone();
        let faulty = self.scenario.faulty_member;
        let mut candidates = (0..states.len()).map(|offset| (faulty + offset) % states.len());
        let member = candidates.find(|member| states[*member].ready).unwrap_or(faulty);
        self.agents.stop_and_restart(member, states[member].version, StopCause::Crashed);
    }
}
