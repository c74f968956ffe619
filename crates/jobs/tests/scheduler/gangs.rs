//! Gangs whose members cannot all start: the members that have started must not wait for long.

use crate::simulation;
use crate::simulation::Simulation;

/// Time for which members of a gang may wait for the others, in milliseconds: the shortest one
/// after which a worker ends them.
const GANG_WAIT_MS: u64 = 3_000;

fn gang(members: u32) -> model::Step {
    model::Step {
        gang: true,
        ..simulation::step(members, 7_000, 60_000)
    }
}

/// Start orders to one worker are lost, while its listings arrive. The member there is given up
/// after its last attempt, and all others have to stop with it.
#[test]
fn gang_stops_once_one_member_is_given_up() {
    let mut simulation = Simulation::new(1, 6, None);
    simulation.run_ms(200);
    simulation.workers[0].drops_starts = true;
    simulation.submit(simulation::job(1, "long", gang(6)));
    simulation.run_ms(8_000);
    let waited_ms = simulation.max_gang_wait_ms;
    assert!(waited_ms > 0, "the gang has not started");
    assert!(waited_ms < GANG_WAIT_MS, "members waited {waited_ms} ms");
}

/// The answer to a member's start is lost, and its ticket expires before the next attempt: the
/// member is stopped, and all others have to stop with it.
#[test]
fn gang_stops_once_the_ticket_of_one_member_expires() {
    let mut simulation = Simulation::new(1, 6, Some(1.0));
    simulation.use_ticket_validity_ms(400);
    simulation.run_ms(200);
    simulation.workers[0].drops_starts = true;
    simulation.submit(simulation::job(1, "long", gang(6)));
    simulation.run_ms(8_000);
    let waited_ms = simulation.max_gang_wait_ms;
    assert!(waited_ms > 0, "the gang has not started");
    assert!(waited_ms < GANG_WAIT_MS, "members waited {waited_ms} ms");
}
