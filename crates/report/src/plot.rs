//! The pictures, as SVG.

use crate::facts::{incident_title, Facts, MemberFacts, OutcomeCounts};
use plotters::prelude::*;

const SIZE: (u32, u32) = (960, 230);
/// Marks that tell lines apart without colour, and colours that differ in brightness too.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 0, 0),
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 0),
    RGBColor(0, 130, 90),
    RGBColor(150, 60, 130),
    RGBColor(110, 110, 110),
];
const EVERY: usize = 5;

type Fault = Box<dyn std::error::Error>;

/// A line: its name and its values by second; a break where nothing is known.
struct Line {
    name: String,
    points: Vec<Vec<(f64, f64)>>,
}

/// Cuts values into pieces at what is unknown.
fn pieces(values: impl Iterator<Item = (f64, Option<f64>)>) -> Vec<Vec<(f64, f64)>> {
    let mut pieces = vec![Vec::new()];
    for (x, y) in values {
        match y {
            Some(y) => pieces.last_mut().into_iter().for_each(|piece: &mut Vec<_>| piece.push((x, y))),
            None if pieces.last().is_some_and(|p| !p.is_empty()) => pieces.push(Vec::new()),
            None => {}
        }
    }
    pieces.retain(|p| !p.is_empty());
    pieces
}

fn mark<'a>(
    shape: usize,
    at: (i32, i32),
    colour: RGBColor,
) -> Vec<DynElement<'static, SVGBackend<'a>, (i32, i32)>> {
    match shape % 4 {
        0 => vec![Circle::new(at, 3, colour.filled()).into_dyn()],
        1 => vec![TriangleMarker::new(at, 4, colour.filled()).into_dyn()],
        2 => vec![Cross::new(at, 3, colour.stroke_width(2)).into_dyn()],
        _ => vec![Circle::new(at, 3, colour.stroke_width(1)).into_dyn()],
    }
}

fn chart(facts: &Facts, unit: &str, lines: &[Line], gaps: &[(f64, f64)]) -> Result<String, Fault> {
    let mut svg = String::new();
    let end = facts.seconds_since_start(facts.to).max(1.0);
    let top = lines.iter().flat_map(|l| l.points.iter().flatten()).map(|(_, y)| *y).fold(1.0, f64::max) * 1.1;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .margin_right(150)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_desc("seconds")
            .y_desc(unit)
            .x_labels(12)
            .y_labels(5)
            .draw()?;
        // A gap is hatched: it reads the same in print.
        for (from, to) in gaps {
            let (from, to) = (from.max(0.0), to.min(end));
            chart
                .draw_series([Rectangle::new([(from, 0.0), (to, top)], RGBColor(235, 235, 235).filled())])?;
            let step = end / 160.0;
            let hatch = (0..((to - from) / step).ceil() as usize).map(|i| {
                let x = from + i as f64 * step;
                PathElement::new([(x, 0.0), ((x + step).min(to), top)], RGBColor(150, 150, 150))
            });
            chart.draw_series(hatch)?;
        }
        for (i, line) in lines.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            for piece in &line.points {
                chart.draw_series(LineSeries::new(
                    piece.iter().copied(),
                    colour.stroke_width(1 + (i % 2) as u32),
                ))?;
            }
            let points: Vec<(f64, f64)> =
                line.points.iter().flatten().copied().skip(i).step_by(EVERY).collect();
            for (x, y) in points {
                let at = chart.backend_coord(&(x, y));
                for element in mark(i, at, colour) {
                    area.draw(&element)?;
                }
            }
            let at = (SIZE.0 as i32 - 140, 16 + 20 * i as i32);
            for element in mark(i, at, colour) {
                area.draw(&element)?;
            }
            let style = ("sans-serif", 13).into_font().color(&BLACK);
            area.draw(&Text::new(line.name.clone(), (at.0 + 10, at.1 - 6), style))?;
        }
        area.present()?;
    }
    Ok(svg)
}

fn gaps(facts: &Facts) -> Vec<(f64, f64)> {
    let gaps = facts.proxies.iter().flat_map(|p| &p.gaps);
    gaps.map(|g| (facts.seconds_since_start(g.from), facts.seconds_since_start(g.to))).collect()
}

