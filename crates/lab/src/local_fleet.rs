//! A cluster of real processes on this machine, and `quincehatch-lab fleet up`.
use crate::cli::FleetOptions;
use quincehatch_testbed::fleet::{FleetPlan, NodeAddress, Shape, TOKEN, write_plan};
use quincehatch_testbed::running::RunningFleet;
use quincehatch_wire::http::{JsonRequest, call_once};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};

const START_TIMEOUT: Duration = Duration::from_secs(60);
const PUSH_TIMEOUT: Duration = Duration::from_secs(13);
const PUSH_RETRY: Duration = Duration::from_millis(200);
const READY_TIMEOUT: Duration = Duration::from_secs(1);
const READY_POLL: Duration = Duration::from_millis(50);
const HTTP_OK: u16 = 200;

/// Starts a cluster and waits until every node is ready.
pub async fn start(options: &FleetOptions) -> Result<RunningFleet, String> {
    let shape = Shape::named(&options.shape, options.port)
        .ok_or_else(|| format!("there is no shape {:?}", options.shape))?;
    start_shape(&shape, &options.dir).await
}

/// Starts a cluster of the given shape, with its files in `dir`, and waits until every node is ready.
pub async fn start_shape(shape: &Shape, dir: &str) -> Result<RunningFleet, String> {
    let dir = emptied_dir(dir)?;
    let plan = write_plan(&dir, shape).map_err(|error| error.to_string())?;
    let fleet = RunningFleet::start(plan).map_err(|error| error.to_string())?;
    push_configuration(&fleet.plan).await?;
    wait_until_ready(&fleet.plan).await?;
    Ok(fleet)
}

fn emptied_dir(dir: &str) -> Result<PathBuf, String> {
    let dir = std::path::absolute(dir).map_err(|error| error.to_string())?;
    if dir.exists() {
        std::fs::remove_dir_all(&dir).map_err(|error| format!("{}: {error}", dir.display()))?;
    }
    Ok(dir)
}

async fn push_configuration(plan: &FleetPlan) -> Result<(), String> {
    let text = std::fs::read_to_string(&plan.configuration).map_err(|error| error.to_string())?;
    let body = json!({"text": text, "key": "first", "base": 0, "by": "quincehatch-lab"});
    let call = JsonRequest { method: "POST", path: "/op/push", body: &body, token: Some(TOKEN) };
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        let reply = call_once(&plan.nodes[0].operator_listener, &call, PUSH_TIMEOUT).await;
        if matches!(reply, Ok((HTTP_OK, _))) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(format!("the configuration could not be pushed: {reply:?}"));
        }
        tokio::time::sleep(PUSH_RETRY).await;
    }
}

/// Waits until every node is ready and reports no reduced function.
async fn wait_until_ready(plan: &FleetPlan) -> Result<(), String> {
    let deadline = Instant::now() + START_TIMEOUT;
    for node in &plan.nodes {
        wait_until_node_ready(node, deadline).await?;
    }
    Ok(())
}

async fn wait_until_node_ready(node: &NodeAddress, deadline: Instant) -> Result<(), String> {
    let call = JsonRequest { method: "GET", path: "/ready", body: &Value::Null, token: None };
    loop {
        let reply = call_once(&node.client_listener, &call, READY_TIMEOUT).await;
        if let Ok((HTTP_OK, body)) = &reply
            && body["reduced"].as_array().is_some_and(Vec::is_empty)
        {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(format!("node {} did not get ready: {reply:?}", node.name));
        }
        tokio::time::sleep(READY_POLL).await;
    }
}

/// Starts a cluster, prints its addresses, and runs it until a signal arrives.
pub async fn run_until_stopped(options: &FleetOptions) -> Result<(), String> {
    let fleet = start(options).await?;
    let plan = &fleet.plan;
    println!("the fleet is up; settings, logs and data are in {}", plan.dir.display());
    for node in &plan.nodes {
        println!(
            "node {} in {}: clients at http://{}, operators at {}",
            node.name, node.zone, node.client_listener, node.operator_listener
        );
    }
    println!("platform at {}", plan.platform);
    println!("try: quincehatchctl --node {} --token {TOKEN} status", plan.nodes[0].operator_listener);
    println!("stop with Ctrl-C");
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    tokio::select! { _ = tokio::signal::ctrl_c() => {}, _ = terminate.recv() => {} }
    Ok(())
}
