//! Draws the latency quantiles of several arms as an SVG image.
//!
//! Invariant: the same histograms give the same text, whatever fonts are installed.

use hdrhistogram::Histogram;
use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoLogRange;
use plotters::prelude::LineSeries;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::style::BLACK;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

/// Width and height, in pixels.
const SIZE_PX: (u32, u32) = (900, 520);
/// The highest quantile that is drawn, as N where one in N requests is slower.
const MAX_RARITY: f64 = 10_000.0;
/// The number of steps between the points of a line.
const STEPS: u32 = 200;

/// One line of the image.
#[derive(Debug)]
pub struct Series<'a> {
    /// Its name in the legend.
    pub name: &'a str,
    /// Its latencies, in microseconds.
    pub latency: &'a Histogram<u64>,
}

/// The image could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("could not draw the image: {0}")]
pub struct Error(String);

/// Draws each latency series over N, where one in N requests is slower, with both axes
/// logarithmic.
///
/// # Errors
///
/// Returns an error if the drawing library fails.
pub fn quantiles(series: &[Series<'_>]) -> Result<String, Error> {
    let mut svg = String::new();
    draw(&mut svg, series).map_err(|error| Error(error.to_string()))?;
    Ok(svg)
}

fn draw(svg: &mut String, series: &[Series<'_>]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let lines: Vec<Vec<(f64, f64)>> = series.iter().map(|one| points(one.latency)).collect();
    let all = || lines.iter().flatten().map(|point| point.1);
    let low = all().fold(f64::INFINITY, f64::min).clamp(0.001, 1e6);
    let high = all().fold(low * 2.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("Latency by quantile", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d((1.0..MAX_RARITY).log_scale(), (low..high * 1.1).log_scale())?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("one request in N is slower").y_desc("latency, ms").draw()?;
    for (index, (one, line)) in series.iter().zip(lines).enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let drawn = chart.draw_series(LineSeries::new(line, color.stroke_width(2)))?;
        drawn.label(one.name).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2))
        });
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn points(latency: &Histogram<u64>) -> Vec<(f64, f64)> {
    if latency.is_empty() {
        return Vec::new();
    }
    let max_rarity = MAX_RARITY.min(latency.len() as f64);
    let at = |step: u32| {
        let rarity = max_rarity.powf(f64::from(step) / f64::from(STEPS));
        let micros = latency.value_at_quantile(1.0 - 1.0 / rarity);
        (rarity, micros as f64 / 1000.0)
    };
    (0..=STEPS).map(at).collect()
}
