//! Charts of lines over time.

use super::{time_axis_length, SecondSpan, BLUE, LABEL_FONT, TIME_LABELS, WIDTH};
use crate::error::PlotError;
use crate::facts::Facts;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

const SIZE: (u32, u32) = (WIDTH, 230);
/// The colours of lines, which also differ in brightness.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 0, 0),
    BLUE,
    RGBColor(200, 80, 0),
    RGBColor(0, 130, 90),
    RGBColor(150, 60, 130),
    RGBColor(110, 110, 110),
];
const GAP_COLOUR: RGBColor = RGBColor(235, 235, 235);
const HATCH_COLOUR: RGBColor = RGBColor(150, 150, 150);
/// The number of hatch lines over the whole axis of time.
const HATCH_LINES: f64 = 160.0;
/// The number of points from one marker of a line to the next.
const MARKER_INTERVAL: usize = 5;
/// The space to the right of the chart for the legend, in pixels.
const LEGEND_WIDTH: u32 = 150;
/// The distance of the legend's markers from the right edge, and the height of its rows, in pixels.
const LEGEND_MARKER_OFFSET: i32 = 140;
const LEGEND_ROW_HEIGHT: i32 = 20;
const LEGEND_TOP: i32 = 16;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A line: its name and its pieces between breaks, as points of second and value.
pub(super) struct Line {
    pub name: String,
    pub pieces: Vec<Vec<(f64, f64)>>,
}

/// Splits values into pieces where they are unknown.
pub(super) fn split_at_unknown(values: impl Iterator<Item = (f64, Option<f64>)>) -> Vec<Vec<(f64, f64)>> {
    let mut pieces = Vec::new();
    let mut piece = Vec::new();
    for (second, value) in values {
        match value {
            Some(value) => piece.push((second, value)),
            None => pieces.push(std::mem::take(&mut piece)),
        }
    }
    pieces.push(piece);
    pieces.retain(|piece| !piece.is_empty());
    pieces
}

/// Draws lines over time with a legend, above the hatched gaps.
pub(super) fn draw_line_chart(
    facts: &Facts,
    unit: &str,
    lines: &[Line],
    gaps: &[SecondSpan],
) -> Result<String, PlotError> {
    let end = time_axis_length(facts);
    let values = lines.iter().flat_map(|line| line.pieces.iter().flatten()).map(|(_, value)| *value);
    let top = values.fold(1.0, f64::max) * 1.1;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(6)
            .margin_right(LEGEND_WIDTH)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_desc("seconds")
            .y_desc(unit)
            .x_labels(TIME_LABELS)
            .y_labels(5)
            .draw()?;
        for gap in gaps {
            draw_gap(&mut chart, *gap, end, top)?;
        }
        for (index, line) in lines.iter().enumerate() {
            draw_line(&area, &mut chart, index, line)?;
            draw_legend_row(&area, index, line)?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Draws a gap. It is hatched, so that it is visible in a black-and-white print.
fn draw_gap(chart: &mut Chart, gap: SecondSpan, end: f64, top: f64) -> Result<(), PlotError> {
    let from = gap.from.max(0.0);
    let to = gap.to.min(end);
    chart.draw_series([Rectangle::new([(from, 0.0), (to, top)], GAP_COLOUR.filled())])?;
    let step = end / HATCH_LINES;
    let hatch = (0..((to - from) / step).ceil() as usize).map(|index| {
        let second = from + index as f64 * step;
        PathElement::new([(second, 0.0), ((second + step).min(to), top)], HATCH_COLOUR)
    });
    chart.draw_series(hatch)?;
    Ok(())
}

fn draw_line(area: &Area, chart: &mut Chart, index: usize, line: &Line) -> Result<(), PlotError> {
    let style = colour_of(index).stroke_width(1 + (index % 2) as u32);
    for piece in &line.pieces {
        chart.draw_series(LineSeries::new(piece.iter().copied(), style))?;
    }
    // The markers of different lines start at different points, so that they do not cover each other.
    for point in line.pieces.iter().flatten().skip(index).step_by(MARKER_INTERVAL) {
        draw_marker(area, index, chart.backend_coord(point))?;
    }
    Ok(())
}

fn draw_legend_row(area: &Area, index: usize, line: &Line) -> Result<(), PlotError> {
    let x = SIZE.0 as i32 - LEGEND_MARKER_OFFSET;
    let y = LEGEND_TOP + LEGEND_ROW_HEIGHT * index as i32;
    draw_marker(area, index, (x, y))?;
    let style = LABEL_FONT.into_font().color(&BLACK);
    area.draw(&Text::new(line.name.clone(), (x + 10, y - 6), style))
}

/// Draws a marker. Its shape distinguishes a line from others without their colours.
fn draw_marker(area: &Area, index: usize, at: (i32, i32)) -> Result<(), PlotError> {
    let colour = colour_of(index);
    match index % 4 {
        0 => area.draw(&Circle::new(at, 3, colour.filled())),
        1 => area.draw(&TriangleMarker::new(at, 4, colour.filled())),
        2 => area.draw(&Cross::new(at, 3, colour.stroke_width(2))),
        _ => area.draw(&Circle::new(at, 3, colour.stroke_width(1))),
    }
}

fn colour_of(index: usize) -> RGBColor {
    COLOURS[index % COLOURS.len()]
}
