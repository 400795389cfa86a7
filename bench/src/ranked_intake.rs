//! Who is served when ranks ask for more than the room.

use crate::contended_room;
use crate::deciding_node;
use crate::report;

/// Parts of the requests by rank; 0 is the highest.
const MIX: [f64; 3] = [0.375, 0.375, 0.25];

/// Requests of a usual load, as a part of what the room can serve.
const USUAL: f64 = 0.8;

/// Most by which a lower rank may be served more often than a higher one, in points.
const ORDER_TARGET: f64 = 3.0;

/// Least served part of any rank, in per cent of that of all ranks together: the floor
/// that the intake leaves to a rank under any demand of the ranks above it.
const FLOOR_TARGET: f64 = 25.0;

/// Least part of room that is asked for, in per cent.
const USED_TARGET: f64 = 97.0;

/// Loads by name: requests of each rank, as a part of what the room can serve.
fn loads() -> Vec<(String, [f64; 3])> {
    let steady = [USUAL, 1.2, 2.0, 4.0].map(|ratio| {
        let name = format!("{ratio:.1} of the room by all");
        (name, MIX.map(|part| part * ratio))
    });
    let bursts = (0..3).map(|burst| {
        let mut ratios = MIX.map(|part| part * USUAL);
        ratios[burst] += 1.5;
        (format!("burst of rank {burst} by 1.5 rooms"), ratios)
    });
    steady.into_iter().chain(bursts).collect()
}

/// Measures every load with and without ranks.
pub(crate) fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("ranked-intake", seed);
    for (load, ratios) in loads() {
        let arrivals = contended_room::arrivals(seed, |second| {
            let is_burst = contended_room::COUNTED.contains(&second);
            let ratios = match is_burst {
                true => ratios,
                false => MIX.map(|part| part * USUAL),
            };
            let groups = (0..)
                .zip(ratios)
                .map(|(rank, ratio)| contended_room::CallerGroup {
                    rank,
                    organisation: 1,
                    ratio,
                });
            groups.collect()
        });
        let play = |way| deciding_node::play(&arrivals, way, seed);
        let ways = [
            ("ranked", play(deciding_node::RoomWay::Whole)),
            ("one rank", play(deciding_node::RoomWay::OneRank)),
            ("first come", contended_room::first_come(&arrivals)),
        ];
        for (way, outcome) in ways {
            let is_ranked = way == "ranked";
            let mut add = |figure: &str, value, target: Option<report::FigureTarget>| {
                report.add(&load, way, figure, value, target.filter(|_| is_ranked));
            };
            let served =
                [0, 1, 2].map(|rank| outcome.served(&arrivals, |group| group.rank == rank));
            for (rank, served) in served.iter().enumerate() {
                add(&format!("rank {rank} served, %"), *served, None);
            }
            let lead = (served[1] - served[0]).max(served[2] - served[1]);
            let target = report::FigureTarget::AtMost(ORDER_TARGET);
            add("a lower rank ahead by, points", lead, Some(target));
            let mean = outcome.served(&arrivals, |_| true);
            let least = served.iter().copied().fold(mean, f64::min);
            let target = report::FigureTarget::AtLeast(FLOOR_TARGET);
            add(
                "least served rank, % of the mean of all",
                100.0 * least / mean,
                Some(target),
            );
            let wait = outcome.wait_ms(&arrivals, |group| group.rank == 0);
            add("wait of the served of rank 0, p95, ms", wait, None);
            let is_full = ratios.iter().sum::<f64>() > 1.5;
            let target = is_full.then_some(report::FigureTarget::AtLeast(USED_TARGET));
            add("room used, %", 100.0 * outcome.used, target);
        }
    }
    Ok(report)
}
