//! Plots a report: time to the end of the answer by quantile, one line for each variant.

use std::path::Path;

use plotters::prelude::*;

use crate::report::{Report, Variant};

/// Width and height of the plot.
const SIZE_PX: (u32, u32) = (900, 540);
/// Size of the areas for axis labels.
const LABEL_MARGIN_PX: u32 = 60;

/// Why a plot could not be written.
#[derive(Debug, thiserror::Error)]
#[error("plot cannot be written: {0}")]
pub struct Error(String);

/// Writes the plot of a report as SVG.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write(path: &Path, report: &Report) -> Result<(), Error> {
    draw(path, report).map_err(|error| Error(error.to_string()))
}

fn draw(path: &Path, report: &Report) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let highest = report.variants.iter().flat_map(points).map(|point| point.1);
    let highest = highest.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption("time to the end of the answer", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(LABEL_MARGIN_PX)
        .y_label_area_size(LABEL_MARGIN_PX)
        .build_cartesian_2d(0.0..1.0, (0.01..highest * 1.1).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("quantile")
        .y_desc("milliseconds")
        .draw()?;
    for (index, variant) in report.variants.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points(variant), colour.stroke_width(2)))?
            .label(&variant.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a plot shows three digits at most"
)]
fn points(variant: &Variant) -> Vec<(f64, f64)> {
    let curve = variant.all.whole.curve.iter();
    curve
        .map(|(quantile, micros)| (*quantile, *micros as f64 / 1000.0))
        .collect()
}
