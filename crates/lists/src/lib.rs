//! The operators' lists of customers and plans.
