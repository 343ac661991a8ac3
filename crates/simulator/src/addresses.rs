//! Network addresses of the simulated processes, with one host address for each role.

/// Port of the process with index 0.
const FIRST_PORT: usize = 1_000;

fn address(host: u8, index: usize) -> String {
    format!("127.0.0.{host}:{}", FIRST_PORT + index)
}

/// Returns the address at which a keeper receives requests and messages of its peers.
pub fn keeper(index: usize) -> String {
    address(1, index)
}

/// Returns the address at which a node receives requests of clients.
pub fn client_listener(index: usize) -> String {
    address(2, index)
}

/// Returns the address at which a node receives calls of operators and heartbeats of servers.
pub fn operator_listener(index: usize) -> String {
    address(3, index)
}

/// Returns the address at which a node receives gossip.
pub fn gossip_listener(index: usize) -> String {
    address(4, index)
}

/// Returns the address of a database server.
pub fn server(index: usize) -> String {
    address(5, index)
}

/// Returns the address of the platform.
pub fn platform() -> String {
    address(6, 0)
}
