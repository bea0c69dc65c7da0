//! The report as one HTML file.

use crate::facts::{incident_title, Facts, MemberFacts};
use crate::plot;
use minijinja::{context, Environment};
use std::collections::{BTreeMap, BTreeSet};
use time::OffsetDateTime;

/// Stale reads that the file lists; the JSON form has more.
const STALE_MOST: usize = 200;

/// Unix time in µs as a date and a time of day in UTC.
pub fn utc(at: i64) -> String {
    let Ok(at) = OffsetDateTime::from_unix_timestamp_nanos(i128::from(at) * 1000) else {
        return format!("{at} us of Unix time");
    };
    let (day, ms) = (at.date(), at.millisecond());
    format!("{day} {:02}:{:02}:{:02}.{ms:03}", at.hour(), at.minute(), at.second())
}

/// The file's text.
pub fn render(facts: &Facts) -> Result<String, Box<dyn std::error::Error>> {
    let second = |at: i64| format!("{:.1}", facts.seconds_since_start(at));
    let incidents: Vec<_> = facts
        .incidents
        .iter()
        .map(|i| {
            let groups: Vec<String> = i.groups.iter().map(u64::to_string).collect();
            context! {
                title => incident_title(i), from => second(i.from), to => second(i.to), open => i.open, told => &i.reported,
                inferred => &i.inferred, unknown => &i.unknown, strength => i.confidence.name(), late => i.late,
                members => if i.members.is_empty() { "-".to_string() } else { i.members.join(", ") },
                groups => if groups.is_empty() { "all".to_string() } else { groups.join(", ") },
                refusals => i.rejections.iter().map(|(r, n)| (r.clone(), *n)).collect::<Vec<_>>(),
            }
        })
        .collect();
    let classes: Vec<_> = facts
        .classes
        .iter()
        .map(|(name, a)| {
            let each = |n: f64| {
                if a.total() == 0 {
                    "-".to_string()
                } else {
                    format!("{:.2}", n / a.total() as f64)
                }
            };
            context! {
                name, served => a.served, late => a.late, refused => a.rejected.values().sum::<u64>(),
                failed => a.failed.values().sum::<u64>(), attempts => each(a.attempts as f64),
                mean => each(a.took as f64 / 1000.0),
            }
        })
        .collect();
    let mut by_class = Vec::new();
    for class in facts.classes.keys() {
        by_class.push(context! { class, plot => plot::answers(facts, Some(class))? });
    }
    let mut reasons = Vec::new();
    for (class, answers) in &facts.classes {
        let names: BTreeSet<&String> = answers.rejected.keys().chain(answers.failed.keys()).collect();
        for reason in names {
            let (rejected, failed) =
                (answers.rejected.get(reason).unwrap_or(&0), answers.failed.get(reason).unwrap_or(&0));
            reasons.push(context! { class, reason, refused => rejected, failed });
        }
    }
    let mut by_group: BTreeMap<u64, Vec<&MemberFacts>> = BTreeMap::new();
    facts.members.iter().for_each(|m| by_group.entry(m.group).or_default().push(m));
    let mut groups = Vec::new();
    for (group, members) in by_group {
        groups.push(context! { group, plot => plot::staleness(facts, &members)? });
    }
    let stale: Vec<_> = facts
        .stale_reads
        .iter()
        .take(STALE_MOST)
        .map(|s| {
            context! {
                at => second(s.at), proxy => &s.proxy, class => &s.class, group => s.group, needed => second(s.needed),
                known => if s.known > 0 { second(s.known) } else { "never heard".to_string() },
                short => (s.needed - s.known).min(s.needed) / 1000,
            }
        })
        .collect();
    let gaps: Vec<String> = facts
        .proxies
        .iter()
        .flat_map(|p| p.gaps.iter().map(move |g| (p, g)))
        .map(|(p, g)| {
            let count =
                g.count.map_or("an unknown number of answers".to_string(), |n| format!("{n} records"));
            format!("{}: {} from {} to {} s; {count} missing.", p.name, g.cause, second(g.from), second(g.to))
        })
        .collect();
    let mut environment = Environment::new();
    environment.add_template("report.html", include_str!("report.html"))?;
    let page = environment.get_template("report.html")?.render(context! {
        facts => context! { summary => &facts.summary, problems => &facts.problems, stale_count => facts.stale_read_count },
        start => utc(facts.from), end => utc(facts.to), bin => facts.bin / 1_000_000,
        timeline => plot::timeline(facts)?, answers => plot::answers(facts, None)?,
        incidents, classes, by_class, reasons, groups, stale, gaps,
    })?;
    Ok(page)
}
