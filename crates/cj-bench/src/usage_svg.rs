//! Chart of the use of the spare pool.

use std::{collections::BTreeMap, time::Duration};

use plotters::prelude::*;

use cj_fleet::UsageSample;
use cj_types::{Error, ErrorKind, Result, TeamId, UnixMillis};

const SIZE: (u32, u32) = (960, 480);

/// Steps of the time axis; each shows the mean over its span.
const STEPS: usize = 120;

const MINUTE: f64 = 60.0;

/// Draws the spare VMs in use by borrowing team over time, stacked, as an SVG document. The area of a team is its spare
/// VM time. Fails when the chart can't be drawn.
pub fn usage_svg(samples: &[UsageSample], end: UnixMillis) -> Result<String> {
    let mut svg = String::new();
    draw(samples, end, &mut svg).map_err(|problem| {
        Error::new(ErrorKind::Io(problem.into()), "check the usage samples and try again")
    })?;
    Ok(svg)
}

fn draw(samples: &[UsageSample], end: UnixMillis, svg: &mut String) -> Result<(), String> {
    let start = samples.first().map_or(end, |s| s.at);
    let span = end.since(start).max(Duration::from_secs(1)).as_secs_f64();
    let teams = means(samples, start, end);
    let totals = (0..STEPS).map(|i| teams.values().map(|m| m[i]).sum::<f64>());
    let top = totals.fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| e.to_string())?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Spare VMs in use by borrowing team", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..span / MINUTE, 0.0..top)
        .map_err(|e| e.to_string())?;
    chart.configure_mesh().x_desc("minutes").y_desc("VMs").draw().map_err(|e| e.to_string())?;
    // Stacked from the top down, so that each area covers the lower part of the one before.
    let mut height: Vec<f64> = (0..STEPS).map(|i| teams.values().map(|m| m[i]).sum()).collect();
    for (i, (team, mean)) in teams.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let step = span / MINUTE / STEPS as f64;
        let points = height
            .iter()
            .enumerate()
            .flat_map(|(i, y)| [(i as f64 * step, *y), ((i + 1) as f64 * step, *y)]);
        chart
            .draw_series(AreaSeries::new(points, 0.0, color))
            .map_err(|e| e.to_string())?
            .label(team.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
        height.iter_mut().zip(mean).for_each(|(h, m)| *h -= m);
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| e.to_string())?;
    root.present().map_err(|e| e.to_string())
}

/// Mean number of borrowed VMs per team and step.
fn means(
    samples: &[UsageSample],
    start: UnixMillis,
    end: UnixMillis,
) -> BTreeMap<&TeamId, [f64; STEPS]> {
    let mut teams: BTreeMap<&TeamId, [f64; STEPS]> = BTreeMap::new();
    let step = end.since(start).as_secs_f64().max(1.0) / STEPS as f64;
    for (i, sample) in samples.iter().enumerate() {
        let until = samples.get(i + 1).map_or(end, |next| next.at);
        let from = sample.at.since(start).as_secs_f64() / step;
        let to = until.since(start).as_secs_f64() / step;
        for (team, vms) in &sample.borrowed {
            let mean = teams.entry(team).or_insert([0.0; STEPS]);
            for (slot, value) in mean.iter_mut().enumerate() {
                let part = to.min((slot + 1) as f64) - from.max(slot as f64);
                *value += f64::from(*vms) * part.max(0.0);
            }
        }
    }
    teams
}
