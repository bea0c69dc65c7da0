//! Injects the faults of a run at their times.

use super::{now, Duration, Fault, Harness, Micros, ProxyConfig, Rc, Timer};
use wharfplank_health::{HealthObservation, MemberSummary};
use wharfplank_shared_state::anti_entropy::Message;
use wharfplank_shared_state::{hash_name, Entry, Frame, Key, Value};

/// The interval at which false health observations are sent.
const FALSE_HEALTH_INTERVAL: Duration = Duration::from_millis(250);

impl Harness {
    /// Blocks datagrams between the proxies on a side and all others. Clients retry writes only at proxies on
    /// their own side, because proxies across the partition cannot know which writes may have run.
    fn cut_off(&self, side: &[usize]) {
        let is_on_side = |proxy: &usize| side.contains(proxy);
        let all = 0..self.cluster.len();
        let reached_from =
            |from: usize| all.clone().filter(|to| is_on_side(to) == is_on_side(&from)).collect();
        self.load.write_retries.borrow_mut().reachable_proxies = all.clone().map(reached_from).collect();
        self.cluster.cut_off(side);
    }

    /// Reverts [`Harness::cut_off`].
    fn reconnect(&self, side: &[usize]) {
        let all: Vec<usize> = (0..self.cluster.len()).collect();
        self.load.write_retries.borrow_mut().reachable_proxies = vec![all; self.cluster.len()];
        self.cluster.reconnect(side);
    }

    /// Injects a fault at its start, and ends it at its end.
    pub(super) async fn inject(self: Rc<Self>, fault: Fault, load_start: Micros) -> Result<(), String> {
        let sleep_until = |ms: u64| async move {
            Timer::after(Duration::from_micros((load_start + ms as Micros * 1000 - now()).max(0) as u64))
                .await
        };
        match fault {
            Fault::LossyNetwork { at_ms, until_ms, loss, duplicate, jitter_ms } => {
                sleep_until(at_ms).await;
                {
                    let mut conditions = self.cluster.mesh.conditions.borrow_mut();
                    (conditions.loss, conditions.duplicate, conditions.jitter) =
                        (loss, duplicate, jitter_ms as Micros * 1000);
                }
                sleep_until(until_ms).await;
                let mut conditions = self.cluster.mesh.conditions.borrow_mut();
                (conditions.loss, conditions.duplicate, conditions.jitter) = (0.0, 0.0, 0);
            }
            Fault::Partition { at_ms, until_ms, side } => {
                sleep_until(at_ms).await;
                self.cut_off(&side);
                sleep_until(until_ms).await;
                self.reconnect(&side);
            }
            Fault::Zone { at_s, for_s, .. } => {
                // The timeline of the stand-in members carries the fault out. Here it is only marked for the
                // query counts, until 15 s after its end.
                sleep_until(at_s * 1000).await;
                self.links.has_zone_fault.set(true);
                sleep_until((at_s + for_s) * 1000 + 15_000).await;
                self.links.has_zone_fault.set(false);
            }
            Fault::Cut { at_ms, until_ms, zone } => {
                sleep_until(at_ms).await;
                let side: Vec<usize> =
                    (0..self.cluster.len()).filter(|n| ProxyConfig::zone(*n) == zone).collect();
                *self.links.cut_off_zone.borrow_mut() = Some(zone);
                self.links.has_zone_fault.set(true);
                self.cut_off(&side);
                sleep_until(until_ms).await;
                *self.links.cut_off_zone.borrow_mut() = None;
                self.reconnect(&side);
                sleep_until(until_ms + 15_000).await;
                self.links.has_zone_fault.set(false);
            }
            Fault::LostAnswers { at_ms, until_ms, fraction } => {
                sleep_until(at_ms).await;
                self.links.lost_answer_fraction.set(fraction);
                sleep_until(until_ms).await;
                self.links.lost_answer_fraction.set(0.0);
            }
            Fault::Pause { at_ms, for_ms, proxy } => {
                sleep_until(at_ms).await;
                self.cluster.pause(proxy);
                sleep_until(at_ms + for_ms).await;
                self.cluster.resume(proxy);
            }
            Fault::Kill { at_ms, back_ms, proxies } => {
                sleep_until(at_ms).await;
                proxies.iter().for_each(|n| self.kill(*n));
                sleep_until(at_ms + back_ms).await;
                for n in proxies {
                    if self.old_snapshot {
                        self.cluster.configs[n]
                            .write_outdated_snapshot(now())
                            .map_err(|e| format!("snapshot of n{n}: {e}"))?;
                    }
                    self.cluster.start(n)?;
                }
            }
            // The timeline of the stand-in members carries it out.
            Fault::Slow { .. } => {}
            Fault::FalseHealth { at_ms, until_ms, proxy, healthy, failed } => {
                sleep_until(at_ms).await;
                while now() < load_start + until_ms as Micros * 1000 {
                    self.send_false_health(proxy, &healthy, &failed);
                    Timer::after(FALSE_HEALTH_INTERVAL).await;
                }
            }
            Fault::Replay { at_ms, until_ms, proxy } => {
                sleep_until(at_ms).await;
                self.cluster.mesh.conditions.borrow_mut().replayed_proxies.insert(proxy);
                sleep_until(until_ms).await;
                self.cluster.mesh.conditions.borrow_mut().replayed_proxies.remove(&proxy);
            }
        }
        Ok(())
    }

    /// Sends observations in a proxy's name to all of its peers by which one member is healthy and another
    /// has failed. They are dated ahead, so that the proxy's own observations do not replace them.
    fn send_false_health(&self, proxy: usize, healthy: &str, failed: &str) {
        let (address, now) = (self.cluster.mesh.inbox_addresses[proxy], now());
        let router = u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port());
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
        let message = Message::Delta(vec![entry(healthy, i16::MIN), entry(failed, i16::MAX)]);
        let Ok(bytes) = postcard::to_allocvec(&message) else { return };
        let others = (0..self.cluster.len()).filter(|other| *other != proxy);
        others.for_each(|other| {
            self.cluster.mesh.deliver(proxy, other, Frame { membership: &[], shared_state: &bytes }.encode());
        });
    }
}
