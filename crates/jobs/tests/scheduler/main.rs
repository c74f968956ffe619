//! The scheduler in a world of virtual time, without network.

mod always;
mod crest;
mod lasting;
mod world;
