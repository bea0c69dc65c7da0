//! Injects the fault of a run.

use super::harness::Harness;
use super::{Case, ALLOCATORS};
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;
use std::time::Duration;

/// The time from the start of the load to the fault, to which up to [`MAX_FAULT_JITTER_MS`] are added.
const FAULT_AFTER_MS: u64 = 3_000;
const MAX_FAULT_JITTER_MS: u64 = 1_000;
const RESTART_AFTER_MS: u64 = 1_000;
const JOIN_SPAN_MS: u64 = 2_000;
const CUT_MS: u64 = 6_000;
const PAUSE_MS: u64 = 6_000;

async fn sleep_ms(milliseconds: u64) {
    Timer::after(Duration::from_millis(milliseconds)).await;
}

impl Harness {
    /// Injects the fault of a case.
    pub(super) async fn inject_fault(self: Rc<Self>, case: Case, seed: u64) -> Result<(), String> {
        let mut rng = SmallRng::seed_from_u64(seed);
        sleep_ms(FAULT_AFTER_MS + rng.random_range(0..MAX_FAULT_JITTER_MS)).await;
        match case {
            Case::Kill70 => self.kill_most(&mut rng).await,
            Case::Join => self.start_second_half().await,
            Case::Cut => {
                self.cut_off_a_third().await;
                Ok(())
            }
            Case::Pause => {
                self.pause_one(&mut rng).await;
                Ok(())
            }
            Case::AllocatorRetired => self.retire_allocator().await,
            Case::Calm | Case::Skew | Case::Shift | Case::Lossy => Ok(()),
        }
    }

    /// Kills seven in ten proxies, and restarts them [`RESTART_AFTER_MS`] later.
    async fn kill_most(&self, rng: &mut SmallRng) -> Result<(), String> {
        let count = self.cluster.len();
        let mut killed: Vec<usize> = (0..count).collect();
        (1..count).rev().for_each(|i| killed.swap(i, rng.random_range(0..=i)));
        killed.truncate((count * 7).div_ceil(10).min(count - 1));
        killed.iter().for_each(|proxy| self.kill(*proxy));
        sleep_ms(RESTART_AFTER_MS).await;
        killed.into_iter().try_for_each(|proxy| self.cluster.start(proxy))
    }

    async fn start_second_half(&self) -> Result<(), String> {
        let count = self.cluster.len();
        let joining = count / 2..count;
        let pause_ms = JOIN_SPAN_MS / joining.len() as u64;
        for proxy in joining {
            self.cluster.start(proxy)?;
            sleep_ms(pause_ms).await;
        }
        Ok(())
    }

    async fn cut_off_a_third(&self) {
        let side: Vec<usize> = (0..self.cluster.len()).filter(|proxy| proxy % 3 == 0).collect();
        self.cluster.cut_off(&side);
        sleep_ms(CUT_MS).await;
        self.cluster.reconnect(&side);
    }

    async fn pause_one(&self, rng: &mut SmallRng) {
        let proxy = rng.random_range(0..self.cluster.len());
        self.cluster.pause(proxy);
        sleep_ms(PAUSE_MS).await;
        self.cluster.resume(proxy);
    }

    /// Kills the last allocator for good, and restarts the others with settings that declare it retired.
    async fn retire_allocator(&self) -> Result<(), String> {
        let retired = ALLOCATORS - 1;
        self.kill(retired);
        sleep_ms(RESTART_AFTER_MS).await;
        let declaration =
            format!("<budgets gone=\"{}\" set=\"2\"", self.cluster.mesh.inbox_addresses[retired]);
        for proxy in (0..self.cluster.len()).filter(|proxy| *proxy != retired) {
            self.kill(proxy);
            let mut config = self.cluster.configs[proxy].clone();
            config.extra_settings = config.extra_settings.replace("<budgets", &declaration);
            self.cluster.start_with(proxy, &config)?;
        }
        Ok(())
    }
}
