//! Flags of quincehatch-lab.
use crate::capacity::One;
use quincehatch_capacity::hollow;
use quincehatch_simulator::control::Allowed;
use quincehatch_testbed::{fleet, stand_in};

const HELP: &str = "quincehatch-lab: the lab of quincehatch

usage: quincehatch-lab fleet up [--shape thin|small|scripwell|lensbridge|nodes:N] [--dir DIR] [--port N]
       quincehatch-lab try [--scenario NAME|all] [--shape ...] [--seconds N] [--callers N] [--pause-ms N] [--seed N]
                 [--untimed]
       quincehatch-lab sim [--seeds N] [--from SEED] [--keepers N] [--nodes N] [--bug NAME] [--final|--hands|--held]
       quincehatch-lab sim --control [--allow LIST] [--seeds N] [--from SEED] [--bug NAME]
       quincehatch-lab bench front|judges|push|mesh|long|all-bad|faults [--rounds N] [--shape ...]
       quincehatch-lab bench capacity [--rounds N] [--part parts|sessions|fleet|changes|counted|all]
       quincehatch-lab stand --name NAME --addr IP:PORT [--label K=V] [--peer IP:PORT] [--desk IP:PORT] [--data DIR]
                   [--relay IP:PORT]
       quincehatch-lab platform --addr IP:PORT --door DISTRICT=IP:PORT ...

  fleet up    starts a whole fleet on loopback, pushes a blueprint, and runs until Enter or a signal
  try         starts a fleet, runs callers and a script of faults, and checks that no must-never happened
  sim         the seeded simulator; a failing seed replays exactly with --from SEED --seeds 1; --held: servers met
              over held links; --control: the control plane alone
  bench       measures: ratios, counts, pairs in turn; median and spread
  stand       one stand-in database server
  platform    the platform's stand-in

  -h, --help     this text
  -V, --version  the version";

pub enum Cmd {
    Sim(Sim),
    Bench(Up, String, usize),
    Capacity(String, usize),
    /// One fleet of hollow nodes, or sessions that rest, measured in this process.
    Hollow(crate::capacity::One),
    Try(Up, quincehatch_testbed::scenario::ScenarioOptions),
    Stand(stand_in::StandInOptions),
    Platform {
        addr: String,
        doors: Vec<(String, String)>,
    },
    Up(Up),
}

#[derive(Debug, Clone)]
pub struct Up {
    pub shape: String,
    pub dir: String,
    pub port: u16,
}

/// How to simulate.
#[derive(Debug, Clone)]
pub struct Sim {
    pub seeds: u64,
    pub from: u64,
    pub keepers: usize,
    pub nodes: usize,
    pub bug: Option<String>,
    /// One final breakdown a seed, nothing healed.
    pub last: bool,
    /// Faults close to changes of hands.
    pub hands: bool,
    /// Servers are met over held links.
    pub held: bool,
    /// The control plane alone.
    pub control: bool,
    /// What the present code is known not to withstand, and is drawn all the same.
    pub allowed: Allowed,
}

/// Flags as pairs, and the words that are none.
pub struct Bag {
    pub words: Vec<String>,
    pub flags: Vec<(String, String)>,
}

impl Bag {
    fn has(&self, k: &str) -> bool {
        self.flags.iter().any(|(n, _)| n == k)
    }
    pub fn one(&self, k: &str) -> Option<String> {
        self.flags.iter().rev().find(|(f, _)| f == k).map(|(_, v)| v.clone())
    }
    pub fn all(&self, k: &str) -> Vec<String> {
        self.flags.iter().filter(|(f, _)| f == k).map(|(_, v)| v.clone()).collect()
    }
    pub fn need(&self, k: &str) -> Result<String, String> {
        self.one(k).ok_or_else(|| format!("--{k} is missing"))
    }
    pub fn num<T: std::str::FromStr>(&self, k: &str, or: T) -> Result<T, String> {
        self.one(k)
            .map_or(Ok(or), |v| v.parse().map_err(|_| format!("--{k}: {v:?} is not a number in range")))
    }
}

