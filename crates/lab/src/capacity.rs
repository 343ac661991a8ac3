//! `quincehatch-lab bench capacity` (§9.6): the slopes of docs/CAPACITY.md. Each fleet runs in a process of its own.
use crate::bench::spread;
use quincehatch_capacity::fit::{fit, spread as of};
use quincehatch_capacity::{counted, hollow, parts, sessions, tail, this_thread};
use serde_json::{Value, json};
use std::process::{Command, Stdio};

/// A term by its name, as it hangs on a size.
type Term = (&'static str, fn(f64) -> f64);
/// The terms at each size, and the figure there.
type Rows = Vec<(Vec<f64>, f64)>;
type Named = Vec<(&'static str, Rows)>;
type OfBoth = fn(f64, f64) -> Vec<f64>;

/// What one process measures.
pub enum One {
    Fleet(hollow::Spec),
    Sessions(usize),
}

pub fn one(w: &One) -> Result<(), String> {
    let said = match w {
        One::Fleet(s) => {
            let dir = std::env::temp_dir().join(format!("quincehatch-capacity-{}", std::process::id()));
            let got = hollow::run(s, &dir);
            let _ = std::fs::remove_dir_all(&dir);
            got?
        }
        One::Sessions(n) => {
            let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let me = this_thread();
            let got = rt.and_then(|rt| rt.block_on(sessions::measure(*n, 20_000, &me)));
            let (kib, ms) = got.map_err(|e| e.to_string())?;
            json!({"sessions": n, "kib": kib, "ms_per_1000": ms})
        }
    };
    println!("{said}");
    Ok(())
}

fn child(args: &[(&str, usize)]) -> Result<Value, String> {
    let me = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut c = Command::new(me);
    c.arg("hollow");
    for (k, v) in args {
        c.arg(format!("--{k}")).arg(v.to_string());
    }
    let out = c.stderr(Stdio::inherit()).output().map_err(|e| e.to_string())?;
    let v: Value = serde_json::from_slice(&out.stdout).map_err(|e| format!("{args:?}: {e}"))?;
    println!("  {v}");
    Ok(v)
}

pub fn run(part: &str, rounds: usize) -> Result<(), String> {
    let all = part == "all";
    if all || part == "parts" {
        alone(rounds);
    }
    if all || part == "sessions" {
        rested(rounds)?;
    }
    if all || part == "fleet" {
        fleet(rounds)?;
    }
    if all || part == "changes" {
        changing(rounds)?;
    }
    if all || part == "counted" {
        frames()?;
    }
    Ok(())
}

/// Figures of `rounds` runs at each size, their medians fitted to the terms.
fn slope(name: &str, unit: &str, sizes: &[usize], rounds: usize, terms: &[Term], f: impl Fn(usize) -> f64) {
    let mut rows = Vec::new();
    for n in sizes {
        let got: Vec<f64> = (0..rounds).map(|_| f(*n)).collect();
        rows.push((terms.iter().map(|t| t.1(*n as f64)).collect(), of(got.clone()).0));
        spread(&format!("{name} {n}"), unit, got);
    }
    told(name, unit, &terms.iter().map(|t| t.0).collect::<Vec<_>>(), &rows);
}

fn told(name: &str, unit: &str, terms: &[&str], rows: &[(Vec<f64>, f64)]) {
    match fit(rows) {
        None => println!("= {name}: no fit"),
        Some(x) => {
            let sum: Vec<_> = x.of.iter().zip(terms).map(|(c, t)| format!("{c:.4e} {t}")).collect();
            println!("= {name}: {} {unit}; off by {:.1} % at most", sum.join(" + "), x.off * 100.0);
        }
    }
}

const ONE: Term = ("", |_| 1.0);
const N: Term = ("n", |n| n);
const SQUARE: Term = ("n²", |n| n * n);

fn alone(rounds: usize) {
    let nodes = [58, 115, 230, 460];
    let dbs = [95, 190, 380, 760];
    slope("duty pass over 760 groups, nodes", "ms", &nodes, rounds, &[ONE, N], |n| parts::duty_pass(n, 760));
    slope("duty pass among 460 nodes, groups", "ms", &dbs, rounds, &[ONE, N], |g| parts::duty_pass(460, g));
    slope("mesh a second, nodes known", "ms", &nodes, rounds, &[ONE, N], |n| parts::mesh_second(n, 60).0);
    slope("judges a second, servers", "ms", &[128, 256, 512, 1_024], rounds, &[ONE, N], |n| {
        parts::judges(n).1
    });
    println!("servers that a board takes of 2280: {}", parts::judges(2_280).0);
    slope("tail a second, nodes", "ms", &nodes, rounds, &[ONE, N, SQUARE], |n| tail::second(n, 0, 0, 10).ms);
    for (c, b) in [(0, 0), (5, 0), (10, 0), (20, 0), (0, 570), (0, 1_140), (0, 2_280)] {
        let got: Vec<_> = (0..rounds).map(|_| tail::second(460, c, b, 10)).collect();
        let (polls, bytes) = (got[0].polls, got[0].bytes);
        println!(
            "tail, 460 nodes, {c} changes and {b} idle beats a second: {polls:.0} polls, {bytes:.0} bytes"
        );
        spread("  processor time a second", "ms", got.iter().map(|g| g.ms).collect());
    }
    slope("tail, one adoption of 760 databases, nodes", "ms", &nodes, rounds, &[ONE, N], |n| {
        tail::adopted(n, 760).0
    });
    slope("tail, one adoption of 760 databases, nodes", "bytes", &nodes, 1, &[N], |n| {
        tail::adopted(n, 760).1
    });
    slope("blueprint read, databases", "ms", &dbs, rounds, &[ONE, N, SQUARE], |g| parts::read_blueprint(g).0);
    slope("blueprint, databases", "bytes", &dbs, 1, &[ONE, N], |g| parts::read_blueprint(g).1);
    slope("adoption at a node, databases", "ms", &dbs, rounds, &[ONE, N], |g| parts::changed(g)[0]);
    slope("standing at a node, databases", "ms", &dbs, rounds, &[ONE, N], |g| parts::changed(g)[1]);
    slope("whole store, databases", "bytes", &dbs, 1, &[ONE, N], |g| parts::bytes(g)[0]);
    slope("told a node that begins, databases", "bytes", &dbs, 1, &[ONE, N], |g| parts::bytes(g)[1]);
    slope("told of one adoption, databases", "bytes", &dbs, 1, &[ONE, N], |g| parts::bytes(g)[2]);
    slope("adopted in one pass, 760 databases", "bytes", &[1, 2, 4, 8, 16], 1, &[ONE, N], |n| {
        tail::passed_bytes(760, n as u64) as f64
    });
}

fn rested(rounds: usize) -> Result<(), String> {
    let (mut kib, mut ms) = (Vec::new(), Vec::new());
    for n in [500, 1_000, 2_000, 4_000] {
        let mut got = Vec::new();
        for _ in 0..rounds {
            got.push(child(&[("sessions", n)])?);
        }
        let pick = |k: &str| got.iter().filter_map(|v| v[k].as_f64()).collect::<Vec<_>>();
        kib.push((vec![1.0, n as f64], of(pick("kib")).0 * n as f64));
        ms.extend(pick("ms_per_1000"));
        spread(&format!("sessions {n}, each"), "KiB", pick("kib"));
    }
    told("sessions", "KiB", &["", "n"], &kib);
    spread("1000 statements, with the client's end", "ms", ms);
    Ok(())
}

/// Nodes and groups side by side, then changes.
fn fleet(rounds: usize) -> Result<(), String> {
    let sizes = [(6, 40), (12, 40), (24, 40), (48, 40), (12, 20), (12, 80), (12, 160), (6, 160), (24, 80)];
    let mut rows: Named =
        ["node_ms", "node_kib", "letters", "status", "tail_ms", "head_ms"].map(|k| (k, vec![])).to_vec();
    for (n, g) in sizes {
        let mut got = Vec::new();
        for _ in 0..rounds {
            got.push(child(&[("nodes", n), ("groups", g), ("keepers", 5), ("changes", 0), ("seconds", 8)])?);
        }
        for (k, to) in &mut rows {
            let v: Vec<f64> = got.iter().filter_map(|v| v[*k].as_f64()).collect();
            let (a, b) = (n as f64, g as f64);
            // A process's own memory is shared by its nodes; a node's status questions are its groups' by its part of them.
            let terms = match *k {
                "node_kib" => vec![1.0 / a, 1.0, b],
                "status" => vec![b / a],
                "tail_ms" | "head_ms" => vec![1.0, a, b],
                "letters" => vec![1.0, a],
                // Questions answered for each group, and STATUS asked by whoever looks after it. What n·g adds (§6.3) is too
                // small at these sizes and is measured alone.
                _ => vec![1.0, b, b / a],
            };
            to.push((terms, of(v.clone()).0));
            spread(&format!("{k}, {n} nodes, {g} groups"), "", v);
        }
    }
    for (k, r) in &rows {
        let terms: &[&str] = match *k {
            "node_kib" => &["1/n", "", "g"],
            "status" => &["g/n"],
            "tail_ms" | "head_ms" => &["", "n", "g"],
            "letters" => &["", "n"],
            _ => &["", "g", "g/n"],
        };
        told(k, "", terms, r);
    }
    Ok(())
}

/// The same fleet while standings are written.
fn changing(rounds: usize) -> Result<(), String> {
    let mut rows: Named = ["node_ms", "head_ms", "tail_ms"].map(|k| (k, vec![])).to_vec();
    for c in [0, 5, 10, 20] {
        let mut got = Vec::new();
        for _ in 0..rounds {
            got.push(child(&[
                ("nodes", 12),
                ("groups", 40),
                ("keepers", 5),
                ("changes", c),
                ("seconds", 8),
            ])?);
        }
        for (k, to) in &mut rows {
            let v: Vec<f64> = got.iter().filter_map(|v| v[*k].as_f64()).collect();
            let x: Vec<f64> = got.iter().filter_map(|v| v["changes"].as_f64()).collect();
            to.push((vec![1.0, of(x).0], of(v.clone()).0));
            spread(&format!("{k}, {c} changes a second"), "", v);
        }
    }
    for (k, r) in &rows {
        told(k, "by changes a second", &["", "c"], r);
    }
    Ok(())
}

/// Frames by kind, a node and second. What does not grow is fitted by its mean, the rest by what it grows with.
fn frames() -> Result<(), String> {
    let sizes =
        [(30, 0), (60, 0), (120, 0), (240, 0), (460, 0), (12, 10), (24, 10), (48, 10), (24, 20), (24, 40)];
    let seconds = 12;
    let mut rows: std::collections::BTreeMap<&str, Vec<(f64, f64, f64, f64)>> = Default::default();
    for (n, g) in sizes {
        let c = counted::count(n, g, seconds).ok_or("a fleet did not come into service")?;
        println!("{n} nodes, {g} groups: the least knows {} nodes", c.least);
        spread("  push to in force", "ms", c.pushed.iter().map(|x| *x as f64).collect());
        println!("  after a node died: {} ms", c.pushed_after_death);
        let per = |x: u64| x as f64 / seconds as f64 / n as f64;
        for (kind, [k, there, back]) in c.sent {
            println!("  {kind}: {:.2} asked, {:.0} bytes there, {:.0} back", per(k), per(there), per(back));
            rows.entry(kind).or_default().push((n as f64, g as f64, per(k), per(there + back)));
        }
    }
    for (kind, r) in rows {
        let (names, terms): (&[&str], OfBoth) = match kind {
            "acked" => (&["g"], |_, g| vec![g]),
            "status" => (&["g/n", "g"], |n, g| vec![g / n, g]),
            _ => (&[""], |_, _| vec![1.0]),
        };
        let asked: Vec<_> = r.iter().map(|x| (terms(x.0, x.1), x.2)).collect();
        let bytes: Vec<_> = r.iter().map(|x| (terms(x.0, x.1), x.3)).collect();
        told(&format!("{kind} asked"), "a node and second", names, &asked);
        told(&format!("{kind} bytes"), "a node and second", names, &bytes);
    }
    Ok(())
}
