//! Renders a result as Markdown tables (`scale.md`, stdout) and SVG plots.

use crate::rank::{EvaluatedRow, Result};
use plotters::prelude::*;
use std::fmt::Write;

/// Width and height of a plot, pixels.
const PLOT_SIZE: (u32, u32) = (640, 360);

/// Formats a figure with its significant digits only.
pub fn number(value: f64) -> String {
    let size = value.abs();
    match size {
        _ if !value.is_finite() => "-".into(),
        0.0 => "0".into(),
        1e12.. => format!("{value:.0e}"),
        1000.0.. => thousands(value.round() as i64),
        100.0.. => format!("{value:.0}"),
        10.0.. => format!("{value:.1}"),
        1.0.. => format!("{value:.2}"),
        0.01.. => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}

fn thousands(value: i64) -> String {
    let digits = value.unsigned_abs().to_string();
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0 { format!("-{text}") } else { text }
}

/// The whole result as Markdown: points, slopes and ranking.
///
/// # Errors
/// A row that can't be fitted.
pub fn markdown(result: &Result) -> std::result::Result<String, String> {
    let mut text = String::new();
    let rows = result.rows()?;
    let mut line = |content: std::fmt::Arguments| {
        // Writing into a string can't fail.
        let _ = writeln!(text, "{content}");
    };
    line(format_args!("## Points"));
    for (series, points) in result.plan.series.iter().zip(&result.measured) {
        line(format_args!("\n`{}` by {}:\n", measurement(series.measure), series.by));
        let figures: Vec<&String> =
            points.first().map(|point| point.figures.keys().collect()).unwrap_or_default();
        let headers: Vec<&str> = figures.iter().map(|figure| figure.as_str()).collect();
        line(format_args!("| size | {} | peak MB | CPU s | share of a core |", headers.join(" | ")));
        line(format_args!("|{}", " --- |".repeat(headers.len() + 4)));
        for point in points {
            let cells: Vec<String> = figures
                .iter()
                .map(|figure| point.figures.get(*figure).map_or("-".into(), |value| number(*value)))
                .collect();
            line(format_args!(
                "| {} | {} | {} | {} | {} |",
                number(point.size),
                cells.join(" | "),
                number(point.peak_mb),
                number(point.cpu_s),
                number(point.share())
            ));
        }
    }
    line(format_args!("\n## Slopes\n"));
    line(format_args!(
        "| row | line | error of the slope | farthest point | power | range | at the target | budget | extrapolated | fails from | carried by |"
    ));
    line(format_args!("|{}", " --- |".repeat(11)));
    for evaluated in &rows {
        line(format_args!("{}", slope(evaluated)));
    }
    for row in result.void() {
        line(format_args!("| {} ({}) | void or not measured |", row.name, row.unit));
    }
    line(format_args!("\n## Ranking\n"));
    line(format_args!("| place | row | fails from a fleet of | why | carried by |"));
    line(format_args!("| --- | --- | --- | --- | --- |"));
    for (index, row) in result.ranking()?.iter().enumerate() {
        let from = if row.fails_at <= 1.0 { "any".into() } else { number(row.fails_at) };
        line(format_args!("| {} | {} | {from} | {} | {} |", index + 1, row.name, row.why, row.carried_by));
    }
    Ok(text)
}

fn measurement(measure: crate::measure::Measurement) -> String {
    serde_json::to_value(measure)
        .ok()
        .and_then(|value| value.as_str().map(str::to_string))
        .unwrap_or_default()
}

fn slope(evaluated: &EvaluatedRow) -> String {
    let (row, fit) = (evaluated.row, &evaluated.fit);
    let formula = match row.form {
        crate::fit::Form::Constant => number(fit.fixed),
        form => format!("{} + {} {}", number(fit.fixed), number(fit.slope), form.formula()),
    };
    let error = if fit.slope == 0.0 {
        fit.fixed_error / fit.fixed.abs().max(f64::MIN_POSITIVE)
    } else {
        fit.slope_error / fit.slope.abs()
    };
    let fails = match evaluated.fails_at {
        None => "never".into(),
        Some(size) if size <= 1.0 => "any fleet".into(),
        Some(size) => number(size),
    };
    // Two points always lie on a line, so they give no estimate of the error.
    let share = |share: f64| if fit.points > 2 { format!("{:.0} %", share * 100.0) } else { "-".into() };
    format!(
        "| {} ({}), x = {} | {formula} | {} | {} | {:.2} | {} to {}, {} points | {} at {} | {} | x {} | {fails} | {} |",
        row.name,
        row.unit,
        evaluated.series.by,
        share(error),
        share(fit.farthest),
        fit.power,
        number(fit.least),
        number(fit.most),
        fit.points,
        number(evaluated.at_target),
        number(row.at),
        row.budget.map_or("-".into(), number),
        number(fit.extrapolated(row.at)),
        row.carried_by
    )
}

/// Plots the points and the fitted line of a row, with logarithmic axes, as SVG.
///
/// # Errors
/// No value above zero, or an error of the drawing library.
pub fn plot(evaluated: &EvaluatedRow) -> std::result::Result<String, String> {
    let fit = &evaluated.fit;
    let (left, right) = (fit.least * 0.8, fit.most.max(evaluated.row.at) * 1.25);
    let steps = 60;
    let size_at_step = |step: i32| left * (right / left).powf(f64::from(step) / f64::from(steps));
    let curve: Vec<(f64, f64)> = (0..=steps).map(size_at_step).map(|size| (size, fit.at(size))).collect();
    let is_positive = |value: &f64| *value > 0.0 && value.is_finite();
    let values = || {
        curve
            .iter()
            .chain(&evaluated.points)
            .map(|point| point.1)
            .chain(evaluated.row.budget)
            .filter(is_positive)
    };
    let (low, high) = (values().fold(f64::INFINITY, f64::min) * 0.7, values().fold(0.0, f64::max) * 1.4);
    if !(low > 0.0 && high > low) {
        return Err("nothing to plot: no value above zero".into());
    }
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
    let draw = || -> std::result::Result<(), Box<dyn std::error::Error + '_>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&evaluated.row.name, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(64)
            .build_cartesian_2d((left..right).log_scale(), (low..high).log_scale())?;
        chart
            .configure_mesh()
            .x_desc(evaluated.series.by.as_str())
            .y_desc(evaluated.row.unit.as_str())
            .draw()?;
        let visible_curve = curve.iter().copied().filter(|point| point.1 > low);
        chart.draw_series(LineSeries::new(visible_curve, BLUE.stroke_width(2)))?;
        let points = evaluated.points.iter().filter(|point| point.1 > low);
        chart.draw_series(points.map(|point| Circle::new(*point, 4, BLACK.filled())))?;
        if let Some(budget) = evaluated.row.budget {
            chart.draw_series(LineSeries::new([(left, budget), (right, budget)], RED.stroke_width(1)))?;
        }
        area.present()?;
        Ok(())
    };
    draw().map_err(|error| format!("plot: {error}"))?;
    drop(area);
    Ok(svg)
}
