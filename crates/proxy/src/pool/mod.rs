//! The connection pool of a server. Connections are shared between transactions, never within one.
pub mod checkout;
pub mod connection;
pub mod connection_pool;
pub mod limits;
pub mod slots;

pub use checkout::{Checkout, CheckoutError, CheckoutRequest, check_out};
pub use connection_pool::{ConnectionPool, PooledServer};
pub use limits::PoolLimits;
