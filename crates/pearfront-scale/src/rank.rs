//! Rows: a slope times the target's number, beside its budget; and their order by the fleet size at which each fails.

use crate::Point;
use crate::fit::Fit;
use crate::plan::{Plan, Row, Series, Stated};
use crate::show::number;
use serde::{Deserialize, Serialize};

/// All that a run shows, as `result.json` has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Result {
    pub plan: Plan,
    /// By series, in the plan's order.
    pub measured: Vec<Vec<Point>>,
}

/// A row with all that is known of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Told<'a> {
    pub series: &'a Series,
    pub row: &'a Row,
    pub fit: Fit,
    pub points: Vec<(f64, f64)>,
    pub at_target: f64,
    /// Standard error of the figure at the target by the slope's alone.
    pub error: f64,
    /// Fleet size from which on it fails, if it does by the line or by a bound.
    pub fails_at: Option<f64>,
}

/// One place of the ranking.
#[derive(Debug, Clone, PartialEq)]
pub struct Place {
    pub name: String,
    /// Fleet size from which on it fails; 1 if it fails at any.
    pub fails_at: f64,
    pub why: String,
    pub carried_by: String,
}

impl Result {
    /// Rows of the series that were measured at two sizes or more.
    ///
    /// # Errors
    /// A row whose figure was not measured, or is no line.
    pub fn rows(&self) -> std::result::Result<Vec<Told<'_>>, String> {
        let mut all = Vec::new();
        for (series, points) in self.series().filter(|(_, points)| is_enough(points)) {
            for row in &series.rows {
                all.push(self.told(series, row, points).map_err(|what| format!("{}: {what}", row.name))?);
            }
        }
        Ok(all)
    }

    /// Rows that say nothing, as too few of their points came in time.
    pub fn void(&self) -> Vec<&Row> {
        self.series().filter(|(_, points)| !is_enough(points)).flat_map(|(series, _)| &series.rows).collect()
    }

    fn series(&self) -> impl Iterator<Item = (&Series, &Vec<Point>)> {
        self.plan.series.iter().zip(&self.measured)
    }

    fn told<'a>(
        &'a self,
        series: &'a Series,
        row: &'a Row,
        points: &[Point],
    ) -> std::result::Result<Told<'a>, String> {
        let figure = |point: &Point| Some((point.size, *point.figures.get(&row.figure)?));
        let found: Vec<(f64, f64)> = points.iter().filter_map(figure).collect();
        if found.len() != points.len() {
            return Err(format!(
                "{} of {} points have no figure {:?}",
                points.len() - found.len(),
                points.len(),
                row.figure
            ));
        }
        let fit = Fit::new(row.form, &found)?;
        let at_target = fit.at(row.at);
        let error = (fit.at(row.at) - fit.fixed).abs()
            * if fit.slope == 0.0 { 0.0 } else { fit.slope_error / fit.slope.abs() };
        let fails_at = self.fails_at(row, &fit);
        Ok(Told { series, row, fit, points: found, at_target, error, fails_at })
    }

    fn fails_at(&self, row: &Row, fit: &Fit) -> Option<f64> {
        let by_cost = row.budget.and_then(|budget| fit.crosses(budget));
        let size = match (by_cost, row.bound) {
            (Some(cost), Some(bound)) => Some(cost.min(bound)),
            (cost, bound) => cost.or(bound),
        }?;
        if row.grows {
            Some(size * self.plan.fleet / row.at)
        } else {
            // What does not grow with the fleet fails everywhere or nowhere.
            (size < row.at).then_some(1.0)
        }
    }

    /// Rows that fail at the target or before, the smallest fleet first.
    ///
    /// # Errors
    /// As `rows`.
    pub fn ranking(&self) -> std::result::Result<Vec<Place>, String> {
        let fleet = self.plan.fleet;
        let of_row = |told: &Told| {
            let fails_at = told.fails_at.filter(|size| *size <= fleet)?;
            let (row, by) = (told.row, &told.series.by);
            let budget = row.budget.map_or(String::new(), |budget| format!(", budget {}", number(budget)));
            let bound = row.bound.filter(|bound| *bound < row.at);
            let bound = bound.map_or(String::new(), |bound| format!(", bound of {} {by}", number(bound)));
            let why = format!("{} {} at the target{budget}{bound}", number(told.at_target), row.unit);
            Some(Place {
                name: told.row.name.clone(),
                fails_at,
                why,
                carried_by: told.row.carried_by.clone(),
            })
        };
        let of_stated = |stated: &Stated| {
            let fails_at = stated.fails_at.filter(|size| *size <= fleet)?;
            let (figure, budget) = (number(stated.figure), number(stated.budget));
            let why = format!("{figure} {}, budget {budget} ({})", stated.unit, stated.how);
            Some(Place { name: stated.name.clone(), fails_at, why, carried_by: stated.carried_by.clone() })
        };
        let rows = self.rows()?;
        let mut all: Vec<Place> =
            rows.iter().filter_map(of_row).chain(self.plan.stated.iter().filter_map(of_stated)).collect();
        all.sort_by(|a, b| a.fails_at.total_cmp(&b.fails_at).then(a.name.cmp(&b.name)));
        Ok(all)
    }
}

/// A slope needs two sizes.
fn is_enough(points: &[Point]) -> bool {
    points.iter().any(|point| point.size != points[0].size)
}
