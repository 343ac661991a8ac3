//! Measures the overhead of the proxy: the same order and lookup directly to the stand-in server and through a node,
//! alternately.
use super::operator::primary_name;
use super::print_spread;
use crate::cli::FleetOptions;
use crate::local_fleet;
use quincehatch_testbed::running::RunningFleet;
use quincehatch_wire::http::{HttpConnection, JsonRequest};
use serde_json::{Value, json};
use std::time::Instant;

/// Number of requests of one figure.
const REQUESTS: usize = 200;

pub(super) async fn run(fleet: &FleetOptions, rounds: usize) -> Result<(), String> {
    let running = local_fleet::start(fleet).await?;
    let mut paths = Paths::open(&running).await?;
    let mut order_ratios = Vec::new();
    let mut lookup_ratios = Vec::new();
    for _ in 0..rounds {
        let straight_order = paths.time_requests(Request::StraightOrder).await?;
        let proxied_order = paths.time_requests(Request::ProxiedOrder).await?;
        let straight_lookup = paths.time_requests(Request::StraightLookup).await?;
        let proxied_lookup = paths.time_requests(Request::ProxiedLookup).await?;
        order_ratios.push(proxied_order / straight_order);
        lookup_ratios.push(proxied_lookup / straight_lookup);
    }
    print_spread("order through a node / straight", "times", order_ratios);
    print_spread("lookup through a node / straight", "times", lookup_ratios);
    Ok(())
}

#[derive(Clone, Copy)]
enum Request {
    StraightOrder,
    ProxiedOrder,
    StraightLookup,
    ProxiedLookup,
}

/// Connections directly to the primary and to a node.
struct Paths {
    straight: HttpConnection,
    proxied: HttpConnection,
    requests_sent: u64,
}

impl Paths {
    async fn open(fleet: &RunningFleet) -> Result<Paths, String> {
        let primary = primary_name(fleet).await.ok_or("no primary")?;
        let server = fleet.plan.servers.iter().find(|server| server.name == primary);
        let server = server.ok_or("the primary is not in the plan")?;
        Ok(Paths {
            straight: open(&server.addr).await?,
            proxied: open(&fleet.plan.nodes[0].client_listener).await?,
            requests_sent: 0,
        })
    }

    /// Returns the seconds that the requests of one figure take.
    async fn time_requests(&mut self, request: Request) -> Result<f64, String> {
        let began = Instant::now();
        for _ in 0..REQUESTS {
            self.requests_sent += 1;
            let reply = self.send(request).await?;
            if reply["rows"].is_null() {
                return Err(format!("no rows: {reply}"));
            }
        }
        Ok(began.elapsed().as_secs_f64())
    }

    async fn send(&mut self, request: Request) -> Result<Value, String> {
        let number = self.requests_sent;
        let key = format!("b{number}");
        match request {
            Request::StraightOrder => {
                let body = json!({"link": "b", "text": "put x $1", "params": [number], "try": key, "sum": 1, "fence": 1});
                post(&mut self.straight, "/v1/run", &body).await
            }
            Request::ProxiedOrder => {
                let body =
                    json!({"try": key, "text": "put x $1", "params": [number], "labels": {"db": "g1"}});
                post(&mut self.proxied, "/v1/order", &body).await
            }
            Request::StraightLookup => {
                post(&mut self.straight, "/v1/run", &json!({"link": "b", "text": "get x"})).await
            }
            Request::ProxiedLookup => {
                let body = json!({"text": "get x", "labels": {"db": "g1"}});
                post(&mut self.proxied, "/v1/lookup", &body).await
            }
        }
    }
}

async fn open(addr: &str) -> Result<HttpConnection, String> {
    HttpConnection::open(addr, None).await.map_err(|error| error.to_string())
}

async fn post(connection: &mut HttpConnection, path: &str, body: &Value) -> Result<Value, String> {
    let call = JsonRequest { method: "POST", path, body, token: None };
    let (_status, reply) = connection.call(&call).await.map_err(|error| error.to_string())?;
    Ok(reply)
}
