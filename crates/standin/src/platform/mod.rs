//! Stand-in of the platform.

mod faults;
mod objects;
mod router;
mod table;

pub(crate) use router::Platform;
