//! The endpoint at which a process exposes its metrics.
use std::fmt;
use std::str::FromStr;

/// A port and a path, written `PORT/PATH`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsEndpoint {
    /// The port.
    pub port: u16,
    /// The path, which begins with a slash.
    pub path: String,
}

/// The error for a text that is not of the form `PORT/PATH`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointError(String);

impl fmt::Display for EndpointError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} is not PORT/PATH", self.0)
    }
}

impl std::error::Error for EndpointError {}

impl FromStr for MetricsEndpoint {
    type Err = EndpointError;

    fn from_str(text: &str) -> Result<MetricsEndpoint, EndpointError> {
        let malformed = || EndpointError(text.to_owned());
        let (port, path) = text.split_once('/').ok_or_else(malformed)?;
        let port = port.parse().ok().filter(|port| *port > 0).ok_or_else(malformed)?;
        Ok(MetricsEndpoint { port, path: format!("/{path}") })
    }
}
