//! The faults of a run, carried out at their times.

use super::case::{Case, NEW, OLD, OTHER};
use super::events::StopCause;
use super::run::Rig;
use super::settings::signal;
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How far apart two releases are started at most.
const APART_MS: u64 = 400;
/// A member falls while so many others are out.
const OUT: usize = 2;

impl Rig {
    fn say(&self, proxy: usize, word: &str) -> Result<(), String> {
        let path = signal(&self.place.directory, proxy);
        std::fs::write(&path, word).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Starts what is to be played.
    pub(super) async fn begin(self: &Rc<Self>) -> Result<(), String> {
        let start = |target: u64| format!("start {target} {OLD}\n");
        if self.played.case == Case::ByThemselves {
            (0..self.agents.addresses.len()).for_each(|m| self.agents.leave(m, NEW, StopCause::Ordered));
            return Ok(());
        }
        if self.played.case == Case::Lossy {
            let mut wire = self.cluster.mesh.wire.borrow_mut();
            (wire.loss, wire.duplicate, wire.jitter) = (0.2, 0.2, 300_000);
        }
        self.say(0, &start(NEW))?;
        if self.played.case == Case::TwoAtOnce {
            Timer::after(Duration::from_millis(self.played.seed % APART_MS)).await;
            self.say(1, &start(OTHER))?;
        }
        Ok(())
    }

    /// Whether the fault may begin: that is told by what members did and not by a clock, so that it is in mid-release.
    fn amid(&self) -> bool {
        let away = self.agents.states.borrow().iter().filter(|state| state.moving).count();
        let falls = self.played.case == Case::MemberFalls;
        self.followed() >= self.played.after.0 && (!falls || away >= OUT)
    }

    /// Carries the fault out once it is in mid-wave.
    pub(super) async fn fault(self: Rc<Self>) -> Result<(), String> {
        let (lasts, case) = (self.played.lasts_ms, self.played.case);
        while !self.amid() {
            Timer::after(Duration::from_millis(5)).await;
        }
        if case != Case::MemberFalls {
            Timer::after(Duration::from_millis(self.played.after.1)).await;
        }
        self.faulted.set(true);
        let lasts = || Timer::after(Duration::from_millis(lasts));
        match case {
            Case::DriverKilled | Case::BankKilled => {
                // The least rank drives; the next one is a bank too.
                let proxy = usize::from(case == Case::BankKilled);
                self.kill(proxy);
                lasts().await;
                self.cluster.start(proxy)?;
            }
            Case::DriverPaused => {
                self.cluster.pause(0);
                lasts().await;
                self.cluster.resume(0);
            }
            Case::Cut => {
                // The driver is in the third that is cut off.
                let proxies = self.played.proxies;
                let side: Vec<usize> = (0..proxies.div_ceil(3)).collect();
                self.cluster.cut_off(&side);
                lasts().await;
                self.cluster.reconnect(&side);
            }
            Case::MemberFalls => {
                let states = self.agents.states.borrow().clone();
                let from = (0..states.len()).map(|n| (self.played.member + n) % states.len());
                let fit = from.clone().find(|member| states[*member].ready);
                let member = fit.unwrap_or(self.played.member);
                self.agents.leave(member, states[member].version, StopCause::Crashed);
            }
            Case::Drained => {
                self.agents.drain(self.played.member, true);
                lasts().await;
                self.agents.drain(self.played.member, false);
            }
            _ => {}
        }
        Ok(())
    }
}
