//! Line plots as SVG files: [`draw_lines`].

use plotters::prelude::*;
use std::io;
use std::path::Path;
use thiserror::Error;

/// The reason for which a plot cannot be drawn.
#[derive(Debug, Error)]
pub(crate) enum ChartError {
    /// The folder cannot be created.
    #[error("{0}")]
    Folder(#[from] io::Error),
    /// The plot cannot be drawn or written.
    #[error("{0}")]
    Drawing(#[from] DrawingAreaErrorKind<io::Error>),
}

/// The name of a line in the legend, and its points.
pub(crate) type Line = (&'static str, Vec<(f64, f64)>);

/// Draws up to three lines into an SVG file, with `x` as the label of the horizontal axis.
pub(crate) fn draw_lines(path: &Path, title: &str, x: &str, lines: &[Line]) -> Result<(), ChartError> {
    const COLOURS: [RGBColor; 3] = [BLUE, GREEN, RED];
    let points = || lines.iter().flat_map(|(_, points)| points);
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(x).draw()?;
    for ((name, points), colour) in lines.iter().zip(COLOURS) {
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
        chart.draw_series(points.iter().map(|point| Circle::new(*point, 3, colour.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
