//! The latency quantiles of several arms as an SVG picture.
//!
//! Invariant: the same histograms give the same text, whatever fonts there are.

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

/// Width and height in pixels.
const SIZE: (u32, u32) = (900, 520);
/// The rarest quantile that is drawn: one in so many.
const RAREST: f64 = 10_000.0;
/// Points of a line.
const POINTS: u32 = 200;

/// One line of the picture.
#[derive(Debug)]
pub struct Series<'a> {
    /// Its name in the legend.
    pub name: &'a str,
    /// The latencies, in microseconds.
    pub latency: &'a Histogram<u64>,
}

/// The picture could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the picture could not be drawn: {0}")]
pub struct Error(String);

/// Draws each series over "one in N requests is slower", both axes logarithmic.
///
/// # Errors
///
/// If the drawing library fails.
pub fn quantiles(series: &[Series<'_>]) -> Result<String, Error> {
    let mut svg = String::new();
    draw(&mut svg, series).map_err(|error| Error(error.to_string()))?;
    Ok(svg)
}

fn draw(svg: &mut String, series: &[Series<'_>]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
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
        .build_cartesian_2d((1.0..RAREST).log_scale(), (low..high * 1.1).log_scale())?;
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
    let rarest = RAREST.min(latency.len() as f64);
    let at = |step: u32| {
        let rarity = rarest.powf(f64::from(step) / f64::from(POINTS));
        let micros = latency.value_at_quantile(1.0 - 1.0 / rarity);
        (rarity, micros as f64 / 1000.0)
    };
    (0..=POINTS).map(at).collect()
}
