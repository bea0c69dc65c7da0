//! The layout of the screen.

use crate::state::State;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Modifier, Style};
use ratatui::text::Line;
use ratatui::widgets::{Block, Borders, Paragraph, Row, Table, Wrap};
use ratatui::Frame;
use wharfplank_report::facts::{incident_title, AnswerTotals, BinFacts, MemberFacts, OutcomeCounts};
use wharfplank_report::html::utc;
use wharfplank_report::Facts;

/// The minimum width and height of the terminal.
pub const MIN_SIZE: (u16, u16) = (80, 24);
/// The characters for the column heights of a chart. A space stands for 0 and a dot for an unknown value.
const BARS: [&str; 8] = ["▁", "▂", "▃", "▄", "▅", "▆", "▇", "█"];

/// Draws the screen.
pub fn draw(frame: &mut Frame<'_>, state: &State, facts: &Facts, message: &str) {
    let area = frame.area();
    if area.width < MIN_SIZE.0 || area.height < MIN_SIZE.1 {
        let text = format!(
            "The terminal is {}x{}; {}x{} is needed.",
            area.width, area.height, MIN_SIZE.0, MIN_SIZE.1
        );
        return frame.render_widget(Paragraph::new(text).wrap(Wrap { trim: true }), area);
    }
    let spare = area.height - MIN_SIZE.1;
    let [header_area, members, lower_area, footer_area] = Layout::vertical([
        Constraint::Length(1),
        Constraint::Length(10 + spare / 2),
        Constraint::Min(8),
        Constraint::Length(1),
    ])
    .areas(area);
    let [answers, incidents] =
        Layout::horizontal([Constraint::Percentage(50), Constraint::Percentage(50)]).areas(lower_area);
    let (from, to) = state.span();
    let mode = if state.is_following() { "live" } else { "held" };
    let status_line = format!(
        " {mode}  {} to {}  {:.0} s  group {}  class {}",
        utc(from),
        &utc(to)[11..],
        (to - from) as f64 / 1e6,
        state.group.map_or("all".to_string(), |g| g.to_string()),
        state.class.as_deref().unwrap_or("all")
    );
    let reversed = Style::new().add_modifier(Modifier::REVERSED);
    frame.render_widget(Paragraph::new(status_line).style(reversed), header_area);
    draw_members(frame, members, state, facts);
    draw_answers(frame, answers, state, facts);
    draw_incidents(frame, incidents, facts);
    let keys = " space hold  ←→ time  +- zoom  g group  c class  ↑↓ members  q quit ";
    let footer = if message.is_empty() { keys.to_string() } else { format!(" {message}") };
    frame.render_widget(Paragraph::new(footer).style(reversed), footer_area);
}

/// Returns the last known value, and its age in bins.
fn last_known<T: Copy>(values: &[Option<T>]) -> Option<(T, usize)> {
    values.iter().rev().enumerate().find_map(|(age, v)| v.map(|v| (v, age)))
}

/// Returns a chart of one line. Each column shows the largest value of its bins, or a dot if none is known.
fn chart(values: &[Option<i64>], width: usize, max_value: i64) -> String {
    let column = |i: usize| {
        let (from, to) =
            (i * values.len() / width, ((i + 1) * values.len() / width).max(i * values.len() / width + 1));
        let known = values.get(from..to.min(values.len())).unwrap_or_default().iter().flatten().max();
        known.map_or("·", |v| match *v {
            0 => " ",
            v => BARS[(v * 8 / max_value.max(1)).clamp(0, 7) as usize],
        })
    };
    (0..width).map(column).collect()
}

