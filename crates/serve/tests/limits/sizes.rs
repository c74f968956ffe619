//! Sizes derived from machines.

/// The smallest usual machine keeps the 3,000 connections of earlier deployments.
#[test]
fn machine_of_the_default_size_bears_the_usual_connections() {
    let machine = serve::Machine {
        memory_mb: serve::DEFAULT_MEMORY_MB,
        max_descriptors: 20_000,
    };
    assert_eq!(machine.budget_bytes(), 60_000_000);
    assert!(machine.max_caller_connections() >= 3_000);
    assert_eq!(machine.max_side_connections(), 64);
}

#[test]
fn few_descriptors_bound_connections() {
    let machine = serve::Machine {
        memory_mb: 1_000,
        max_descriptors: 3_075,
    };
    assert_eq!(machine.max_caller_connections(), 2_563);
    let machine = serve::Machine {
        memory_mb: 1_000,
        max_descriptors: 200,
    };
    assert_eq!(machine.max_caller_connections(), 136);
    assert_eq!(machine.max_side_connections(), 12);
}

#[test]
fn little_memory_bounds_connections_and_budget() {
    let machine = serve::Machine {
        memory_mb: 120,
        max_descriptors: 20_000,
    };
    assert_eq!(machine.budget_bytes(), 36_000_000);
    assert_eq!(machine.max_caller_connections(), 2_197);
    let machine = serve::Machine {
        memory_mb: 40,
        max_descriptors: 20_000,
    };
    assert_eq!(machine.budget_bytes(), 6_000_000);
}

/// Settings beyond what the process may open have no effect.
#[test]
fn setting_does_not_raise_the_descriptors_of_the_process() {
    let own = serve::Machine::new(None, None);
    let raised = serve::Machine::new(None, Some(usize::MAX));
    assert_eq!(raised, own);
    let lowered = serve::Machine::new(Some(120), Some(100));
    assert!(lowered.max_descriptors <= 100);
}
