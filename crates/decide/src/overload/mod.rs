//! How long requests wait for room and when refused ones may come back.

mod pressure;

pub use pressure::{Pressure, ROOM_PAUSE, room_wait};
