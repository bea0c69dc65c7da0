//! The timeline of incidents and gaps.

use super::{time_axis_length, SecondSpan, BLUE, LABEL_FONT, TIME_LABELS, WIDTH};
use crate::error::PlotError;
use crate::facts::{incident_title, Facts};
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

/// The heights of the axis and of a row, in pixels.
const AXIS_HEIGHT: u32 = 50;
const ROW_HEIGHT: u32 = 26;
/// The space to the left of the chart for the labels, in pixels.
const LABEL_WIDTH: u32 = 270;
/// The edges of a bar below the upper end of its row, in rows.
const BAR_LOW: f64 = 0.85;
const BAR_HIGH: f64 = 0.15;
/// The length of the shortest bar and the distance of hatch lines, as divisors of the axis of time.
const SHORTEST_BAR_DIVISOR: f64 = 300.0;
const HATCH_DIVISOR: f64 = 200.0;

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

enum RowKind {
    Incident,
    Gap,
}

/// A bar with its label.
struct Row {
    label: String,
    span: SecondSpan,
    kind: RowKind,
}

/// The area of a bar, in seconds and rows.
#[derive(Clone, Copy)]
struct Bar {
    from: f64,
    to: f64,
    low: f64,
    high: f64,
}

/// Plots incidents and gaps as labelled bars over time.
///
/// # Errors
///
/// Returns an error if the plot cannot be drawn.
pub fn timeline(facts: &Facts) -> Result<String, PlotError> {
    let rows = rows(facts);
    let end = time_axis_length(facts);
    let row_count = rows.len().max(1);
    let height = AXIS_HEIGHT + ROW_HEIGHT * row_count as u32;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .margin_left(LABEL_WIDTH)
            .margin_right(20)
            .x_label_area_size(30)
            .build_cartesian_2d(0.0..end, 0.0..row_count as f64)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .disable_y_axis()
            .x_desc("seconds")
            .x_labels(TIME_LABELS)
            .draw()?;
        for (index, row) in rows.iter().enumerate() {
            let top = (rows.len() - index) as f64;
            let to = row.span.to.max(row.span.from + end / SHORTEST_BAR_DIVISOR);
            let bar = Bar { from: row.span.from, to, low: top - BAR_LOW, high: top - BAR_HIGH };
            match row.kind {
                RowKind::Incident => draw_incident(&mut chart, bar)?,
                RowKind::Gap => draw_gap(&mut chart, bar, end / HATCH_DIVISOR)?,
            }
            let (_, y) = chart.backend_coord(&(0.0, (bar.low + bar.high) / 2.0));
            let style = LABEL_FONT.into_font().color(&BLACK);
            area.draw(&Text::new(row.label.clone(), (8, y - 7), style))?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Returns the rows from the top: incidents, then each proxy's gaps.
fn rows(facts: &Facts) -> Vec<Row> {
    let mut rows = Vec::new();
    for incident in &facts.incidents {
        let span = SecondSpan::new(facts, incident.from, incident.to);
        rows.push(Row { label: incident_title(incident), span, kind: RowKind::Incident });
    }
    for proxy in &facts.proxies {
        for gap in &proxy.gaps {
            let label = format!("{}: no records ({})", proxy.name, gap.cause);
            let span = SecondSpan::new(facts, gap.from, gap.to);
            rows.push(Row { label, span, kind: RowKind::Gap });
        }
    }
    rows
}

fn draw_incident(chart: &mut Chart, bar: Bar) -> Result<(), PlotError> {
    chart.draw_series([Rectangle::new([(bar.from, bar.low), (bar.to, bar.high)], BLUE.filled())])?;
    Ok(())
}

/// Draws a hatched bar with an outline.
fn draw_gap(chart: &mut Chart, bar: Bar, step: f64) -> Result<(), PlotError> {
    let hatch = (0..=((bar.to - bar.from) / step) as usize).map(|index| {
        let second = bar.from + index as f64 * step;
        PathElement::new([(second, bar.low), ((second + step).min(bar.to), bar.high)], BLACK)
    });
    chart.draw_series(hatch)?;
    chart.draw_series([Rectangle::new([(bar.from, bar.low), (bar.to, bar.high)], BLACK)])?;
    Ok(())
}
