//! Fake platform services: table service, object store and instance list.

mod faults;
mod objects;
mod router;
mod table;

pub(crate) use router::Platform;
