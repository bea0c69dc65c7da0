//! How it looks.

use crate::state::State;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Modifier, Style};
use ratatui::text::Line;
use ratatui::widgets::{Block, Borders, Paragraph, Row, Table, Wrap};
use ratatui::Frame;
use wharfplank_report::facts::{incident_title, AnswerTotals, BinFacts, MemberFacts, OutcomeCounts};
use wharfplank_report::html::utc;
use wharfplank_report::Facts;

/// The smallest terminal that everything fits into.
pub const LEAST: (u16, u16) = (80, 24);
/// Heights of a column of a small chart; a space is nothing, a dot is not known.
const BARS: [&str; 8] = ["▁", "▂", "▃", "▄", "▅", "▆", "▇", "█"];

/// Draws all of it.
pub fn draw(frame: &mut Frame<'_>, state: &State, facts: &Facts, note: &str) {
    let area = frame.area();
    if area.width < LEAST.0 || area.height < LEAST.1 {
        let text =
            format!("The terminal is {}x{}; {}x{} is needed.", area.width, area.height, LEAST.0, LEAST.1);
        return frame.render_widget(Paragraph::new(text).wrap(Wrap { trim: true }), area);
    }
    let spare = area.height - LEAST.1;
    let [head, members, lower, foot] = Layout::vertical([
        Constraint::Length(1),
        Constraint::Length(10 + spare / 2),
        Constraint::Min(8),
        Constraint::Length(1),
    ])
    .areas(area);
    let [answers, incidents] =
        Layout::horizontal([Constraint::Percentage(50), Constraint::Percentage(50)]).areas(lower);
    let (from, to) = state.span();
    let how = if state.follows() { "live" } else { "held" };
    let shown = format!(
        " {how}  {} to {}  {:.0} s  group {}  class {}",
        utc(from),
        &utc(to)[11..],
        (to - from) as f64 / 1e6,
        state.group.map_or("all".to_string(), |g| g.to_string()),
        state.class.as_deref().unwrap_or("all")
    );
    let strong = Style::new().add_modifier(Modifier::REVERSED);
    frame.render_widget(Paragraph::new(shown).style(strong), head);
    draw_members(frame, members, state, facts);
    draw_answers(frame, answers, state, facts);
    draw_incidents(frame, incidents, facts);
    let keys = " space hold  ←→ time  +- zoom  g group  c class  ↑↓ members  q quit ";
    let foot_text = if note.is_empty() { keys.to_string() } else { format!(" {note}") };
    frame.render_widget(Paragraph::new(foot_text).style(strong), foot);
}

/// The last value that is known, and how many bins ago it was.
fn last<T: Copy>(values: &[Option<T>]) -> Option<(T, usize)> {
    values.iter().rev().enumerate().find_map(|(ago, v)| v.map(|v| (v, ago)))
}

/// A small chart of what was known: columns are the largest of their bins, a dot where nothing was.
fn chart(values: &[Option<i64>], width: usize, top: i64) -> String {
    let column = |i: usize| {
        let (from, to) =
            (i * values.len() / width, ((i + 1) * values.len() / width).max(i * values.len() / width + 1));
        let known = values.get(from..to.min(values.len())).unwrap_or_default().iter().flatten().max();
        known.map_or("·", |v| match *v {
            0 => " ",
            v => BARS[(v * 8 / top.max(1)).clamp(0, 7) as usize],
        })
    };
    (0..width).map(column).collect()
}

fn draw_members(frame: &mut Frame<'_>, area: Rect, state: &State, facts: &Facts) {
    let of = |m: &&MemberFacts| state.group.is_none_or(|g| m.group == g);
    let all: Vec<&MemberFacts> = facts.members.iter().filter(of).collect();
    let width = usize::from(area.width).saturating_sub(55).clamp(8, 120);
    let top = all.iter().flat_map(|m| m.lag_ms.iter().flatten()).max().copied().unwrap_or(0).max(1000);
    let rows = all.iter().skip(state.scroll).map(|m| {
        let role = match last(&m.primary) {
            Some((true, _)) => "primary",
            Some((false, _)) => "replica",
            None => "not known",
        };
        let behind = match last(&m.lag_ms) {
            Some((ms, 0..=2)) => format!("{:.2} s", ms as f64 / 1000.0),
            Some((_, ago)) => format!("heard -{ago}"),
            None => "not known".to_string(),
        };
        let suspected = m.suspected.last().copied().unwrap_or(0);
        let doubt = if suspected > 0 { format!("by {suspected}") } else { "-".to_string() };
        let zone = m.zone.clone().unwrap_or_else(|| "?".to_string());
        let load = last(&m.in_flight).map_or("?".to_string(), |(n, _)| n.to_string());
        Row::new([m.name.clone(), zone, role.to_string(), behind, doubt, load, chart(&m.lag_ms, width, top)])
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
    let head = Row::new(["member", "zone", "role", "behind", "susp.", "load", "behind, · unknown"]);
    let name = format!(" Members {}-{} of {} ", (state.scroll + 1).min(all.len()), all.len(), all.len());
    let block = Block::new().borders(Borders::ALL).title(name);
    let table = Table::new(rows, columns).header(head.style(Style::new().add_modifier(Modifier::BOLD)));
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
    let top = |values: &[Option<i64>]| values.iter().flatten().max().copied().unwrap_or(1).max(1);
    let mut lines: Vec<Line<'_>> = [("in time", &served), ("late", &late), ("lost", &unsuccessful)]
        .iter()
        .map(|(name, values)| Line::from(format!("{name:<8}{}", chart(values, width, top(values)))))
        .collect();
    lines.push(Line::from(format!("{:<13}{:>8}{:>5}{:>5}{:>5}", "class", "in time", "late", "ref.", "fail")));
    let of = |(name, _): &(&String, &AnswerTotals)| state.class.as_ref().is_none_or(|c| c == *name);
    let chosen: Vec<_> = facts.classes.iter().filter(of).collect();
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
