use super::{Connection, EXTRA_IDLE_TIMEOUT, IdleConnections, MAX_IDLE_PER_ADDRESS};
use crate::Identity;
use quincehatch_core::Millis;
use tokio::io::{AsyncReadExt, DuplexStream, duplex};

const START: Millis = 100_000;

/// The far ends of idle connections, by which a test sees whether they were closed.
struct FarEnds(Vec<DuplexStream>);

impl FarEnds {
    /// Adds idle connections of one burst of calls.
    fn add_burst(&mut self, idle: &IdleConnections<DuplexStream>, addr: &str, now: Millis) {
        for _ in 0..MAX_IDLE_PER_ADDRESS {
            let (near, far) = duplex(64);
            let peer = Some(Identity::with_incarnation("a", 1).id());
            idle.put(addr, Connection { stream: near, peer }, now);
            self.0.push(far);
        }
    }

    async fn count_open(&mut self) -> usize {
        let mut open = 0;
        for far in &mut self.0 {
            let closed = tokio::select! {
                biased;
                read = far.read_u8() => read.is_err(),
                () = std::future::ready(()) => false,
            };
            open += usize::from(!closed);
        }
        open
    }
}

#[tokio::test]
async fn a_burst_of_calls_does_not_occupy_a_listener_for_good() {
    let idle = IdleConnections::default();
    let mut far_ends = FarEnds(Vec::new());
    far_ends.add_burst(&idle, "a:1", START);
    let mut others = FarEnds(Vec::new());
    // Calls to another address, too, lead to the connections being checked.
    others.add_burst(&idle, "b:1", START + EXTRA_IDLE_TIMEOUT - 1);
    assert_eq!(far_ends.count_open().await, MAX_IDLE_PER_ADDRESS);
    others.add_burst(&idle, "b:1", START + 2 * EXTRA_IDLE_TIMEOUT);
    assert_eq!(far_ends.count_open().await, 1, "one connection to each address is retained");
}
