//! Runs the real processes on loopback for tests.
