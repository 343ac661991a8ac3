//! Network addresses of the simulated processes, one range for each role.

/// Highest port below the first one that is given out.
const FIRST_PORT: usize = 1_000;

fn address(range: u8, index: usize) -> String {
    format!("127.0.0.{range}:{}", FIRST_PORT + index)
}

/// Where a keeper takes requests and messages of its peers.
pub fn keeper(index: usize) -> String {
    address(1, index)
}

/// Where a node takes requests of clients.
pub fn client_listener(index: usize) -> String {
    address(2, index)
}

/// Where a node takes calls of operators and heartbeats of servers.
pub fn operator_listener(index: usize) -> String {
    address(3, index)
}

/// Where a node takes gossip.
pub fn gossip_listener(index: usize) -> String {
    address(4, index)
}

/// Where a database server listens.
pub fn server(index: usize) -> String {
    address(5, index)
}

/// Where the platform listens.
pub fn platform() -> String {
    address(6, 0)
}
