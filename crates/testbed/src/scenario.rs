//! Runs callers and a script of faults against a real fleet, then checks what callers saw and servers hold.
use crate::caller::Caller;
use crate::configuration_pushes::push_round;
use crate::fleet::FleetPlan;
use crate::fleet_calls::primary_of;
pub use crate::fleet_calls::{fleet_status, lab_call, operator_call};
use crate::history::Facts;
use crate::load_environment::LoadEnvironment;
use crate::run_facts::{collect_facts, read_journals, resolve_open_attempts};
use crate::running::RunningFleet;
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

/// A process that is stopped in order has so long.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);
/// A caller ends its last call within this time.
const CALLER_END: Duration = Duration::from_secs(10);
/// Extra callers: how many, the number of the first, how long they call, and their mean pause.
const EXTRA_CALLERS: usize = 150;
const FIRST_EXTRA_CALLER: usize = 10_000;
const EXTRA_CALLERS_TIME: Millis = 5_000;
const EXTRA_CALLERS_PAUSE: Millis = 60;
const ORDERS_PER_MILLE: u64 = 690;
const MOVES_PER_MILLE: u64 = 20;

/// A run under way.
struct ScenarioRun<'fleet> {
    fleet: &'fleet mut RunningFleet,
    env: Arc<LoadEnvironment>,
    /// Names of those that earlier steps hit, by label.
    hit: BTreeMap<&'static str, String>,
    /// When which fault was done; a final one begins with `final`.
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
            Target::SameAs(label) => self.hit.get(label).cloned(),
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

    /// Does a step; whom it hit, none if nobody.
    async fn perform(&mut self, step: &Step) -> Option<String> {
        let name = self.resolve_target(&step.who).await?;
        self.hit.insert(step.label, name.clone());
        match &step.act {
            Action::Kill => self.fleet.kill(&name),
            Action::Start => self.fleet.spawn(&name, true).ok()?,
            Action::Stop => self.stop(&name),
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
        if !stopped {
            let violation = format!("{name} did not stop in order");
            self.env.history.lock().unwrap().violations.push(violation);
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
        let (operators, env) = (self.plan().operator_addresses(), self.env.clone());
        let text = std::fs::read_to_string(&self.plan().configuration).unwrap_or_default();
        tokio::spawn(async move { push_round(&operators, &text, &env, now()).await });
    }

    /// Does all steps, each at its time.
    async fn perform_all(&mut self, script: &[Step], began: Millis) {
        for step in script {
            sleep_until(began + step.at).await;
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
        stop: AtomicBool::new(false),
        sent_statements: Default::default(),
        calls: Default::default(),
        extra_callers: Default::default(),
    })
}

/// Runs the script; the fleet is up and ready when it begins.
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
    let mut run = ScenarioRun { fleet, env: env.clone(), hit: BTreeMap::new(), faults: Vec::new() };
    run.perform_all(&script, began).await;
    let faults = run.faults;
    sleep_until(began + options.seconds * 1_000).await;
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
