//! Counts of the outcomes of one proxy's attempts at one member, by time window. Counts are merged by
//! addition, across windows or proxies. A newer incarnation of the member replaces the previous one.

use crate::Micros;
use std::cmp::Ordering;

/// The length of a window.
pub const WINDOW_LENGTH: Micros = 250_000;
/// The number of retained windows.
pub const WINDOW_COUNT: usize = 24;
/// The number of newest windows that always count, those of the last second.
const RECENT_WINDOWS: usize = 4;
/// Older windows count until there are this many outcomes, because a proxy whose router already avoids a slow
/// member receives an answer from it only occasionally.
const SUFFICIENT_SAMPLES: u32 = 6;
/// The scale of log ratios: natural logarithms of the ratio of latency to baseline, in units of 1/64.
pub(crate) const LOG_RATIO_SCALE: f64 = 64.0;
/// The limit of the absolute log ratio of one outcome, eight times the baseline latency, so that an answer
/// that took a minute is no stronger evidence than that.
pub(crate) const MAX_LOG_RATIO: i64 = 133;
/// The log ratio that an error or a rejection counts as, three times the baseline latency.
const FAILURE_LOG_RATIO: f64 = 1.1;

/// The counts of outcomes in a time window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WindowCounts {
    /// The number of answers.
    pub answers: u32,
    /// The sum of the answers' log ratios, in units of 1/64.
    pub log_ratio_sum: i64,
    /// The number of errors.
    pub errors: u32,
    /// The number of attempts that the member rejected because it was overloaded.
    pub rejections: u32,
    /// The number of attempts without a connection, or without an answer in time.
    pub unreachable: u32,
    /// The greatest replication lag, in milliseconds.
    pub max_lag_ms: u32,
}

impl WindowCounts {
    /// Adds other counts.
    pub fn merge(&mut self, other: &WindowCounts) {
        self.answers = self.answers.saturating_add(other.answers);
        self.log_ratio_sum = self.log_ratio_sum.saturating_add(other.log_ratio_sum);
        self.errors = self.errors.saturating_add(other.errors);
        self.rejections = self.rejections.saturating_add(other.rejections);
        self.unreachable = self.unreachable.saturating_add(other.unreachable);
        self.max_lag_ms = self.max_lag_ms.max(other.max_lag_ms);
    }

    /// Returns the number of outcomes, which is the weight of the evidence.
    pub fn samples(&self) -> u32 {
        let failed = self.errors.saturating_add(self.rejections).saturating_add(self.unreachable);
        self.answers.saturating_add(failed)
    }

    /// Returns the mean log ratio of all outcomes. An attempt without an answer counts as the greatest log
    /// ratio.
    pub fn mean_log_ratio(&self) -> f64 {
        let failed = FAILURE_LOG_RATIO * (f64::from(self.errors) + f64::from(self.rejections));
        let unreachable = MAX_LOG_RATIO as f64 / LOG_RATIO_SCALE * f64::from(self.unreachable);
        let answered = self.log_ratio_sum as f64 / LOG_RATIO_SCALE;
        (answered + failed + unreachable) / f64::from(self.samples().max(1))
    }
}

/// The outcomes at one incarnation of a member in the latest windows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberSummary {
    /// The incarnation: the start time of the member's process in Unix milliseconds, as in the endpoint list.
    pub incarnation_ms: i64,
    /// The number of the newest window, counted from time 0.
    pub newest_window: i64,
    /// The counts by window, newest first.
    windows: [WindowCounts; WINDOW_COUNT],
}

impl MemberSummary {
    /// Creates an empty summary of an incarnation.
    pub fn new(incarnation_ms: i64) -> MemberSummary {
        MemberSummary { incarnation_ms, ..MemberSummary::default() }
    }

    /// Returns the number of the window that contains a time.
    pub fn window_at(now: Micros) -> i64 {
        now.div_euclid(WINDOW_LENGTH)
    }

    /// Advances to a window if it is newer than the newest, and clears the windows up to it.
    fn advance_to(&mut self, window: i64) {
        let steps = (window - self.newest_window).max(0);
        let steps = usize::try_from(steps).unwrap_or(WINDOW_COUNT).min(WINDOW_COUNT);
        self.windows.rotate_right(steps);
        self.windows[..steps].fill(WindowCounts::default());
        self.newest_window = self.newest_window.max(window);
    }

    /// Adds counts to the window of a time. Counts older than all retained windows are dropped.
    pub fn add(&mut self, now: Micros, counts: &WindowCounts) {
        let window = MemberSummary::window_at(now);
        self.advance_to(window);
        let age = usize::try_from(self.newest_window - window).unwrap_or(WINDOW_COUNT);
        self.add_at_age(age, counts);
    }

    fn add_at_age(&mut self, age: usize, counts: &WindowCounts) {
        if let Some(window) = self.windows.get_mut(age) {
            window.merge(counts);
        }
    }

    /// Merges another proxy's summary of the member. A summary of a newer incarnation replaces this one; one
    /// of an older incarnation is ignored.
    pub fn merge(&mut self, other: &MemberSummary) {
        match other.incarnation_ms.cmp(&self.incarnation_ms) {
            Ordering::Less => {}
            Ordering::Greater => *self = *other,
            Ordering::Equal => self.merge_windows(other),
        }
    }

    fn merge_windows(&mut self, other: &MemberSummary) {
        self.advance_to(other.newest_window);
        let offset = usize::try_from(self.newest_window - other.newest_window).unwrap_or(WINDOW_COUNT);
        for (age, counts) in other.windows.iter().enumerate() {
            self.add_at_age(age + offset, counts);
        }
    }

    /// Returns the total of the windows that count at a time.
    pub fn total(&self, now: Micros) -> WindowCounts {
        let offset = usize::try_from(MemberSummary::window_at(now) - self.newest_window).unwrap_or(0);
        let mut total = WindowCounts::default();
        for (age, counts) in self.windows.iter().enumerate().take(WINDOW_COUNT.saturating_sub(offset)) {
            if offset + age >= RECENT_WINDOWS && total.samples() >= SUFFICIENT_SAMPLES {
                break;
            }
            total.merge(counts);
        }
        total
    }
}
