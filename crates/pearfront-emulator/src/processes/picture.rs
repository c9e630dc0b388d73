//! Draws the records of a run as SVG: one band for each process, in it one lane for each observer with the state it
//! reported, in colour. The faults injected into the process are marked above its lanes. Used for the scenario pages.

use super::test_cluster::{Act, Records};
use plotters::prelude::*;

/// Height of a lane and of the gap between two bands, and width of the whole picture, pixels.
const LANE: usize = 7;
const GAP: usize = 22;
const WIDTH: u32 = 1200;

fn colour(state: &str) -> RGBColor {
    match state {
        "alive" => RGBColor(120, 180, 120),
        "suspect" => RGBColor(240, 190, 60),
        "silent" => RGBColor(205, 90, 70),
        "ended" => RGBColor(110, 60, 120),
        _ => RGBColor(150, 150, 160),
    }
}

/// Renders the records of a run as SVG text.
///
/// # Errors
/// An element could not be drawn.
pub fn picture(records: &Records) -> Result<String, String> {
    let count = records.names.len();
    let band = count * LANE + GAP;
    let height = (count * band + 60) as u32;
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
    let told = |error: &dyn std::fmt::Display| error.to_string();
    area.fill(&WHITE).map_err(|error| told(&error))?;
    let x = |at: f64| 60 + (at / records.length.max(1.0) * f64::from(WIDTH - 80)) as i32;
    for of in 0..count {
        let top = (of * band + GAP) as i32;
        let label = Text::new(records.names[of].clone(), (8, top + 4), ("sans-serif", 14));
        area.draw(&label).map_err(|error| told(&error))?;
        for at in 0..count {
            let y = top + (at * LANE) as i32;
            let mut seen: Vec<(f64, Option<&str>)> = Vec::new();
            for (when, _, view) in records.views.iter().filter(|(_, who, _)| *who == at) {
                let state = view.member(&records.names[of]).map(|member| member.state.as_str());
                if seen.last().is_none_or(|(_, last)| *last != state) {
                    seen.push((*when, state));
                }
            }
            // A process that ended observes nothing any more.
            let over = records.acts.iter().filter(|(_, act)| ends(act, at));
            seen.extend(over.map(|(when, _)| (*when, None)));
            seen.sort_by(|one, other| one.0.total_cmp(&other.0));
            for (place, (from, state)) in seen.iter().enumerate() {
                let to = seen.get(place + 1).map_or(records.length, |next| next.0);
                let Some(state) = state else { continue };
                let corners = [(x(*from), y), (x(to).max(x(*from) + 1), y + LANE as i32 - 1)];
                let lane = Rectangle::new(corners, colour(state).filled());
                area.draw(&lane).map_err(|error| told(&error))?;
            }
        }
        for (when, what) in acts_of(records, of) {
            let mark = Text::new(what, (x(when), top - 14), ("sans-serif", 11));
            area.draw(&mark).map_err(|error| told(&error))?;
        }
    }
    let legend = "each band: how the others, one lane each, saw this process; green alive, yellow suspect, red silent, \
                  purple ended, grey left";
    let text = Text::new(legend, (60, height as i32 - 24), ("sans-serif", 13));
    area.draw(&text).map_err(|error| told(&error))?;
    area.present().map_err(|error| told(&error))?;
    drop(area);
    Ok(svg)
}

fn ends(act: &Act, one: usize) -> bool {
    matches!(act, Act::Killed { who } | Act::Ended { who } if *who == one)
}

/// Short labels of the faults injected into one process and into the links from it, with their times.
fn acts_of(records: &Records, of: usize) -> Vec<(f64, String)> {
    let mut marks: Vec<(f64, String)> = Vec::new();
    for (at, act) in &records.acts {
        let what = match act {
            Act::Started { who, .. } if *who == of => "starts".to_string(),
            Act::Killed { who } if *who == of => "killed".to_string(),
            Act::Ended { who } if *who == of => "ends".to_string(),
            Act::Stopped { who } if *who == of => "stopped".to_string(),
            Act::Continued { who } if *who == of => "goes on".to_string(),
            Act::Way { from, weather, .. } if *from == of => {
                let fine = *weather == super::relay::Weather::FINE;
                if fine { "ways fine".to_string() } else { "ways struck".to_string() }
            }
            _ => continue,
        };
        // One label for all links that change at once.
        if !marks.iter().any(|(when, known)| *known == what && at - when < 500.0) {
            marks.push((*at, what));
        }
    }
    marks
}
