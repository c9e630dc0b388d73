//! Reports of a play: `result.json`, a table by second and an HTML page with plots; and the comparison of two
//! sets of results. Only generates text; the clients of this module write the files.

use crate::judge::{Second, Verdict};
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Version of `result.json`; raised on incompatible changes.
pub const VERSION: u32 = 1;
/// Number of standard errors beyond which a difference is more than noise.
const NOISE_STD_ERRORS: f64 = 2.0;
/// Differences in service up to this are noise however little the seeds vary: smaller ones have never been
/// conclusive.
const MIN_NOISE: f64 = 0.005;
const SIZE: (u32, u32) = (960, 260);

#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Outcome {
    pub version: u32,
    pub scenario: String,
    pub play: String,
    pub policy: String,
    pub seed: u64,
    /// A service curve recorded elsewhere, by second, and its mean distance from the curve of this play.
    pub recorded: Vec<(f64, f64)>,
    pub recorded_distance: Option<f64>,
    pub verdict: Verdict,
}

impl Outcome {
    pub fn new(
        scenario: &crate::scenario::Scenario,
        play: &str,
        policy: &str,
        seed: u64,
        verdict: Verdict,
    ) -> Self {
        let mut outcome = Self {
            version: VERSION,
            scenario: scenario.name.clone(),
            play: play.into(),
            policy: policy.into(),
            seed,
            recorded: scenario.recorded.clone(),
            recorded_distance: None,
            verdict,
        };
        outcome.recorded_distance = outcome.distance();
        outcome
    }

    pub fn json(&self) -> String {
        let mut text = serde_json::to_string_pretty(self).unwrap_or_default();
        text.push('\n');
        text
    }

    pub fn from_json(text: &str) -> Result<Self, String> {
        let outcome: Self = serde_json::from_str(text).map_err(|error| error.to_string())?;
        if outcome.version != VERSION {
            return Err(format!("version {} of a result; this program reads {VERSION}", outcome.version));
        }
        Ok(outcome)
    }

    /// Mean absolute distance to the recorded curve; each of its points covers the time up to the next one.
    fn distance(&self) -> Option<f64> {
        let spans: Vec<(f64, f64)> = self.spans()?;
        let distance = |((_, was), (_, is)): (&(f64, f64), &(f64, f64))| (was - is).abs();
        Some(self.recorded.iter().zip(&spans).map(distance).sum::<f64>() / spans.len() as f64)
    }

    /// Service of this play over the same spans as the recorded points.
    fn spans(&self) -> Option<Vec<(f64, f64)>> {
        let starts: Vec<f64> = self.recorded.iter().map(|point| point.0).collect();
        let end = self.verdict.seconds.len() as f64;
        let ends = starts.iter().skip(1).copied().chain([end]);
        let service = |(from, to): (&f64, f64)| {
            let within = self.verdict.seconds.iter().skip(*from as usize).take((to - from).max(1.0) as usize);
            let (asked, served) =
                within.fold((0.0, 0.0), |sum, second| (sum.0 + second.asked, sum.1 + second.served));
            (*from, if asked > 0.0 { served / asked } else { 1.0 })
        };
        let spans: Vec<(f64, f64)> = starts.iter().zip(ends).map(service).collect();
        (!spans.is_empty()).then_some(spans)
    }

    /// Distance of the combined curve of these plays to the recorded curve; varies less with the seed than that
    /// of a single play.
    pub fn distance_together(outcomes: &[Self]) -> Option<f64> {
        let mut all = outcomes.first()?.clone();
        for outcome in &outcomes[1..] {
            for (sum, second) in all.verdict.seconds.iter_mut().zip(&outcome.verdict.seconds) {
                sum.asked += second.asked;
                sum.served += second.served;
            }
        }
        all.distance()
    }

    /// A tab-separated table with one line per second.
    pub fn table(&self) -> String {
        let mut text = String::from(
            "second\tasked\tserved\tservice\tjobs\tattempts\tattempts_served\terrors\tturned_away\tunanswered\tattempts_mean\tattempts_most\n",
        );
        for (at, second) in self.verdict.seconds.iter().enumerate() {
            let Second {
                asked,
                served,
                requests,
                attempts,
                attempts_served,
                errors,
                turned_away,
                unanswered,
                ..
            } = second;
            let service = if *asked > 0.0 { served / asked } else { 1.0 };
            let _ = writeln!(
                text,
                "{at}\t{asked}\t{served}\t{service:.4}\t{requests}\t{attempts}\t{attempts_served}\t{errors}\t{turned_away}\t{unanswered}\t\
                 {:.2}\t{}",
                second.attempts_mean, second.attempts_most
            );
        }
        text
    }

