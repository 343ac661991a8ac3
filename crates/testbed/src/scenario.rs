//! Runs callers and a script of faults against a real fleet, then checks what callers saw and servers hold.
use crate::caller::{Caller, LoadEnvironment};
use crate::configuration_pushes::push_round;
use crate::fleet::{FleetPlan, ServerAddress, TOKEN};
use crate::history::{CallEnd, Facts, History, check_history, longest_gaps_after};
use crate::run_facts::{collect_facts, read_journals, resolve_open_attempts};
use crate::running::RunningFleet;
use crate::script::{Action, Step, Target};
use quincehatch_core::Millis;
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::{JsonRequest, call_once, post_once};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Deadline of a status call, and of a call of the test bench.
const STATUS_DEADLINE: Millis = 1_500;
const LAB_DEADLINE: Duration = Duration::from_secs(5);
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

/// How a run is to be done.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// Name of the scenario.
    pub scenario: String,
    /// How long callers call.
    pub seconds: u64,
    /// Number of callers.
    pub callers: usize,
    /// Mean pause between two calls of one caller.
    pub pause_ms: Millis,
    /// Seed of the callers.
    pub seed: u64,
    /// Leave out the bounds that only a quiet machine can be held to (N12).
    pub untimed: bool,
}

/// What a run came to.
#[derive(Debug, Default)]
pub struct ScenarioReport {
    /// Every violation, as a line that names its check.
    pub violations: Vec<String>,
    /// The figures of the run in one line.
    pub summary: String,
    /// The longest time without an acknowledged order after the first fault, by group.
    pub gaps: BTreeMap<String, Millis>,
    /// Orders that were acknowledged.
    pub committed: usize,
    /// Orders that were sent.
    pub attempts: usize,
    /// Lookups that succeeded, and that failed.
    pub lookups: (u64, u64),
}

/// A call of an operator; status and body of the answer, none if none came.
pub async fn operator_call(addr: &str, what: &str, body: &Value, deadline: Millis) -> Option<(u16, Value)> {
    let path = format!("/op/{what}");
    let request = JsonRequest { method: "POST", path: &path, body, token: Some(TOKEN) };
    call_once(addr, &request, Duration::from_millis(deadline)).await.ok()
}

/// The fleet's status, from whichever node answers.
pub async fn fleet_status(operators: &[String]) -> Value {
    for addr in operators {
        if let Some((200, status)) = operator_call(addr, "status", &json!({}), STATUS_DEADLINE).await {
            return status;
        }
    }
    Value::Null
}

/// A call of the test bench to a server; the body of the answer.
pub async fn lab_call(servers: &[ServerAddress], server: &str, path: &str, body: &Value) -> Option<Value> {
    let addr = servers.iter().find(|known| known.name == server)?.addr.clone();
    let (_, answer) = post_once(&addr, path, body, LAB_DEADLINE).await.ok()?;
    Some(answer)
}

/// The primary that a fleet's status names for a group.
fn primary_of(status: &Value, group: &str) -> Option<String> {
    let primaries = status["leads"].as_array()?;
    let primary = primaries.iter().find(|primary| primary["group"] == group)?;
    primary["server"].as_str().map(str::to_owned)
}

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

/// When a run began, when its faults came, and when its load ended.
struct RunTimes {
    began: Millis,
    faults: Vec<(Millis, String)>,
    end: Millis,
}

fn count_attempts(history: &History, wanted: CallEnd) -> usize {
    let has_end = |ends: &[(CallEnd, u64, u64)]| ends.iter().any(|(end, _, _)| *end == wanted);
    history.attempts.values().filter(|attempt| has_end(&attempt.ends)).count()
}

fn count_lookups(history: &History, succeeded: bool) -> u64 {
    let lookups = history.served.iter().filter(|((_, kind), _)| *kind == "lookup");
    let calls = lookups.flat_map(|(_, calls)| calls);
    calls.filter(|call| call.succeeded == succeeded).count() as u64
}

fn report(
    options: &ScenarioOptions,
    env: &LoadEnvironment,
    collected: Result<Facts, String>,
    times: RunTimes,
) -> ScenarioReport {
    let history = env.history.lock().unwrap();
    let sent = env.sent_statements.lock().unwrap().clone();
    let first_fault = times.faults.first().map_or(times.began, |(at, _)| *at);
    let gaps = longest_gaps_after(&history, first_fault);
    let committed = count_attempts(&history, CallEnd::Committed);
    let lookups = (count_lookups(&history, true), count_lookups(&history, false));
    let summary = format!(
        "{}: {} tries, {} kept, {} told nothing, {} unknown, {} lost, {} lookups, {} failed, {} late, longest gap {:?} ms",
        options.scenario,
        history.attempts.len(),
        committed,
        count_attempts(&history, CallEnd::NotApplied),
        count_attempts(&history, CallEnd::Unknown),
        count_attempts(&history, CallEnd::NoReply),
        lookups.0,
        lookups.1,
        history.late_replies,
        gaps
    );
    let timed_faults: &[(Millis, String)] = if options.untimed { &[] } else { &times.faults };
    let facts = collected.as_ref().map_or_else(|_| Facts::default(), Clone::clone);
    let mut violations = check_history(&history, &facts, &sent, timed_faults, times.end);
    violations.extend(collected.err());
    if facts.lists.is_empty() || committed == 0 {
        violations.push("nothing was committed at all: the run proves nothing".into());
    }
    ScenarioReport { violations, summary, gaps, committed, attempts: history.attempts.len(), lookups }
}
