//! `pearfront scale`: what each part costs by size, and the fleet size at which a row fails.

use crate::Trouble;
use pearfront_scale::measure::Measurement;
use pearfront_scale::plan::{Plan, Series};
use pearfront_scale::rank::Result as Outcome;
use pearfront_scale::{Point, show};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Tries of a point whose rig was late.
const TRIES: usize = 3;

/// Measure what each part costs at several sizes, fit slopes, and hold them against the target's budgets. Each point runs in
/// a process of its own, one after another; processor time counts, not time.
#[derive(clap::Args)]
pub struct Scale {
    /// The plan (`rehearsals/scale/fleet.toml`).
    plan: PathBuf,
    /// Folder for result.json, scale.md and a plot of each row.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Only this measurement; with `--from`, this one anew beside the others as they were.
    #[arg(long, value_name = "MEASUREMENT")]
    only: Option<String>,
    /// Points of a result that was written before, held against the plan as it is now.
    #[arg(long, value_name = "RESULT")]
    from: Option<PathBuf>,
}

/// One point, for `scale` itself: prints it as JSON.
#[derive(clap::Args)]
pub struct PointOf {
    measure: String,
    size: usize,
    seconds: f64,
    seed: u64,
}

impl Scale {
    pub fn run(self) -> Result<(), Trouble> {
        let mut plan = Plan::parse(&text(&self.plan)?)
            .map_err(|mistake| Trouble::Input(format!("{}: {mistake}", self.plan.display())))?;
        let only = self.only.as_deref().map(measurement).transpose()?;
        let old = self.from.as_deref().map(read).transpose()?;
        if old.is_none() {
            plan.series.retain(|series| only.is_none_or(|only| series.measure == only));
        }
        let points = |series: &Series| match &old {
            Some(old) if only != Some(series.measure) => Ok(taken_from(old, series)),
            _ => measure(series),
        };
        let measured = plan.series.iter().map(points).collect::<Result<_, _>>()?;
        let outcome = Outcome { plan, measured };
        let page = show::markdown(&outcome).map_err(Trouble::Undone)?;
        println!("{page}");
        match &self.out {
            Some(folder) => write(folder, &outcome, &page),
            None => Ok(()),
        }
    }
}

impl PointOf {
    pub fn run(self) -> Result<(), Trouble> {
        let point = measurement(&self.measure)?.run(self.size, self.seconds, self.seed);
        let point = point.map_err(Trouble::Undone)?;
        println!("{}", serde_json::to_string(&point).map_err(|error| Trouble::Undone(error.to_string()))?);
        Ok(())
    }
}

fn text(path: &Path) -> Result<String, Trouble> {
    std::fs::read_to_string(path).map_err(|error| Trouble::Input(format!("{}: {error}", path.display())))
}

fn measurement(name: &str) -> Result<Measurement, Trouble> {
    serde_json::from_value(name.into()).map_err(|error| Trouble::Input(error.to_string()))
}

fn measure(series: &Series) -> Result<Vec<Point>, Trouble> {
    let mut points = Vec::new();
    for size in &series.sizes {
        for seed in 1..=series.repeats {
            points.extend(in_time(series, *size, seed)?);
        }
    }
    Ok(points)
}

/// One point; none if each try was void, which is told.
fn in_time(series: &Series, size: usize, seed: u64) -> Result<Option<Point>, Trouble> {
    for attempt in 1..=TRIES {
        let point = point(series, size, seed)?;
        let (cpu, wall) = (point.cpu_s, point.wall_s);
        match &point.void {
            None => {
                eprintln!("{} at {size}: {cpu:.1} s of processor time in {wall:.1} s", series.by);
                return Ok(Some(point));
            }
            Some(why) => eprintln!("{} at {size}, try {attempt} of {TRIES}, is void: {why}", series.by),
        }
    }
    Ok(None)
}

/// A point in a process of its own: memory is that of this size alone.
fn point(series: &Series, size: usize, seed: u64) -> Result<Point, Trouble> {
    let undone = |what: String| Trouble::Undone(format!("{} at {size}: {what}", series.by));
    let own = std::env::current_exe().map_err(|error| undone(error.to_string()))?;
    let name = serde_json::to_value(series.measure).map_err(|error| undone(error.to_string()))?;
    let ended = Command::new(own)
        .args(["--log-level", "error", "scale-point", name.as_str().unwrap_or_default()])
        .args([size.to_string(), series.seconds.to_string(), seed.to_string()])
        .stderr(Stdio::inherit())
        .output()
        .map_err(|error| undone(error.to_string()))?;
    if !ended.status.success() {
        return Err(undone(ended.status.to_string()));
    }
    serde_json::from_slice(&ended.stdout).map_err(|error| undone(error.to_string()))
}

fn read(path: &Path) -> Result<Outcome, Trouble> {
    serde_json::from_str(&text(path)?).map_err(|error| Trouble::Input(format!("{}: {error}", path.display())))
}

/// Points of a result, by measurement and sizes: rows, budgets and targets may have changed since. What it has not was not
/// measured.
fn taken_from(old: &Outcome, series: &Series) -> Vec<Point> {
    let same = |other: &Series| (other.measure, &other.sizes) == (series.measure, &series.sizes);
    let place = old.plan.series.iter().position(same);
    place.and_then(|place| old.measured.get(place)).cloned().unwrap_or_default()
}

fn write(folder: &Path, outcome: &Outcome, page: &str) -> Result<(), Trouble> {
    let undone = |what: String| Trouble::Undone(format!("{}: {what}", folder.display()));
    std::fs::create_dir_all(folder).map_err(|error| undone(error.to_string()))?;
    let put = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).map_err(|error| undone(error.to_string()))
    };
    let json = serde_json::to_string_pretty(outcome).map_err(|error| undone(error.to_string()))?;
    put("result.json", &json)?;
    put("scale.md", page)?;
    for (place, told) in outcome.rows().map_err(Trouble::Undone)?.iter().enumerate() {
        match show::plot(told) {
            Ok(svg) => put(&format!("row-{place:02}.svg"), &svg)?,
            Err(what) => eprintln!("{}: {what}", told.row.name),
        }
    }
    Ok(())
}
