//! Caps, shares and rates of tenants under load and failures.

use crate::simulation;
use crate::simulation::Simulation;
use crate::simulation::tenants::capped;
use crate::simulation::tenants::tenant;

/// Two tenants keep six workers busy while one worker restarts, one is cut off for longer than its lease,
/// and a job is cancelled. Guards against runs that leave or enter the sums by a way that is not counted;
/// the simulation recounts them after each step.
#[test]
fn kept_use_equals_a_recount_while_workers_fail() {
    let mut simulation = Simulation::new(1, 6, None);
    simulation.faults.lost_answers = 0.1;
    simulation.faults.late_orders = 0.05;
    simulation.use_tenants([tenant("one", 1.0), capped("two", 2.0, 9_000)]);
    simulation.run_ms(500);
    for id in 1..=60 {
        let owner = if id % 3 == 0 { "two" } else { "one" };
        let work = simulation::step(1 + id as u32 % 3, 1_500, 900);
        simulation.submit_as(owner, simulation::job(id, "short", work));
        simulation.run_ms(40);
    }
    assert!(!simulation.tenant_report("one").used.is_zero());
    simulation.cancel(5);
    simulation.restart_worker(0);
    simulation.workers[1].is_partitioned = true;
    simulation.run_ms(12_000);
    simulation.workers[1].is_partitioned = false;
    simulation.run_ms(30_000);
    for name in ["one", "two"] {
        assert!(simulation.tenant_report(name).used.is_zero(), "{name}");
        assert_eq!(simulation.processors_of(name), 0);
    }
}
