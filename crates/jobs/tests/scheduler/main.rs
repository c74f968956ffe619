//! Tests of the scheduler in a simulation with virtual time, without network.

mod blocked;
mod capacity_changes;
mod crashes;
mod departure;
mod draining_workers;
mod gangs;
mod invariants;
mod large_records;
mod leases;
mod long_running;
mod occurrences;
mod peak_load;
mod priority_preemption;
mod relay_loss;
mod simulation;
mod speculation;
mod stored_losses;
mod takeover;
mod tenant_limits;
mod tenants;
mod uneven_workers;
mod unknown_cancels;
mod unnoticed_restarts;
