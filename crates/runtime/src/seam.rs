//! The interface between the protocols and their execution environment. In production, time, tasks and connections are
//! those of tokio and the kernel; inside a [`World`], such as the one that the simulator provides for each process,
//! they are virtual. The code above this module is the same in both.

mod clock;
mod incarnation;
mod select;
mod task;
mod timer;
mod world;

pub use clock::{now, wall_clock_ms};
pub use incarnation::{draw_incarnation, incarnation};
pub use select::{any_true, join_all, select_first};
pub use task::{Spawner, TaskHandle, spawn};
pub use timer::{Elapsed, sleep, timeout};
pub use world::{
    BoxFuture, OnDisconnect, VirtualConnection, World, current_world, injected_bug, trace_point, with_world,
};
