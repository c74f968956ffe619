//! Relays that are lost with calls to workers under way.

use crate::simulation;
use crate::simulation::Simulation;

/// Half of the renewals are lost with their relays for some seconds, while every worker is well: no
/// worker may count as silent, and no run may be lost and started again.
#[test]
fn lost_relays_condemn_no_worker_and_lose_no_run() {
    let mut simulation = Simulation::new(1, 6, None);
    simulation.run_ms(200);
    let long = simulation::step(12, 3_000, 9_000);
    simulation.submit(simulation::job(1, "long", long));
    simulation.run_ms(500);
    simulation.faults.lost_renewals = 0.5;
    let short = simulation::step(1, 1_000, 100);
    for id in 100..130 {
        simulation.submit(simulation::job(id, "short", short.clone()));
        simulation.run_ms(200);
    }
    simulation.faults.lost_renewals = 0.0;
    simulation.run_ms(6_000);
    for id in 100..130 {
        let started_at_ms = simulation.started_at_ms[&id];
        let submitted_at_ms = 700 + 200 * (id - 100);
        let waited_ms = started_at_ms - submitted_at_ms;
        assert!(waited_ms < 100, "job {id} waited {waited_ms} ms");
    }
    assert_eq!(
        simulation.status(1),
        Some(model::JobReply::Status(model::JobStatus::Completed))
    );
    assert_eq!(simulation.start_count, 12 + 30, "a run was started again");
}
