//! Client of workers and of the platform's instance list.
