//! The commands of the command line and their options.
mod flags;
mod help;
mod simulation;
#[cfg(test)]
mod tests;

use crate::bench::capacity::Measurement;
use flags::Flags;
use quincehatch_capacity::hollow_fleet::FleetSpec;
use quincehatch_simulator::control::Allowed;
use quincehatch_testbed::fleet::parse_labels;
use quincehatch_testbed::scenario::ScenarioOptions;
use quincehatch_testbed::stand_in::StandInOptions;
pub use simulation::{SimulatedWorld, SimulationOptions};

const DEFAULT_ROUNDS: usize = 5;

/// A command with its options.
pub enum Command {
    /// Run seeds in the simulator.
    Simulate(SimulationOptions),
    /// Measure on clusters of real processes.
    BenchFleet {
        /// The cluster to start for each round.
        fleet: FleetOptions,
        /// The benchmark's name.
        benchmark: String,
        /// How often each figure is measured.
        rounds: usize,
    },
    /// Measure the figures of docs/CAPACITY.md.
    BenchCapacity {
        /// Which part, or `all`.
        part: String,
        /// How often each figure is measured.
        rounds: usize,
    },
    /// One capacity measurement in this process; `bench capacity` starts these.
    Hollow(Measurement),
    /// Run fault scenarios on clusters of real processes.
    RunScenarios {
        /// The cluster to start for each scenario.
        fleet: FleetOptions,
        /// Scenario, load and seed.
        options: ScenarioOptions,
    },
    /// Run drawn scripts of overlapping faults on clusters of drawn sizes.
    Soak {
        /// Where the clusters run.
        fleet: FleetOptions,
        /// Seeds and sizes.
        options: SoakOptions,
    },
    /// Run a stand-in database server.
    StandInServer(StandInOptions),
    /// Run the platform's stand-in.
    StandInPlatform {
        /// Address that the platform listens on.
        addr: String,
        /// Zone and client listener of each node.
        nodes: Vec<(String, String)>,
    },
    /// Run a cluster until a signal arrives.
    FleetUp(FleetOptions),
}

/// A cluster of real processes on this machine.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// The name of its shape.
    pub shape: String,
    /// The folder for settings, logs and data; it is emptied first.
    pub dir: String,
    /// Its addresses use the ports above this one.
    pub port: u16,
}

/// Options of soak runs.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// How many seeds.
    pub seeds: u64,
    /// The first seed.
    pub first_seed: u64,
    /// Duration of each run's load in seconds.
    pub seconds: u64,
    /// Number of nodes of each tenth run; with 0 no run is large.
    pub large_nodes: usize,
    /// Whether to skip the recovery bounds, which can only be met on a machine without other load.
    pub untimed: bool,
}

/// Reads the command line; `None` if the help or version text was requested and has been printed.
pub fn parse() -> Result<Option<Command>, String> {
    match Flags::read(lexopt::Parser::from_env())? {
        Some(flags) => command(&flags).map(Some),
        None => Ok(None),
    }
}

fn command(flags: &Flags) -> Result<Command, String> {
    let words: Vec<&str> = flags.words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["stand"] => stand_in_server(flags),
        ["platform"] => stand_in_platform(flags),
        ["fleet", "up"] => Ok(Command::FleetUp(fleet_options(flags)?)),
        ["sim"] => Ok(Command::Simulate(simulation_options(flags)?)),
        ["hollow"] => Ok(Command::Hollow(measurement(flags)?)),
        ["bench", "capacity"] => Ok(Command::BenchCapacity {
            part: flags.last_or("part", "all"),
            rounds: flags.number("rounds", DEFAULT_ROUNDS)?,
        }),
        ["bench", benchmark] => Ok(Command::BenchFleet {
            fleet: fleet_options(flags)?,
            benchmark: (*benchmark).to_owned(),
            rounds: flags.number("rounds", DEFAULT_ROUNDS)?,
        }),
        ["try"] => {
            Ok(Command::RunScenarios { fleet: fleet_options(flags)?, options: scenario_options(flags)? })
        }
        ["soak"] => Ok(Command::Soak { fleet: fleet_options(flags)?, options: soak_options(flags)? }),
        [] => Err("a command is missing".into()),
        other => Err(format!("`{}` is not a command", other.join(" "))),
    }
}

fn stand_in_server(flags: &Flags) -> Result<Command, String> {
    Ok(Command::StandInServer(StandInOptions {
        memory_disk: None,
        name: flags.required("name")?,
        addr: flags.required("addr")?,
        labels: parse_labels(&flags.all("label")),
        peers: flags.all("peer"),
        operator_addresses: flags.all("operator-listener"),
        data_dir: flags.last("data").map(Into::into),
        advertised_addr: flags.last("relay"),
    }))
}

fn stand_in_platform(flags: &Flags) -> Result<Command, String> {
    let listeners = flags.all("client-listener");
    let nodes = listeners.iter().filter_map(|listener| listener.split_once('='));
    let nodes = nodes.map(|(zone, addr)| (zone.into(), addr.into())).collect();
    Ok(Command::StandInPlatform { addr: flags.required("addr")?, nodes })
}

fn fleet_options(flags: &Flags) -> Result<FleetOptions, String> {
    Ok(FleetOptions {
        shape: flags.last_or("shape", "small"),
        dir: flags.last_or("dir", "run/fleet"),
        port: flags.number("port", 21_000)?,
    })
}

fn simulation_options(flags: &Flags) -> Result<SimulationOptions, String> {
    let world = if flags.has("control") {
        SimulatedWorld::ControlPlane
    } else if flags.has("direct") {
        SimulatedWorld::Direct
    } else {
        SimulatedWorld::Pooled
    };
    Ok(SimulationOptions {
        world,
        seeds: flags.number("seeds", 20)?,
        first_seed: flags.number("from", 1)?,
        keepers: flags.number("keepers", 3)?,
        nodes: flags.number("nodes", 5)?,
        injected_bug: flags.last("bug"),
        permanent_fault: flags.has("final"),
        promotion_faults: flags.has("promotion-faults"),
        departures: flags.has("departures"),
        slow_promoter: flags.has("slow-promoter"),
        late_joins: flags.has("late-joins"),
        allowed: Allowed::parse(&flags.last_or("allow", ""))?,
    })
}

fn measurement(flags: &Flags) -> Result<Measurement, String> {
    if flags.has("sessions") {
        return Ok(Measurement::Sessions(flags.number("sessions", 1_000)?));
    }
    Ok(Measurement::Fleet(FleetSpec {
        nodes: flags.number("nodes", 12)?,
        groups: flags.number("groups", 20)?,
        keepers: flags.number("keepers", 5)?,
        changes: flags.number("changes", 0)?,
        seconds: flags.number("seconds", 10)?,
    }))
}

fn soak_options(flags: &Flags) -> Result<SoakOptions, String> {
    Ok(SoakOptions {
        seeds: flags.number("seeds", 1)?,
        first_seed: flags.number("from", 1)?,
        seconds: flags.number("seconds", 24)?,
        large_nodes: flags.number("large-nodes", 0)?,
        untimed: flags.has("untimed"),
    })
}

fn scenario_options(flags: &Flags) -> Result<ScenarioOptions, String> {
    Ok(ScenarioOptions {
        scenario: flags.last_or("scenario", "mixed"),
        seconds: flags.number("seconds", 24)?,
        callers: flags.number("callers", 60)?,
        pause_ms: flags.number("pause-ms", 300)?,
        seed: flags.number("seed", 1)?,
        keeps_connections: false,
        untimed: flags.has("untimed"),
    })
}
