//! Jobs with many occurrences.

use std::time;

use crate::simulation;
use crate::simulation::Simulation;

/// Time in which the leader handles and stores a request.
const STORING_MS: u64 = 400;

/// Control thread that walked through all occurrences of a job for each one that was due, and stood for half
/// a minute.
#[test]
fn occurrences_that_are_due_together_do_not_hold_up_the_leader() {
    let mut simulation = Simulation::new(4, 6, None);
    simulation.run_ms(STORING_MS);
    let mut repeated = simulation::job(1, "long", simulation::step(1, 100, 50));
    repeated.schedule = Some(model::Schedule {
        first_at_ms: simulation.wall_ms() + 2_000,
        period_ms: 0,
        occurrence_count: 20_000,
    });
    let token = simulation.submit(repeated);
    simulation.run_ms(STORING_MS);
    assert_eq!(simulation.replies[&token], model::JobReply::Accepted);
    let started_at = time::Instant::now();
    simulation.run_ms(3_000);
    // The walk through all for each took 80 s.
    assert!(started_at.elapsed() < time::Duration::from_secs(10));
}
