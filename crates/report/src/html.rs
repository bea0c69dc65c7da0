//! The report as one HTML file.

use crate::error::RenderError;
use crate::facts::{incident_title, AnswerTotals, Facts, MemberFacts};
use crate::plot;
use minijinja::{context, Environment, Value};
use std::collections::{BTreeMap, BTreeSet};
use time::OffsetDateTime;
use wharfplank_incidents::evidence::StaleRead;
use wharfplank_incidents::Incident;

/// The most stale reads that the file lists; the JSON form has more.
const MAX_STALE_READS: usize = 200;
const TEMPLATE_NAME: &str = "report.html";
const TEMPLATE: &str = include_str!("report.html");

/// Formats Unix time in µs as a date and a time of day in UTC.
pub fn utc(at: i64) -> String {
    let Ok(at) = OffsetDateTime::from_unix_timestamp_nanos(i128::from(at) * 1000) else {
        return format!("{at} us of Unix time");
    };
    let date = at.date();
    let millisecond = at.millisecond();
    format!("{date} {:02}:{:02}:{:02}.{millisecond:03}", at.hour(), at.minute(), at.second())
}

/// Renders the HTML file.
///
/// # Errors
///
/// Returns an error if a plot cannot be drawn or the template cannot be rendered.
pub fn render(facts: &Facts) -> Result<String, RenderError> {
    let summary = context! {
        summary => &facts.summary,
        problems => &facts.problems,
        stale_count => facts.stale_read_count,
    };
    let page = context! {
        facts => summary,
        start => utc(facts.from),
        end => utc(facts.to),
        bin => facts.bin / 1_000_000,
        timeline => plot::timeline(facts)?,
        answers => plot::answers(facts, None)?,
        incidents => facts.incidents.iter().map(|incident| incident_row(facts, incident)).collect::<Vec<_>>(),
        classes => facts.classes.iter().map(|(name, totals)| class_row(name, totals)).collect::<Vec<_>>(),
        by_class => class_plots(facts)?,
        reasons => reason_rows(facts),
        groups => group_plots(facts)?,
        stale => facts.stale_reads.iter().take(MAX_STALE_READS).map(|read| stale_row(facts, read)).collect::<Vec<_>>(),
        gaps => describe_gaps(facts),
    };
    let mut environment = Environment::new();
    environment.add_template(TEMPLATE_NAME, TEMPLATE)?;
    let html = environment.get_template(TEMPLATE_NAME)?.render(page)?;
    Ok(html)
}

/// Formats a time as seconds since the start of the span.
fn format_second(facts: &Facts, at: i64) -> String {
    format!("{:.1}", facts.seconds_since_start(at))
}

/// Joins names, or shows `placeholder` if there are none.
fn join_or(names: &[String], placeholder: &str) -> String {
    if names.is_empty() {
        placeholder.to_string()
    } else {
        names.join(", ")
    }
}

fn incident_row(facts: &Facts, incident: &Incident) -> Value {
    let groups: Vec<String> = incident.groups.iter().map(u64::to_string).collect();
    let rejections: Vec<(String, u64)> =
        incident.rejections.iter().map(|(reason, count)| (reason.clone(), *count)).collect();
    context! {
        title => incident_title(incident),
        from => format_second(facts, incident.from),
        to => format_second(facts, incident.to),
        open => incident.open,
        told => &incident.reported,
        inferred => &incident.inferred,
        unknown => &incident.unknown,
        strength => incident.confidence.name(),
        late => incident.late,
        members => join_or(&incident.members, "-"),
        groups => join_or(&groups, "all"),
        refusals => rejections,
    }
}

fn class_row(name: &str, totals: &AnswerTotals) -> Value {
    let answers = totals.total();
    let per_answer = |sum: f64| {
        if answers == 0 {
            "-".to_string()
        } else {
            format!("{:.2}", sum / answers as f64)
        }
    };
    context! {
        name,
        served => totals.served,
        late => totals.late,
        refused => totals.rejected.values().sum::<u64>(),
        failed => totals.failed.values().sum::<u64>(),
        attempts => per_answer(totals.attempts as f64),
        mean => per_answer(totals.took as f64 / 1000.0),
    }
}

fn class_plots(facts: &Facts) -> Result<Vec<Value>, RenderError> {
    let mut plots = Vec::new();
    for class in facts.classes.keys() {
        plots.push(context! { class, plot => plot::answers(facts, Some(class))? });
    }
    Ok(plots)
}

/// Returns a row for each class and reason of rejections or failures.
fn reason_rows(facts: &Facts) -> Vec<Value> {
    let mut rows = Vec::new();
    for (class, totals) in &facts.classes {
        let reasons: BTreeSet<&String> = totals.rejected.keys().chain(totals.failed.keys()).collect();
        for reason in reasons {
            let rejected = totals.rejected.get(reason).unwrap_or(&0);
            let failed = totals.failed.get(reason).unwrap_or(&0);
            rows.push(context! { class, reason, refused => rejected, failed });
        }
    }
    rows
}

fn group_plots(facts: &Facts) -> Result<Vec<Value>, RenderError> {
    let mut by_group: BTreeMap<u64, Vec<&MemberFacts>> = BTreeMap::new();
    for member in &facts.members {
        by_group.entry(member.group).or_default().push(member);
    }
    let mut plots = Vec::new();
    for (group, members) in by_group {
        plots.push(context! { group, plot => plot::replication_lag(facts, &members)? });
    }
    Ok(plots)
}

fn stale_row(facts: &Facts, read: &StaleRead) -> Value {
    let is_known = read.known > 0;
    let known = if is_known { format_second(facts, read.known) } else { "unknown".to_string() };
    context! {
        at => format_second(facts, read.at),
        proxy => &read.proxy,
        class => &read.class,
        group => read.group,
        needed => format_second(facts, read.needed),
        known,
        short => (read.needed - read.known).min(read.needed) / 1000,
    }
}

fn describe_gaps(facts: &Facts) -> Vec<String> {
    let mut gaps = Vec::new();
    for proxy in &facts.proxies {
        for gap in &proxy.gaps {
            let missing = match gap.count {
                Some(count) => format!("{count} records"),
                None => "an unknown number of records".to_string(),
            };
            let from = format_second(facts, gap.from);
            let to = format_second(facts, gap.to);
            gaps.push(format!("{}: {} from {from} to {to} s; {missing} missing.", proxy.name, gap.cause));
        }
    }
    gaps
}
