//! What a burst of one organisation leaves to the others in scarce room.

use crate::contended_room;
use crate::deciding_node;
use crate::report;

/// Organisations; the first is the large one.
const ORGANISATIONS: u32 = 20;

/// Requests of all organisations in a usual load, as a part of what the room can serve.
const USUAL: f64 = 0.7;

/// Least served part of the organisations that stay within their share, in per cent.
const SERVED_TARGET: f64 = 95.0;

/// Least part of that for the tenth of them that is served the least.
const WORST_TARGET: f64 = 0.9;

/// Measures bursts of the large organisation with and without shares.
pub(crate) fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("organisation-share", seed);
    for burst in [0.0, 1.0, 3.0] {
        let arrivals = contended_room::arrivals(seed, |second| {
            let is_burst = contended_room::COUNTED.contains(&second);
            let groups = (0..ORGANISATIONS).map(|organisation| {
                let is_large = organisation == 0 && is_burst;
                contended_room::CallerGroup {
                    rank: 0,
                    organisation,
                    ratio: USUAL / f64::from(ORGANISATIONS) + if is_large { burst } else { 0.0 },
                }
            });
            groups.collect()
        });
        let load = format!("{USUAL:.1} of the room by all, {burst:.1} more by one");
        let play = |way| deciding_node::play(&arrivals, way, seed);
        let ways = [
            ("shares", play(deciding_node::RoomWay::Whole)),
            ("no shares", play(deciding_node::RoomWay::NoShares)),
            ("first come", contended_room::first_come(&arrivals)),
        ];
        for (way, outcome) in ways {
            let is_fair = way == "shares";
            let served = |key| outcome.served(&arrivals, |group| group.organisation == key);
            let mut others: Vec<_> = (1..ORGANISATIONS).map(served).collect();
            others.sort_unstable_by(f64::total_cmp);
            let mean = outcome.served(&arrivals, |group| group.organisation != 0);
            let tenth = &others[..ORGANISATIONS as usize / 10];
            let worst = tenth.iter().sum::<f64>() / tenth.len() as f64;
            let target = |bound| is_fair.then_some(report::FigureTarget::AtLeast(bound));
            let mut add = |figure: &str, value, target| {
                report.add(&load, way, figure, value, target);
            };
            add("all served, %", outcome.served(&arrivals, |_| true), None);
            add("large one served, %", served(0), None);
            add("others served, %", mean, target(SERVED_TARGET));
            add(
                "worst tenth of the others served, %",
                worst,
                target(WORST_TARGET * SERVED_TARGET),
            );
            add("room used, %", 100.0 * outcome.used, None);
        }
    }
    Ok(report)
}
