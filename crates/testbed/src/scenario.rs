//! Runs callers and a fault script against a real fleet, then checks the callers' history against the servers' data.
use crate::caller::Caller;
use crate::configuration_pushes::push_round_with_keys;
use crate::fleet::FleetPlan;
use crate::fleet_calls::primary_of;
pub use crate::fleet_calls::{fleet_status, lab_call, operator_call};
use crate::history::Facts;
use crate::load_environment::LoadEnvironment;
use crate::run_facts::{collect_facts, read_journals, resolve_open_attempts};
use crate::running::{RunningFleet, wait_for_end};
use crate::scenario_report::{RunTimes, report};
pub use crate::scenario_report::{ScenarioOptions, ScenarioReport};
use crate::script::{Action, Step, Target};
use quincehatch_core::Millis;
use quincehatch_runtime::{now, seam};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Time limit for a terminated process to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);
/// Time limit for a caller to end its last call.
const CALLER_END: Duration = Duration::from_secs(10);
/// Extra callers: how many, the number of the first, how long they call, and their mean pause.
const EXTRA_CALLERS: usize = 150;
const FIRST_EXTRA_CALLER: usize = 10_000;
const EXTRA_CALLERS_TIME: Millis = 5_000;
const EXTRA_CALLERS_PAUSE: Millis = 60;
const ORDERS_PER_MILLE: u64 = 690;
const MOVES_PER_MILLE: u64 = 20;

/// The state of a run in progress.
struct ScenarioRun<'fleet> {
    fleet: &'fleet mut RunningFleet,
    env: Arc<LoadEnvironment>,
    /// Names of the processes that earlier steps applied to, by label.
    targets: BTreeMap<&'static str, String>,
    /// Terminated processes that may not have ended yet.
    stopping: BTreeMap<String, JoinHandle<bool>>,
    /// Times and texts of the performed steps; the text of a final one begins with `final`.
    faults: Vec<(Millis, String)>,
}

impl ScenarioRun<'_> {
    fn plan(&self) -> &FleetPlan {
        &self.fleet.plan
    }

    async fn resolve_target(&self, target: &Target) -> Option<String> {
        let status = || async { fleet_status(&self.plan().operator_addresses()).await };
        match target {
            Target::Name(name) => Some(name.clone()),
            Target::SameAs(label) => self.targets.get(label).cloned(),
            Target::Primary(group) => primary_of(&status().await, group),
            Target::Replica(group) => {
                let primary = primary_of(&status().await, group);
                let mut members = self.plan().servers.iter().filter(|server| server.group == *group);
                let replica = members.find(|server| Some(&server.name) != primary.as_ref());
                replica.map(|server| server.name.clone())
            }
            Target::Head => {
                let status = status().await;
                status["view"]["members"].as_array()?.first()?.as_str().map(str::to_owned)
            }
            Target::Tail => {
                let status = status().await;
                status["view"]["members"].as_array()?.last()?.as_str().map(str::to_owned)
            }
        }
    }

    /// Performs a step and returns the name of its target; none if there is no target.
    async fn perform(&mut self, step: &Step) -> Option<String> {
        let name = self.resolve_target(&step.who).await?;
        self.targets.insert(step.label, name.clone());
        match &step.act {
            Action::Kill => self.fleet.kill(&name),
            Action::Start => {
                self.await_end(&name).await;
                self.fleet.spawn(&name, true).ok()?;
            }
            Action::Stop => self.stop(&name),
            Action::Terminate => self.terminate(&name),
            Action::Hangup => self.fleet.signal(&name, "HUP"),
            Action::Pause => self.fleet.signal(&name, "STOP"),
            Action::Continue => self.fleet.signal(&name, "CONT"),
            Action::Fault(settings) => self.call_server(&name, "/lab/fault", &json!(settings)).await,
            Action::Drain => self.call_server(&name, "/lab/leave", &json!({})).await,
            Action::StopDraining => self.call_server(&name, "/lab/leave", &json!({"back": true})).await,
            Action::ExtraCallers => self.start_extra_callers(),
            Action::PushConfigurations => self.start_pushes(),
        }
        Some(name)
    }

    async fn call_server(&self, name: &str, path: &str, body: &Value) {
        lab_call(&self.plan().servers, name, path, body).await;
    }

    fn stop(&mut self, name: &str) {
        let stopped = tokio::task::block_in_place(|| self.fleet.stop(name, STOP_TIMEOUT));
        self.check_stopped(name, stopped);
    }

    fn check_stopped(&self, name: &str, stopped: bool) {
        if !stopped {
            self.record_violation(format!("{name} did not stop in order"));
        }
    }

    fn record_violation(&self, violation: String) {
        self.env.history.lock().unwrap().violations.push(violation);
    }

    fn terminate(&mut self, name: &str) {
        self.fleet.signal(name, "TERM");
        if let Some(child) = self.fleet.children.remove(name) {
            let ended = tokio::task::spawn_blocking(move || wait_for_end(child, STOP_TIMEOUT));
            self.stopping.insert(name.to_owned(), ended);
        }
    }

    /// Waits until a terminated process has ended.
    async fn await_end(&mut self, name: &str) {
        if let Some(ended) = self.stopping.remove(name) {
            self.check_stopped(name, ended.await.unwrap_or(false));
        }
    }

    /// Records a violation for each process that ended unexpectedly; killed and stopped ones are no longer among the
    /// children.
    fn check_running(&mut self) {
        let ended_unexpectedly = self.fleet.take_ended();
        for (name, status) in ended_unexpectedly {
            self.record_violation(format!("{name} ended by itself: {status}"));
        }
    }

    fn start_extra_callers(&self) {
        for _ in 0..EXTRA_CALLERS {
            let number = self.env.extra_callers.fetch_add(1, Ordering::Relaxed);
            let caller = Caller::new(self.env.clone(), FIRST_EXTRA_CALLER + number as usize, number);
            tokio::spawn(caller.run_until(now() + EXTRA_CALLERS_TIME, EXTRA_CALLERS_PAUSE));
        }
    }

    fn start_pushes(&self) {
        let (plan, env) = (self.plan().clone(), self.env.clone());
        let text = std::fs::read_to_string(&self.plan().configuration).unwrap_or_default();
        tokio::spawn(async move { push_round_with_keys(&plan, &text, &env, now()).await });
    }

    /// Performs all steps, each at its time.
    async fn perform_all(&mut self, script: &[Step], began: Millis) {
        for step in script {
            sleep_until(began + step.at).await;
            self.check_running();
            let at = now();
            let name = self.perform(step).await.unwrap_or_else(|| "nobody".into());
            let kind = if step.is_final { "final" } else { "fault" };
            self.faults.push((at, format!("{kind} {:?} {name}", step.act)));
        }
    }
}