fn draw_members(frame: &mut Frame<'_>, area: Rect, state: &State, facts: &Facts) {
    let is_selected = |m: &&MemberFacts| state.group.is_none_or(|g| m.group == g);
    let all: Vec<&MemberFacts> = facts.members.iter().filter(is_selected).collect();
    let width = usize::from(area.width).saturating_sub(55).clamp(8, 120);
    let max_value = all.iter().flat_map(|m| m.lag_ms.iter().flatten()).max().copied().unwrap_or(0).max(1000);
    let rows = all.iter().skip(state.scroll).map(|m| {
        let role = match last_known(&m.primary) {
            Some((true, _)) => "primary",
            Some((false, _)) => "replica",
            None => "not known",
        };
        let behind = match last_known(&m.lag_ms) {
            Some((ms, 0..=2)) => format!("{:.2} s", ms as f64 / 1000.0),
            Some((_, age)) => format!("heard -{age}"),
            None => "not known".to_string(),
        };
        let suspected = m.suspected.last().copied().unwrap_or(0);
        let suspected_by = if suspected > 0 { format!("by {suspected}") } else { "-".to_string() };
        let zone = m.zone.clone().unwrap_or_else(|| "?".to_string());
        let load = last_known(&m.in_flight).map_or("?".to_string(), |(n, _)| n.to_string());
        Row::new([
            m.name.clone(),
            zone,
            role.to_string(),
            behind,
            suspected_by,
            load,
            chart(&m.lag_ms, width, max_value),
        ])
    });
    let columns = [
        Constraint::Length(10),
        Constraint::Length(9),
        Constraint::Length(9),
        Constraint::Length(10),
        Constraint::Length(5),
        Constraint::Length(4),
        Constraint::Min(8),
    ];
    let titles = Row::new(["member", "zone", "role", "behind", "susp.", "load", "behind, · unknown"]);
    let name = format!(" Members {}-{} of {} ", (state.scroll + 1).min(all.len()), all.len(), all.len());
    let block = Block::new().borders(Borders::ALL).title(name);
    let table = Table::new(rows, columns).header(titles.style(Style::new().add_modifier(Modifier::BOLD)));
    frame.render_widget(table.block(block), area);
}

fn draw_answers(frame: &mut Frame<'_>, area: Rect, state: &State, facts: &Facts) {
    let width = usize::from(area.width).saturating_sub(12);
    let all = facts.proxies.len();
    let class = state.class.as_deref();
    let known = |count: fn(OutcomeCounts) -> u64| -> Vec<Option<i64>> {
        let is_covered = |bin: &BinFacts| bin.covering_proxies == all && all > 0;
        facts.series.iter().map(|bin| is_covered(bin).then(|| count(bin.outcomes(class)) as i64)).collect()
    };
    let served = known(|counts| counts.served);
    let late = known(|counts| counts.late);
    let unsuccessful = known(|counts| counts.unsuccessful);
    let max_value = |values: &[Option<i64>]| values.iter().flatten().max().copied().unwrap_or(1).max(1);
    let mut lines: Vec<Line<'_>> = [("in time", &served), ("late", &late), ("lost", &unsuccessful)]
        .iter()
        .map(|(name, values)| Line::from(format!("{name:<8}{}", chart(values, width, max_value(values)))))
        .collect();
    lines.push(Line::from(format!("{:<13}{:>8}{:>5}{:>5}{:>5}", "class", "in time", "late", "ref.", "fail")));
    let is_selected = |(name, _): &(&String, &AnswerTotals)| state.class.as_ref().is_none_or(|c| c == *name);
    let chosen: Vec<_> = facts.classes.iter().filter(is_selected).collect();
    for (name, a) in &chosen {
        let rejected: u64 = a.rejected.values().sum();
        let failed: u64 = a.failed.values().sum();
        lines.push(Line::from(format!("{name:<13}{:>8}{:>5}{rejected:>5}{failed:>5}", a.served, a.late)));
    }
    for (name, a) in &chosen {
        for (reason, count) in a.rejected.iter().chain(&a.failed) {
            lines.push(Line::from(format!("  {name}: {reason} {count}")));
        }
    }
    let block = Block::new().borders(Borders::ALL).title(" Answers ");
    frame.render_widget(Paragraph::new(lines).block(block), area);
}

fn draw_incidents(frame: &mut Frame<'_>, area: Rect, facts: &Facts) {
    let mut lines: Vec<Line<'_>> = Vec::new();
    for i in &facts.incidents {
        let span =
            format!("{:>4.0}-{:<4.0}", facts.seconds_since_start(i.from), facts.seconds_since_start(i.to));
        let open = if i.open { " …" } else { "" };
        lines.push(Line::from(format!("{span} {}{open}", incident_title(i))));
        lines.push(Line::from(format!(
            "          {} late, {} lost, {}",
            i.late,
            i.rejections.values().sum::<u64>(),
            i.confidence.name()
        )));
    }
    for proxy in &facts.proxies {
        for gap in &proxy.gaps {
            let span = format!(
                "{:>4.0}-{:<4.0}",
                facts.seconds_since_start(gap.from),
                facts.seconds_since_start(gap.to)
            );
            lines.push(Line::from(format!("{span} {}: no records", proxy.name)));
        }
    }
    if lines.is_empty() {
        lines.push(Line::from("none found"));
    }
    let block = Block::new().borders(Borders::ALL).title(" Incidents and gaps, by second ");
    frame.render_widget(Paragraph::new(lines).block(block), area);
}
