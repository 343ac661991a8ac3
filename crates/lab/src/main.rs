//! quincehatch-lab: stand-ins, a whole fleet on one machine, load, faults, checks (§9).
mod args;
mod bench;
mod bench_fleet;
mod breaches;
mod capacity;
mod simulate;
mod simulate_control;
mod simulate_held;
mod up;

use quincehatch_testbed::{platform, stand_in};

fn main() {
    let cmd = match args::read() {
        Ok(Some(c)) => c,
        Ok(None) => return,
        Err(e) => {
            eprintln!("quincehatch-lab: {e}\ntry `quincehatch-lab --help`");
            std::process::exit(2);
        }
    };
    // These make runtimes of their own.
    let alone = match &cmd {
        args::Cmd::Capacity(part, rounds) => Some(capacity::run(part, *rounds)),
        args::Cmd::Hollow(w) => Some(capacity::one(w)),
        _ => None,
    };
    if let Some(done) = alone {
        end(done);
    }
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let done = rt.block_on(async {
        match cmd {
            args::Cmd::Stand(a) => {
                let _log = quincehatch_runtime::logging::start("info")?;
                stand_in::serve(a).await.map_err(|e| e.to_string())
            }
            args::Cmd::Platform { addr, doors } => {
                platform::serve(&addr, doors).await.map_err(|e| e.to_string())
            }
            args::Cmd::Up(u) => up::run(u).await,
            args::Cmd::Bench(u, what, n) => bench::run(u, &what, n).await,
            args::Cmd::Sim(s) if s.control => simulate_control::run(&s),
            args::Cmd::Sim(s) if s.held => simulate_held::run(&s),
            args::Cmd::Capacity(..) | args::Cmd::Hollow(_) => Ok(()),
            args::Cmd::Sim(s) => simulate::run(&s),
            args::Cmd::Try(u, o) => up::tried(u, o).await,
        }
    });
    end(done);
}

fn end(done: Result<(), String>) -> ! {
    if let Err(e) = done {
        eprintln!("quincehatch-lab: {e}");
        std::process::exit(1);
    }
    std::process::exit(0);
}