    /// A self-contained HTML page.
    pub fn page(&self) -> Result<String, String> {
        let verdict = &self.verdict;
        let seconds = &verdict.seconds;
        let by = |part: fn(&Second) -> f64| -> Vec<(f64, f64)> {
            seconds.iter().enumerate().map(|(at, second)| (at as f64, part(second))).collect()
        };
        let share = |second: &Second| if second.asked > 0.0 { second.served / second.asked } else { 1.0 };
        let service = seconds.iter().enumerate().map(|(at, second)| (at as f64, share(second))).collect();
        let mut curves = vec![("service", service)];
        if !self.recorded.is_empty() {
            curves.push(("recorded", self.recorded.clone()));
        }
        let attempts_served = by(|second| second.attempts_served as f64);
        let plots = [
            ("Service by second (gain served in time over gain asked for)", plot(&curves, Some(1.0))?),
            (
                "Attempts a second by ending",
                plot(
                    &[
                        ("served", attempts_served),
                        ("errors", by(|second| second.errors as f64)),
                        ("turned away", by(|second| second.turned_away as f64)),
                        ("unanswered", by(|second| second.unanswered as f64)),
                    ],
                    None,
                )?,
            ),
            (
                "Attempts a second at a server of the first tier",
                plot(
                    &[
                        ("mean", by(|second| second.attempts_mean)),
                        ("highest", by(|second| second.attempts_most as f64)),
                    ],
                    None,
                )?,
            ),
        ];
        let mut page = format!(
            "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:15px sans-serif;max-width:62em;\
             margin:2em auto}}td,th{{padding:.2em .8em;text-align:left}}</style><h1>{0}</h1><p>{1}, {2}, seed {3}. \
             Servers, callers and discovery are simulated.</p><pre>{4}</pre>",
            escape(&self.scenario),
            escape(&self.play),
            escape(&self.policy),
            self.seed,
            escape(&verdict.line())
        );
        if let Some(distance) = self.recorded_distance {
            let _ = write!(page, "<p>Mean distance from the recorded curve: {distance:.3}.</p>");
        }
        for finding in &verdict.broken {
            let _ =
                write!(page, "<h3>Rule broken: {} ({} times)</h3><ul>", escape(&finding.rule), finding.cases);
            finding.examples.iter().for_each(|case| {
                let _ = write!(page, "<li>{}</li>", escape(case));
            });
            page.push_str("</ul>");
        }
        for (title, svg) in plots {
            let _ = write!(page, "<h2>{title}</h2>{svg}");
        }
        for (title, shares) in [("Profiles", &verdict.profiles), ("Customers", &verdict.customers)] {
            let _ = write!(page, "<h2>{title}</h2><table><tr><th>name<th>gain asked for<th>service");
            for share in shares {
                let name = escape(&share.name);
                let _ = write!(page, "<tr><td>{name}<td>{:.0}<td>{:.3}", share.asked, share.service());
            }
            page.push_str("</table>");
        }
        page.push_str("<h2>What the script did</h2><table>");
        for (at, what) in &verdict.script {
            let _ = write!(page, "<tr><td>{at:.1} s<td>{}", escape(what));
        }
        page.push_str("</table>\n");
        Ok(page)
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn plot(curves: &[(&str, Vec<(f64, f64)>)], most: Option<f64>) -> Result<String, String> {
    let points = || curves.iter().flat_map(|(_, points)| points);
    let right = points().fold(1.0, |right: f64, point| right.max(point.0));
    let top = most.unwrap_or_else(|| points().fold(1.0, |top: f64, point| top.max(point.1)));
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    let draw = || -> Result<(), Box<dyn std::error::Error + '_>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..right, 0.0..top * 1.05)?;
        chart.configure_mesh().x_desc("second").draw()?;
        for (at, (name, points)) in curves.iter().enumerate() {
            let colour = Palette99::pick(at).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|error| format!("plot: {error}"))?;
    drop(area);
    Ok(svg)
}

/// Name of a figure, and how to read it from a verdict.
type Figure = (&'static str, fn(&Verdict) -> f64);

/// Comparison of one figure between two sets of plays.
#[derive(Debug, Clone, PartialEq)]
pub struct Compared {
    pub figure: &'static str,
    pub one: f64,
    pub other: f64,
    /// Difference that random variation alone explains, estimated from the seeds.
    pub noise: f64,
}

impl Compared {
    pub fn says(&self) -> &'static str {
        if (self.other - self.one).abs() <= self.noise {
            "within noise"
        } else if self.other > self.one {
            "higher"
        } else {
            "lower"
        }
    }
}

/// Compares two sets of plays of one scenario, with several seeds each.
pub fn compare(one: &[Outcome], other: &[Outcome]) -> Result<Vec<Compared>, String> {
    let (Some(first), Some(second)) = (one.first(), other.first()) else {
        return Err("a folder without results".into());
    };
    for outcome in one.iter().chain(other) {
        if outcome.scenario != first.scenario {
            return Err(format!("{:?} and {:?} are different scenarios", first.scenario, second.scenario));
        }
    }
    let figures: [Figure; 7] = [
        ("service", |verdict| verdict.service),
        ("worst_10s", |verdict| verdict.worst_10s),
        ("worst_profile", |verdict| Verdict::worst(&verdict.profiles)),
        ("worst_customer", |verdict| Verdict::worst(&verdict.customers)),
        ("attempts_a_job", |verdict| verdict.attempts_per_request),
        ("wasted", |verdict| verdict.wasted),
        ("p99_ms", |verdict| verdict.p99_ms),
    ];
    let compared = figures.map(|(figure, of)| {
        let values = |set: &[Outcome]| set.iter().map(|outcome| of(&outcome.verdict)).collect::<Vec<f64>>();
        let (one, other) = (values(one), values(other));
        let (a, b) = (mean(&one), mean(&other));
        let least = if figure == "p99_ms" { 0.02 * a.max(b) } else { MIN_NOISE };
        let noise = (NOISE_STD_ERRORS * (error(&one).powi(2) + error(&other).powi(2)).sqrt()).max(least);
        Compared { figure, one: a, other: b, noise }
    });
    Ok(compared.to_vec())
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Standard error of the mean; infinite for a single value, from which noise can't be estimated.
fn error(values: &[f64]) -> f64 {
    let (count, mean) = (values.len() as f64, mean(values));
    if values.len() < 2 {
        return f64::INFINITY;
    }
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    (squares / (count - 1.0) / count).sqrt()
}

#[cfg(test)]
mod tests;
