//! Slopes by least squares. Sizes lie a factor of two or more apart and figures follow them, so each point counts by its
//! relative error: else the largest alone would make the line.

use serde::{Deserialize, Serialize};

/// How a figure is expected to follow its size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    Linear,
    /// With the square of the size.
    Square,
    /// With the logarithm of the size, base 2.
    Log,
    /// Not at all: the mean.
    Constant,
}

impl Form {
    fn of(self, size: f64) -> f64 {
        match self {
            Form::Linear => size,
            Form::Square => size * size,
            Form::Log => size.log2(),
            Form::Constant => 0.0,
        }
    }

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
    /// Standard errors of both; 0 where there are no more points than unknowns.
    pub fixed_error: f64,
    pub slope_error: f64,
    /// Farthest that a point lies from the line, as a share of the point.
    pub farthest: f64,
    /// Power with which the figure grows over the range, by a line through logarithms: 1 is linear.
    pub power: f64,
    pub least: f64,
    pub most: f64,
    pub points: usize,
}

impl Fit {
    /// Fits points of size and figure.
    ///
    /// # Errors
    /// Fewer than two sizes, or a figure that is no number.
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
        let weighted: Vec<(f64, f64, f64)> =
            points.iter().map(|(size, figure)| (form.of(*size), *figure, weight(*figure, scale))).collect();
        let (fixed, slope, fixed_error, slope_error) =
            if form == Form::Constant { mean(&weighted) } else { line(&weighted) };
        let off = |(x, figure, _): &(f64, f64, f64)| {
            (fixed + slope * x - figure).abs() / figure.abs().max(f64::MIN_POSITIVE)
        };
        let farthest = weighted.iter().filter(|point| point.1 != 0.0).map(off).fold(0.0, f64::max);
        let count = points.len();
        let power = power(points);
        Ok(Self { form, fixed, slope, fixed_error, slope_error, farthest, power, least, most, points: count })
    }

    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.slope * self.form.of(size)
    }

    /// The smallest size at which the line is over `bound`; none if it never is. A line that is over it already at size 1
    /// says 1.
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

    /// How far beyond the largest measured size, as a factor; 1 within the range.
    pub fn extrapolated(&self, size: f64) -> f64 {
        (size / self.most).max(1.0)
    }
}

/// By relative error; a point near zero counts no more than one of a thousandth of the largest.
fn weight(figure: f64, scale: f64) -> f64 {
    let least = (scale * 1e-3).max(f64::MIN_POSITIVE.sqrt());
    1.0 / figure.abs().max(least).powi(2)
}

fn mean(points: &[(f64, f64, f64)]) -> (f64, f64, f64, f64) {
    let count = points.len() as f64;
    let mean = points.iter().map(|point| point.1).sum::<f64>() / count;
    let squares: f64 = points.iter().map(|point| (point.1 - mean).powi(2)).sum();
    let error = if count > 1.0 { (squares / (count - 1.0) / count).sqrt() } else { 0.0 };
    (mean, 0.0, error, 0.0)
}

/// Weighted least squares: fixed part, slope and their standard errors.
fn line(points: &[(f64, f64, f64)]) -> (f64, f64, f64, f64) {
    let sum = |of: fn(&(f64, f64, f64)) -> f64| points.iter().map(of).sum::<f64>();
    let weights = sum(|point| point.2);
    let (x, y) = (sum(|point| point.2 * point.0) / weights, sum(|point| point.2 * point.1) / weights);
    let across: f64 = points.iter().map(|point| point.2 * (point.0 - x).powi(2)).sum();
    let along: f64 = points.iter().map(|point| point.2 * (point.0 - x) * (point.1 - y)).sum();
    let slope = along / across;
    let fixed = y - slope * x;
    let free = points.len() as f64 - 2.0;
    if free <= 0.0 {
        return (fixed, slope, 0.0, 0.0);
    }
    let left: f64 = points.iter().map(|point| point.2 * (fixed + slope * point.0 - point.1).powi(2)).sum();
    let variance = left / free;
    let fixed_error = (variance * (1.0 / weights + x * x / across)).sqrt();
    (fixed, slope, fixed_error, (variance / across).sqrt())
}

/// Slope through the logarithms of both; 0 where a figure is not above zero.
fn power(points: &[(f64, f64)]) -> f64 {
    if points.iter().any(|point| point.1 <= 0.0) {
        return 0.0;
    }
    let logs: Vec<_> = points.iter().map(|(size, figure)| (size.ln(), figure.ln(), 1.0)).collect();
    line(&logs).1
}
