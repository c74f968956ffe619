//! The commands of `ferryctl`, one module each.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod show;
pub(crate) mod status;
pub(crate) mod task;
pub(crate) mod tenants;
pub(crate) mod wait;