async fn sleep_until(at: Millis) {
    seam::sleep(Duration::from_millis(at.saturating_sub(now()))).await;
}

fn load_environment(plan: &FleetPlan, options: &ScenarioOptions) -> Arc<LoadEnvironment> {
    Arc::new(LoadEnvironment {
        history: Default::default(),
        platform: plan.platform.clone(),
        groups: plan.shape.groups,
        zones: plan.shape.zones,
        zone_affinity: plan.shape.name == "lensbridge",
        pause_ms: options.pause_ms,
        lookup_ms: plan.shape.lookup_ms(),
        orders_per_mille: ORDERS_PER_MILLE,
        moves_per_mille: MOVES_PER_MILLE,
        keeps_connections: options.keeps_connections,
        stop: AtomicBool::new(false),
        sent_statements: Default::default(),
        calls: Default::default(),
        extra_callers: Default::default(),
    })
}

/// Runs the script against a fleet that is up and ready, and returns the report.
pub async fn run_scenario(
    fleet: &mut RunningFleet,
    script: Vec<Step>,
    options: &ScenarioOptions,
) -> ScenarioReport {
    let env = load_environment(&fleet.plan, options);
    let caller = |number| Caller::new(env.clone(), number, options.seed);
    let callers: Vec<_> = (0..options.callers)
        .map(|number| tokio::spawn(caller(number).run_until(u64::MAX, options.pause_ms)))
        .collect();
    let began = now();
    let mut run = ScenarioRun {
        fleet,
        env: env.clone(),
        targets: BTreeMap::new(),
        stopping: BTreeMap::new(),
        faults: Vec::new(),
    };
    run.perform_all(&script, began).await;
    sleep_until(began + options.seconds * 1_000).await;
    run.check_running();
    let faults = run.faults;
    env.stop.store(true, Ordering::SeqCst);
    let end = now();
    for caller in callers {
        let _ = seam::timeout(CALLER_END, caller).await;
    }
    resolve_open_attempts(&env, options.seed).await;
    let facts = collect_facts(&fleet.plan.operator_addresses(), &fleet.plan.servers).await;
    let facts = facts.map(|facts| Facts { journals: read_journals(&fleet.plan), ..facts });
    report(options, &env, facts, RunTimes { began, faults, end })
}
