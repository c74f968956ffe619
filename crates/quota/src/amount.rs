//! Arithmetic over the dimensions of a quota amount.
