//! The plots of a report, as SVG.

mod line_chart;
mod timeline;

pub use timeline::timeline;

use crate::error::PlotError;
use crate::facts::{Facts, MemberFacts, OutcomeCounts};
use line_chart::{draw_line_chart, split_at_unknown, Line};
use plotters::style::RGBColor;

/// The width of all plots, in pixels.
const WIDTH: u32 = 960;
/// The colour of incidents and of the second line of a chart.
const BLUE: RGBColor = RGBColor(0, 90, 160);
/// The font and the size of labels, in pixels.
const LABEL_FONT: (&str, i32) = ("sans-serif", 13);
/// The number of labels on the axis of time.
const TIME_LABELS: usize = 12;

/// A span of time, in seconds since the start of the report.
#[derive(Clone, Copy)]
struct SecondSpan {
    from: f64,
    to: f64,
}

impl SecondSpan {
    fn new(facts: &Facts, from: i64, to: i64) -> SecondSpan {
        SecondSpan { from: facts.seconds_since_start(from), to: facts.seconds_since_start(to) }
    }
}

/// Returns the length of the axis of time, in seconds.
fn time_axis_length(facts: &Facts) -> f64 {
    facts.seconds_since_start(facts.to).max(1.0)
}

/// Plots the answers per second of one class or of all classes: in time, late, and rejected or failed. Lines
/// break in bins that the records of some proxy do not cover.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn.
pub fn answers(facts: &Facts, class: Option<&str>) -> Result<String, PlotError> {
    let proxies = facts.proxies.len();
    let bins_per_second = 1e6 / facts.bin as f64;
    let line = |name: &str, count: fn(OutcomeCounts) -> u64| {
        let values = facts.series.iter().map(|bin| {
            let middle = facts.seconds_since_start(bin.at + facts.bin / 2);
            let is_covered = bin.covering_proxies == proxies;
            (middle, is_covered.then(|| count(bin.outcomes(class)) as f64 * bins_per_second))
        });
        Line { name: name.to_string(), pieces: split_at_unknown(values) }
    };
    let lines = [
        line("in time", |counts| counts.served),
        line("late", |counts| counts.late),
        line("rejected, failed", |counts| counts.unsuccessful),
    ];
    let gaps = facts.proxies.iter().flat_map(|proxy| &proxy.gaps);
    let gaps: Vec<SecondSpan> = gaps.map(|gap| SecondSpan::new(facts, gap.from, gap.to)).collect();
    draw_line_chart(facts, "answers/s", &lines, &gaps)
}

/// Plots the replication lag of each member of a group.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn.
pub fn replication_lag(facts: &Facts, members: &[&MemberFacts]) -> Result<String, PlotError> {
    let lines: Vec<Line> = members.iter().map(|member| lag_line(facts, member)).collect();
    draw_line_chart(facts, "lag, s", &lines, &[])
}

fn lag_line(facts: &Facts, member: &MemberFacts) -> Line {
    let zone = member.zone.as_deref().unwrap_or("?");
    let values = member.lag_ms.iter().enumerate().map(|(index, lag_ms)| {
        let bin_start = facts.series.get(index).map_or(facts.from, |bin| bin.at);
        let middle = facts.seconds_since_start(bin_start + facts.bin / 2);
        (middle, lag_ms.map(|lag_ms| lag_ms as f64 / 1000.0))
    });
    Line { name: format!("{} ({zone})", member.name), pieces: split_at_unknown(values) }
}
