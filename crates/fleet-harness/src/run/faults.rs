//! The faults of a run, carried out at their times.

use super::*;
use wharfplank_health::{HealthObservation, MemberSummary};
use wharfplank_shared_state::anti_entropy::Message;
use wharfplank_shared_state::{hash_name, Entry, Frame, Key, Value};

/// How often a liar says it again.
const LIE_EVERY: Duration = Duration::from_millis(250);

impl Rig {
    /// Blocks the datagrams between the proxies of a side and all others. A client reaches the proxies on its side:
    /// across a cut nobody can tell another what may have run.
    fn cut_off(&self, side: &[usize]) {
        let is_on_side = |proxy: &usize| side.contains(proxy);
        let all = 0..self.cluster.len();
        let reached_from =
            |from: usize| all.clone().filter(|to| is_on_side(to) == is_on_side(&from)).collect();
        self.load.again.borrow_mut().1 = all.clone().map(reached_from).collect();
        self.cluster.cut_off(side);
    }

    /// Undoes [`Rig::cut_off`].
    fn reconnect(&self, side: &[usize]) {
        let all: Vec<usize> = (0..self.cluster.len()).collect();
        self.load.again.borrow_mut().1 = vec![all; self.cluster.len()];
        self.cluster.reconnect(side);
    }

    /// Carries out one fault: at its beginning, and at its end.
    pub(super) async fn carry(self: Rc<Self>, fault: Fault, begin: Micros) -> Result<(), String> {
        let until = |ms: u64| async move {
            Timer::after(Duration::from_micros((begin + ms as Micros * 1000 - now()).max(0) as u64)).await
        };
        match fault {
            Fault::Wire { at_ms, until_ms, loss, duplicate, jitter_ms } => {
                until(at_ms).await;
                {
                    let mut wire = self.cluster.mesh.wire.borrow_mut();
                    (wire.loss, wire.duplicate, wire.jitter) = (loss, duplicate, jitter_ms as Micros * 1000);
                }
                until(until_ms).await;
                let mut wire = self.cluster.mesh.wire.borrow_mut();
                (wire.loss, wire.duplicate, wire.jitter) = (0.0, 0.0, 0);
            }
            Fault::Split { at_ms, until_ms, side } => {
                until(at_ms).await;
                self.cut_off(&side);
                until(until_ms).await;
                self.reconnect(&side);
            }
            Fault::Zone { at_s, for_s, .. } => {
                // The stand-ins' script does it; here only the counts of reads are told.
                until(at_s * 1000).await;
                self.links.troubled.set(true);
                until((at_s + for_s) * 1000 + 15_000).await;
                self.links.troubled.set(false);
            }
            Fault::Cut { at_ms, until_ms, zone } => {
                until(at_ms).await;
                let side: Vec<usize> = (0..self.cluster.len()).filter(|n| Plan::zone(*n) == zone).collect();
                *self.links.cut.borrow_mut() = Some(zone);
                self.links.troubled.set(true);
                self.cut_off(&side);
                until(until_ms).await;
                *self.links.cut.borrow_mut() = None;
                self.reconnect(&side);
                until(until_ms + 15_000).await;
                self.links.troubled.set(false);
            }
            Fault::Answers { at_ms, until_ms, part } => {
                until(at_ms).await;
                self.links.unanswered.set(part);
                until(until_ms).await;
                self.links.unanswered.set(0.0);
            }
            Fault::Pause { at_ms, for_ms, proxy } => {
                until(at_ms).await;
                self.cluster.pause(proxy);
                until(at_ms + for_ms).await;
                self.cluster.resume(proxy);
            }
            Fault::Kill { at_ms, back_ms, proxies } => {
                until(at_ms).await;
                proxies.iter().for_each(|n| self.kill(*n));
                until(at_ms + back_ms).await;
                for n in proxies {
                    if self.old_snapshot {
                        self.cluster.plans[n]
                            .age_snapshot(now())
                            .map_err(|e| format!("snapshot of n{n}: {e}"))?;
                    }
                    self.cluster.start(n)?;
                }
            }
            // The stand-ins' script does it.
            Fault::Slow { .. } => {}
            Fault::Lie { at_ms, until_ms, proxy, well, out } => {
                until(at_ms).await;
                while now() < begin + until_ms as Micros * 1000 {
                    self.lie(proxy, &well, &out);
                    Timer::after(LIE_EVERY).await;
                }
            }
            Fault::Replay { at_ms, until_ms, proxy } => {
                until(at_ms).await;
                self.cluster.mesh.wire.borrow_mut().liars.insert(proxy);
                until(until_ms).await;
                self.cluster.mesh.wire.borrow_mut().liars.remove(&proxy);
            }
        }
        Ok(())
    }

    /// Tells all peers of a proxy in its name that one member is well and another out, as of a moment ahead, so that
    /// the proxy's own word does not take its place.
    fn lie(&self, proxy: usize, well: &str, out: &str) {
        let (at, now) = (self.cluster.mesh.inbox[proxy], now());
        let router = u64::from(u32::from(*at.ip())) << 16 | u64::from(at.port());
        let newest_window = MemberSummary::window_at(now) + 4;
        let entry = |member: &str, log_ratio| {
            let observation = HealthObservation {
                incarnation_ms: 0,
                newest_window,
                log_ratio,
                samples: u16::MAX,
                ..HealthObservation::default()
            };
            (Key::Health { member: hash_name(member), router }, Entry::new(Value::Health(observation), now))
        };
        let lies = Message::Delta(vec![entry(well, i16::MIN), entry(out, i16::MAX)]);
        let Ok(bytes) = postcard::to_allocvec(&lies) else { return };
        let others = (0..self.cluster.len()).filter(|other| *other != proxy);
        others.for_each(|other| {
            self.cluster.mesh.pass(proxy, other, Frame { membership: &[], shared_state: &bytes }.encode())
        });
    }
}
