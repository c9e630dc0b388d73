//! `pearfront scale`: measures the cost of each component by size, and finds the fleet size at which it exceeds its budget.

use crate::CommandError;
use pearfront_scale::measure::Measurement;
use pearfront_scale::plan::{Plan, Series};
use pearfront_scale::rank::Result as Outcome;
use pearfront_scale::{Point, show};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Attempts at a point that is void because the measurement itself ran late.
const MAX_ATTEMPTS: usize = 3;

/// Measure the cost of each component at several sizes, fit slopes, and compare them with the budgets of the target. Each point
/// runs in a process of its own, one after another; processor time is measured, not wall-clock time.
#[derive(clap::Args)]
pub struct Scale {
    /// The plan, such as `rehearsals/scale/fleet.toml`.
    plan: PathBuf,
    /// Folder for result.json, scale.md and a plot for each row.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Run only this measurement; with `--from`, run it again and take the others from the result.
    #[arg(long, value_name = "MEASUREMENT")]
    only: Option<String>,
    /// Take the points from an earlier result, and evaluate them against the plan as it is now.
    #[arg(long, value_name = "RESULT")]
    from: Option<PathBuf>,
}

/// Measures one point and prints it as JSON; `scale` runs it as a child process.
#[derive(clap::Args)]
pub struct ScalePoint {
    measure: String,
    size: usize,
    seconds: f64,
    seed: u64,
}

impl Scale {
    pub fn run(self) -> Result<(), CommandError> {
        let mut plan = Plan::parse(&read_text(&self.plan)?)
            .map_err(|error| CommandError::InvalidInput(format!("{}: {error}", self.plan.display())))?;
        let only = self.only.as_deref().map(parse_measurement).transpose()?;
        let old = self.from.as_deref().map(read_result).transpose()?;
        if old.is_none() {
            plan.series.retain(|series| only.is_none_or(|only| series.measure == only));
        }
        let points = |series: &Series| match &old {
            Some(old) if only != Some(series.measure) => Ok(points_of(old, series)),
            _ => measure(series),
        };
        let measured = plan.series.iter().map(points).collect::<Result<_, _>>()?;
        let outcome = Outcome { plan, measured };
        let page = show::markdown(&outcome).map_err(CommandError::Failed)?;
        println!("{page}");
        match &self.out {
            Some(folder) => write(folder, &outcome, &page),
            None => Ok(()),
        }
    }
}

impl ScalePoint {
    pub fn run(self) -> Result<(), CommandError> {
        let point = parse_measurement(&self.measure)?.run(self.size, self.seconds, self.seed);
        let point = point.map_err(CommandError::Failed)?;
        println!(
            "{}",
            serde_json::to_string(&point).map_err(|error| CommandError::Failed(error.to_string()))?
        );
        Ok(())
    }
}

fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|error| CommandError::InvalidInput(format!("{}: {error}", path.display())))
}

fn parse_measurement(name: &str) -> Result<Measurement, CommandError> {
    serde_json::from_value(name.into()).map_err(|error| CommandError::InvalidInput(error.to_string()))
}

fn measure(series: &Series) -> Result<Vec<Point>, CommandError> {
    let mut points = Vec::new();
    for size in &series.sizes {
        for seed in 1..=series.repeats {
            points.extend(measure_point(series, *size, seed)?);
        }
    }
    Ok(points)
}

/// Measures one point; none if every attempt was void, which is printed.
fn measure_point(series: &Series, size: usize, seed: u64) -> Result<Option<Point>, CommandError> {
    for attempt in 1..=MAX_ATTEMPTS {
        let point = run_point(series, size, seed)?;
        let (cpu, wall) = (point.cpu_s, point.wall_s);
        match &point.void {
            None => {
                eprintln!("{} at {size}: {cpu:.1} s of processor time in {wall:.1} s", series.by);
                return Ok(Some(point));
            }
            Some(reason) => {
                eprintln!("{} at {size}, attempt {attempt} of {MAX_ATTEMPTS}, is void: {reason}", series.by)
            }
        }
    }
    Ok(None)
}

/// Measures a point in a process of its own, so that the memory is that of this size alone.
fn run_point(series: &Series, size: usize, seed: u64) -> Result<Point, CommandError> {
    let failed = |message: String| CommandError::Failed(format!("{} at {size}: {message}", series.by));
    let own_program = std::env::current_exe().map_err(|error| failed(error.to_string()))?;
    let name = serde_json::to_value(series.measure).map_err(|error| failed(error.to_string()))?;
    let output = Command::new(own_program)
        .args(["--log-level", "error", "scale-point", name.as_str().unwrap_or_default()])
        .args([size.to_string(), series.seconds.to_string(), seed.to_string()])
        .stderr(Stdio::inherit())
        .output()
        .map_err(|error| failed(error.to_string()))?;
    if !output.status.success() {
        return Err(failed(output.status.to_string()));
    }
    serde_json::from_slice(&output.stdout).map_err(|error| failed(error.to_string()))
}

fn read_result(path: &Path) -> Result<Outcome, CommandError> {
    serde_json::from_str(&read_text(path)?)
        .map_err(|error| CommandError::InvalidInput(format!("{}: {error}", path.display())))
}

/// Points of an earlier result that belong to a series, matched by measurement and sizes, since rows, budgets and targets may
/// have changed. A series without a match counts as not measured.
fn points_of(old: &Outcome, series: &Series) -> Vec<Point> {
    let same_points = |other: &Series| (other.measure, &other.sizes) == (series.measure, &series.sizes);
    let index = old.plan.series.iter().position(same_points);
    index.and_then(|index| old.measured.get(index)).cloned().unwrap_or_default()
}

fn write(folder: &Path, outcome: &Outcome, page: &str) -> Result<(), CommandError> {
    let failed = |message: String| CommandError::Failed(format!("{}: {message}", folder.display()));
    std::fs::create_dir_all(folder).map_err(|error| failed(error.to_string()))?;
    let write_file = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).map_err(|error| failed(error.to_string()))
    };
    let json = serde_json::to_string_pretty(outcome).map_err(|error| failed(error.to_string()))?;
    write_file("result.json", &json)?;
    write_file("scale.md", page)?;
    for (index, ranked) in outcome.rows().map_err(CommandError::Failed)?.iter().enumerate() {
        match show::plot(ranked) {
            Ok(svg) => write_file(&format!("row-{index:02}.svg"), &svg)?,
            Err(message) => eprintln!("{}: {message}", ranked.row.name),
        }
    }
    Ok(())
}