/// Answers by second, of one class or of all: in time, late, refused or failed. A bin that not all proxies cover is a
/// break.
pub fn answers(facts: &Facts, class: Option<&str>) -> Result<String, Fault> {
    let all = facts.proxies.len();
    let per = 1e6 / facts.bin as f64;
    let line = |name: &str, count: fn(OutcomeCounts) -> u64| Line {
        name: name.to_string(),
        points: pieces(facts.series.iter().map(|b| {
            let at = facts.seconds_since_start(b.at + facts.bin / 2);
            (at, (b.covering_proxies == all).then(|| count(b.outcomes(class)) as f64 * per))
        })),
    };
    let lines = [
        line("in time", |counts| counts.served),
        line("late", |counts| counts.late),
        line("refused, failed", |counts| counts.unsuccessful),
    ];
    chart(facts, "answers/s", &lines, &gaps(facts))
}

/// How far each member of a group was behind.
pub fn staleness(facts: &Facts, members: &[&MemberFacts]) -> Result<String, Fault> {
    let lines: Vec<Line> = members
        .iter()
        .map(|m| Line {
            name: format!("{} ({})", m.name, m.zone.as_deref().unwrap_or("?")),
            points: pieces(m.lag_ms.iter().enumerate().map(|(i, ms)| {
                let at = facts
                    .seconds_since_start(facts.series.get(i).map_or(facts.from, |b| b.at) + facts.bin / 2);
                (at, ms.map(|ms| ms as f64 / 1000.0))
            })),
        })
        .collect();
    chart(facts, "s behind", &lines, &[])
}

/// Incidents and gaps as bars over time, each with its name.
pub fn timeline(facts: &Facts) -> Result<String, Fault> {
    let mut rows: Vec<(String, f64, f64, bool)> = facts
        .incidents
        .iter()
        .map(|i| {
            (incident_title(i), facts.seconds_since_start(i.from), facts.seconds_since_start(i.to), false)
        })
        .collect();
    for proxy in &facts.proxies {
        let gap = |g: &crate::facts::GapFacts| {
            (
                format!("{}: no records ({})", proxy.name, g.cause),
                facts.seconds_since_start(g.from),
                facts.seconds_since_start(g.to),
                true,
            )
        };
        rows.extend(proxy.gaps.iter().map(gap));
    }
    let mut svg = String::new();
    let end = facts.seconds_since_start(facts.to).max(1.0);
    let height = 50 + 26 * rows.len().max(1) as u32;
    {
        let area = SVGBackend::with_string(&mut svg, (SIZE.0, height)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .margin_left(270)
            .margin_right(20)
            .x_label_area_size(30)
            .build_cartesian_2d(0.0..end, 0.0..rows.len().max(1) as f64)?;
        chart.configure_mesh().disable_y_mesh().disable_y_axis().x_desc("seconds").x_labels(12).draw()?;
        for (i, (name, from, to, gap)) in rows.iter().enumerate() {
            let (low, high) = ((rows.len() - i) as f64 - 0.85, (rows.len() - i) as f64 - 0.15);
            let to = to.max(from + end / 300.0);
            if *gap {
                let step = end / 200.0;
                let hatch = (0..=((to - from) / step) as usize).map(|k| {
                    let x = from + k as f64 * step;
                    PathElement::new([(x, low), ((x + step).min(to), high)], BLACK)
                });
                chart.draw_series(hatch)?;
                chart.draw_series([Rectangle::new([(*from, low), (to, high)], BLACK)])?;
            } else {
                chart.draw_series([Rectangle::new(
                    [(*from, low), (to, high)],
                    RGBColor(0, 90, 160).filled(),
                )])?;
            }
            let (_, y) = chart.backend_coord(&(0.0, (low + high) / 2.0));
            let style = ("sans-serif", 13).into_font().color(&BLACK);
            area.draw(&Text::new(name.clone(), (8, y - 7), style))?;
        }
        area.present()?;
    }
    Ok(svg)
}
