//! Least-squares fits of a figure against size, for the rows of a result. Sizes lie a factor of two or more apart and figures
//! grow with them, so points are weighted by relative error; otherwise the largest point alone would determine the line.

use serde::{Deserialize, Serialize};

/// How a figure is expected to grow with size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    Linear,
    /// Proportional to the square of the size.
    Square,
    /// Proportional to the base-2 logarithm of the size.
    Log,
    /// Independent of size: the mean is taken.
    Constant,
}

impl Form {
    fn transform(self, size: f64) -> f64 {
        match self {
            Form::Linear => size,
            Form::Square => size * size,
            Form::Log => size.log2(),
            Form::Constant => 0.0,
        }
    }

    /// The size term as the Markdown table prints it.
    pub fn formula(self) -> &'static str {
        match self {
            Form::Linear => "x",
            Form::Square => "x^2",
            Form::Log => "log2 x",
            Form::Constant => "none",
        }
    }
}

/// A fitted line: `fixed + slope * form(size)`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fit {
    pub form: Form,
    pub fixed: f64,
    pub slope: f64,
    /// Standard errors of `fixed` and `slope`; 0 if there are no more points than unknowns.
    pub fixed_error: f64,
    pub slope_error: f64,
    /// Largest distance of a point from the line, relative to the point.
    pub farthest: f64,
    /// Exponent of growth over the range, fitted through the logarithms; 1 is linear.
    pub power: f64,
    /// Smallest and largest measured size.
    pub least: f64,
    pub most: f64,
    /// Number of points.
    pub points: usize,
}

impl Fit {
    /// Fits a line to points of size and figure.
    ///
    /// # Errors
    /// Fewer than two different sizes, or a size or figure that is not a usable number.
    pub fn new(form: Form, points: &[(f64, f64)]) -> Result<Self, String> {
        if points.iter().any(|(size, figure)| !size.is_finite() || !figure.is_finite() || *size <= 0.0) {
            return Err("a point is no number".into());
        }
        let least = points.iter().map(|point| point.0).fold(f64::INFINITY, f64::min);
        let most = points.iter().map(|point| point.0).fold(0.0, f64::max);
        if least >= most {
            return Err("a slope needs two sizes".into());
        }
        let scale = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let weighted: Vec<(f64, f64, f64)> = points
            .iter()
            .map(|(size, figure)| (form.transform(*size), *figure, weight(*figure, scale)))
            .collect();
        let (fixed, slope, fixed_error, slope_error) =
            if form == Form::Constant { mean(&weighted) } else { line(&weighted) };
        let relative_residual = |(x, figure, _): &(f64, f64, f64)| {
            (fixed + slope * x - figure).abs() / figure.abs().max(f64::MIN_POSITIVE)
        };
        let farthest =
            weighted.iter().filter(|point| point.1 != 0.0).map(relative_residual).fold(0.0, f64::max);
        let count = points.len();
        let power = power(points);
        Ok(Self { form, fixed, slope, fixed_error, slope_error, farthest, power, least, most, points: count })
    }

    /// Value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.slope * self.form.transform(size)
    }

    /// The size at which the line exceeds `bound`; `None` if it never does. Returns 1 if the line exceeds it already at
    /// size 1.
    pub fn crosses(&self, bound: f64) -> Option<f64> {
        if self.at(1.0) > bound {
            return Some(1.0);
        }
        if self.slope <= 0.0 || self.form == Form::Constant {
            return None;
        }
        let x = (bound - self.fixed) / self.slope;
        Some(match self.form {
            Form::Square => x.sqrt(),
            Form::Log => x.exp2(),
            _ => x,
        })
    }

    /// Ratio of a size to the largest measured size; 1 within the measured range.
    pub fn extrapolated(&self, size: f64) -> f64 {
        (size / self.most).max(1.0)
    }
}

/// Weight by relative error. A point near zero weighs no more than one at a thousandth of the largest, so that it does not
/// dominate the fit.
fn weight(figure: f64, scale: f64) -> f64 {
    let floor = (scale * 1e-3).max(f64::MIN_POSITIVE.sqrt());
    1.0 / figure.abs().max(floor).powi(2)
}

fn mean(points: &[(f64, f64, f64)]) -> (f64, f64, f64, f64) {
    let count = points.len() as f64;
    let mean = points.iter().map(|point| point.1).sum::<f64>() / count;
    let squares: f64 = points.iter().map(|point| (point.1 - mean).powi(2)).sum();
    let error = if count > 1.0 { (squares / (count - 1.0) / count).sqrt() } else { 0.0 };
    (mean, 0.0, error, 0.0)
}

/// Weighted least squares: intercept, slope and their standard errors.
fn line(points: &[(f64, f64, f64)]) -> (f64, f64, f64, f64) {
    let sum = |term: fn(&(f64, f64, f64)) -> f64| points.iter().map(term).sum::<f64>();
    let weights = sum(|point| point.2);
    let (x, y) = (sum(|point| point.2 * point.0) / weights, sum(|point| point.2 * point.1) / weights);
    let sum_xx: f64 = points.iter().map(|point| point.2 * (point.0 - x).powi(2)).sum();
    let sum_xy: f64 = points.iter().map(|point| point.2 * (point.0 - x) * (point.1 - y)).sum();
    let slope = sum_xy / sum_xx;
    let fixed = y - slope * x;
    let degrees_of_freedom = points.len() as f64 - 2.0;
    if degrees_of_freedom <= 0.0 {
        return (fixed, slope, 0.0, 0.0);
    }
    let residuals: f64 =
        points.iter().map(|point| point.2 * (fixed + slope * point.0 - point.1).powi(2)).sum();
    let variance = residuals / degrees_of_freedom;
    let fixed_error = (variance * (1.0 / weights + x * x / sum_xx)).sqrt();
    (fixed, slope, fixed_error, (variance / sum_xx).sqrt())
}

/// Slope of the line through the logarithms of size and figure; 0 if any figure is not above zero.
fn power(points: &[(f64, f64)]) -> f64 {
    if points.iter().any(|point| point.1 <= 0.0) {
        return 0.0;
    }
    let log_points: Vec<_> = points.iter().map(|(size, figure)| (size.ln(), figure.ln(), 1.0)).collect();
    line(&log_points).1
}
