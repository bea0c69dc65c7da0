//! The errors of rendering a report.

use plotters::drawing::DrawingAreaErrorKind;

/// The reason why a plot cannot be drawn.
pub type PlotError = DrawingAreaErrorKind<std::io::Error>;

/// The reason why a report cannot be rendered.
#[derive(Debug, thiserror::Error)]
pub enum RenderError {
    /// The template is invalid or cannot be rendered.
    #[error(transparent)]
    Template(#[from] minijinja::Error),
    /// A plot cannot be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
}