fn up(b: &Bag) -> Result<Up, String> {
    Ok(Up {
        shape: b.one("shape").unwrap_or_else(|| "small".into()),
        dir: b.one("dir").unwrap_or_else(|| "run/fleet".into()),
        port: b.num("port", 21_000)?,
    })
}

const FLAGS: &[&str] = &[
    "shape", "dir", "port", "name", "addr", "label", "peer", "desk", "data", "relay", "door", "scenario",
    "seconds", "callers", "pause-ms", "seed", "seeds", "from", "keepers", "nodes", "bug", "rounds", "part",
    "groups", "changes", "sessions", "allow",
];

pub fn read() -> Result<Option<Cmd>, String> {
    use lexopt::prelude::*;
    let mut p = lexopt::Parser::from_env();
    let mut b = Bag { words: vec![], flags: vec![] };
    while let Some(a) = p.next().map_err(|e| e.to_string())? {
        match a {
            Short('h') | Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("quincehatch-lab {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Long(k @ ("untimed" | "final" | "hands" | "held" | "control")) => {
                let k = k.to_owned();
                b.flags.push((k, String::new()));
            }
            Long(k) if FLAGS.contains(&k) => {
                let k = k.to_owned();
                let v = p.value().and_then(|v| v.string()).map_err(|e| e.to_string())?;
                b.flags.push((k, v));
            }
            Value(v) => b.words.push(v.string().map_err(|e| e.to_string())?),
            other => return Err(other.unexpected().to_string()),
        }
    }
    let words: Vec<&str> = b.words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["stand"] => Ok(Some(Cmd::Stand(stand_in::StandInOptions {
            memory_disk: None,
            name: b.need("name")?,
            addr: b.need("addr")?,
            labels: fleet::parse_labels(&b.all("label")),
            peers: b.all("peer"),
            operator_addresses: b.all("desk"),
            data_dir: b.one("data").map(Into::into),
            advertised_addr: b.one("relay"),
        }))),
        ["platform"] => {
            let doors = b.all("door");
            let doors =
                doors.iter().filter_map(|d| d.split_once('=')).map(|(d, a)| (d.into(), a.into())).collect();
            Ok(Some(Cmd::Platform { addr: b.need("addr")?, doors }))
        }
        ["fleet", "up"] => Ok(Some(Cmd::Up(up(&b)?))),
        ["sim"] => Ok(Some(Cmd::Sim(Sim {
            seeds: b.num("seeds", 20)?,
            from: b.num("from", 1)?,
            keepers: b.num("keepers", 3)?,
            nodes: b.num("nodes", 5)?,
            bug: b.one("bug"),
            last: b.has("final"),
            hands: b.has("hands"),
            held: b.has("held"),
            control: b.has("control"),
            allowed: Allowed::parse(&b.one("allow").unwrap_or_default())?,
        }))),
        ["bench", "capacity"] => {
            Ok(Some(Cmd::Capacity(b.one("part").unwrap_or_else(|| "all".into()), b.num("rounds", 5)?)))
        }
        ["hollow"] if b.has("sessions") => Ok(Some(Cmd::Hollow(One::Sessions(b.num("sessions", 1_000)?)))),
        ["hollow"] => Ok(Some(Cmd::Hollow(One::Fleet(hollow::Spec {
            nodes: b.num("nodes", 12)?,
            groups: b.num("groups", 20)?,
            keepers: b.num("keepers", 5)?,
            changes: b.num("changes", 0)?,
            seconds: b.num("seconds", 10)?,
        })))),
        ["bench", what] => Ok(Some(Cmd::Bench(up(&b)?, (*what).to_owned(), b.num("rounds", 5)?))),
        ["try"] => {
            let o = quincehatch_testbed::scenario::ScenarioOptions {
                scenario: b.one("scenario").unwrap_or_else(|| "mixed".into()),
                seconds: b.num("seconds", 24)?,
                callers: b.num("callers", 60)?,
                pause_ms: b.num("pause-ms", 300)?,
                seed: b.num("seed", 1)?,
                untimed: b.has("untimed"),
            };
            Ok(Some(Cmd::Try(up(&b)?, o)))
        }
        [] => Err("a command is missing".into()),
        w => Err(format!("`{}` is not a command", w.join(" "))),
    }
}
