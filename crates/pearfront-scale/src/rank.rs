//! Evaluates the rows of a plan: the fitted cost at the target compared with the budget, and a ranking of the rows by the
//! fleet size at which each fails. `show` renders the outcome.

use crate::Point;
use crate::fit::Fit;
use crate::plan::{Plan, Row, Series, Stated};
use crate::show::number;
use serde::{Deserialize, Serialize};

/// The plan and all points of a run, as stored in `result.json`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Result {
    pub plan: Plan,
    /// Points of each series, in the order of the plan.
    pub measured: Vec<Vec<Point>>,
}

/// A row with its fit and the evaluation at the target.
#[derive(Debug, Clone, PartialEq)]
pub struct EvaluatedRow<'a> {
    pub series: &'a Series,
    pub row: &'a Row,
    pub fit: Fit,
    pub points: Vec<(f64, f64)>,
    /// Fitted figure at the target.
    pub at_target: f64,
    /// Standard error of the figure at the target, from the error of the slope alone.
    pub error: f64,
    /// Smallest fleet size at which it fails, by the fitted line or by a hard limit; `None` if it never does.
    pub fails_at: Option<f64>,
}

/// One entry of the ranking.
#[derive(Debug, Clone, PartialEq)]
pub struct RankedRow {
    pub name: String,
    /// Smallest fleet size at which it fails; 1 if it fails at any size.
    pub fails_at: f64,
    pub why: String,
    pub carried_by: String,
}

impl Result {
    /// Evaluated rows of the series that were measured at two sizes or more.
    ///
    /// # Errors
    /// A row whose figure was not measured or can't be fitted.
    pub fn rows(&self) -> std::result::Result<Vec<EvaluatedRow<'_>>, String> {
        let mut all = Vec::new();
        for (series, points) in self.series().filter(|(_, points)| is_enough(points)) {
            for row in &series.rows {
                all.push(
                    self.evaluate(series, row, points).map_err(|error| format!("{}: {error}", row.name))?,
                );
            }
        }
        Ok(all)
    }

    /// Rows without a fit, because too few of their points are valid.
    pub fn void(&self) -> Vec<&Row> {
        self.series().filter(|(_, points)| !is_enough(points)).flat_map(|(series, _)| &series.rows).collect()
    }

    fn series(&self) -> impl Iterator<Item = (&Series, &Vec<Point>)> {
        self.plan.series.iter().zip(&self.measured)
    }

    fn evaluate<'a>(
        &'a self,
        series: &'a Series,
        row: &'a Row,
        points: &[Point],
    ) -> std::result::Result<EvaluatedRow<'a>, String> {
        let figure = |point: &Point| Some((point.size, *point.figures.get(&row.figure)?));
        let fitted_points: Vec<(f64, f64)> = points.iter().filter_map(figure).collect();
        if fitted_points.len() != points.len() {
            return Err(format!(
                "{} of {} points have no figure {:?}",
                points.len() - fitted_points.len(),
                points.len(),
                row.figure
            ));
        }
        let fit = Fit::new(row.form, &fitted_points)?;
        let at_target = fit.at(row.at);
        let error = (fit.at(row.at) - fit.fixed).abs()
            * if fit.slope == 0.0 { 0.0 } else { fit.slope_error / fit.slope.abs() };
        let fails_at = self.fails_at(row, &fit);
        Ok(EvaluatedRow { series, row, fit, points: fitted_points, at_target, error, fails_at })
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
            // A quantity that does not grow with the fleet fails at every fleet size or at none.
            (size < row.at).then_some(1.0)
        }
    }

    /// Rows that fail at the target fleet or below, smallest fleet size first.
    ///
    /// # Errors
    /// The same as for `rows`.
    pub fn ranking(&self) -> std::result::Result<Vec<RankedRow>, String> {
        let fleet = self.plan.fleet;
        let of_row = |evaluated: &EvaluatedRow| {
            let fails_at = evaluated.fails_at.filter(|size| *size <= fleet)?;
            let (row, by) = (evaluated.row, &evaluated.series.by);
            let budget = row.budget.map_or(String::new(), |budget| format!(", budget {}", number(budget)));
            let bound = row.bound.filter(|bound| *bound < row.at);
            let bound = bound.map_or(String::new(), |bound| format!(", bound of {} {by}", number(bound)));
            let why = format!("{} {} at the target{budget}{bound}", number(evaluated.at_target), row.unit);
            Some(RankedRow {
                name: evaluated.row.name.clone(),
                fails_at,
                why,
                carried_by: evaluated.row.carried_by.clone(),
            })
        };
        let of_stated = |stated: &Stated| {
            let fails_at = stated.fails_at.filter(|size| *size <= fleet)?;
            let (figure, budget) = (number(stated.figure), number(stated.budget));
            let why = format!("{figure} {}, budget {budget} ({})", stated.unit, stated.how);
            Some(RankedRow {
                name: stated.name.clone(),
                fails_at,
                why,
                carried_by: stated.carried_by.clone(),
            })
        };
        let rows = self.rows()?;
        let mut all: Vec<RankedRow> =
            rows.iter().filter_map(of_row).chain(self.plan.stated.iter().filter_map(of_stated)).collect();
        all.sort_by(|a, b| a.fails_at.total_cmp(&b.fails_at).then(a.name.cmp(&b.name)));
        Ok(all)
    }
}

/// Whether points cover two sizes, which a slope needs.
fn is_enough(points: &[Point]) -> bool {
    points.iter().any(|point| point.size != points[0].size)
}
