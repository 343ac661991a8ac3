//! docs/CAPACITY.md does not drift (§9.6): its sums follow from its slopes and sizes, what it says of bytes and bounds is
//! what the code has, and its last table says what its sums say.
use quincehatch_capacity::fit::{Sample, fit};
use quincehatch_capacity::samples::SERVERS_PER_GROUP;
use quincehatch_capacity::{components, tail_keeper};
use std::collections::BTreeMap;

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

type Named = BTreeMap<String, f64>;

/// The rows of the table under a heading, cell by cell, without its head.
fn table(under: &str) -> Vec<Vec<String>> {
    let after = PAGE.split_once(&format!("\n## {under}\n")).unwrap_or_else(|| panic!("no {under}")).1;
    let section = after.split("\n## ").next().unwrap_or("");
    let lines = section.lines().filter(|l| l.starts_with('|')).skip(2);
    let cells = |l: &str| l.trim_matches('|').split(" | ").map(|c| c.trim().to_owned()).collect();
    lines.map(cells).collect()
}

fn name(cell: &str) -> String {
    cell.trim_matches('`').to_owned()
}

fn number(cell: &str) -> f64 {
    let n = cell.split(' ').next().unwrap_or("").replace(',', "");
    n.parse().unwrap_or_else(|_| panic!("{cell:?} does not begin with a number"))
}

fn given() -> Named {
    let of = |t: &str| table(t).into_iter().map(|r| (name(&r[0]), number(&r[1]))).collect::<Vec<_>>();
    of("Sizes").into_iter().chain(of("Slopes")).collect()
}

/// Sums, products and brackets over names and numbers.
struct Sum<'a> {
    left: std::iter::Peekable<std::vec::IntoIter<&'a str>>,
    known: &'a Named,
}

fn tokens(s: &str) -> Vec<&str> {
    let mut out = Vec::new();
    let mut rest = s.trim();
    while let Some(c) = rest.chars().next() {
        let word = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
        let n = if word(c) { rest.find(|c| !word(c)).unwrap_or(rest.len()) } else { c.len_utf8() };
        out.push(&rest[..n]);
        rest = rest[n..].trim_start();
    }
    out
}

impl Sum<'_> {
    fn of(text: &str, known: &Named) -> f64 {
        let mut s = Sum { left: tokens(text).into_iter().peekable(), known };
        let v = s.add();
        assert!(s.left.peek().is_none(), "{text}: ends early");
        v
    }
    fn add(&mut self) -> f64 {
        let mut v = self.times();
        while let Some(op) = self.left.next_if(|t| matches!(*t, "+" | "-")) {
            let w = self.times();
            v = if op == "+" { v + w } else { v - w };
        }
        v
    }
    fn times(&mut self) -> f64 {
        let mut v = self.one();
        while let Some(op) = self.left.next_if(|t| matches!(*t, "*" | "/")) {
            let w = self.one();
            v = if op == "*" { v * w } else { v / w };
        }
        v
    }
    fn one(&mut self) -> f64 {
        match self.left.next() {
            Some("(") => {
                let v = self.add();
                assert_eq!(self.left.next(), Some(")"));
                v
            }
            Some(t) => match t.parse() {
                Ok(v) => v,
                Err(_) => *self.known.get(t).unwrap_or_else(|| panic!("{t} stands in no table above")),
            },
            None => panic!("a sum ends early"),
        }
    }
}

/// As near as the page's digits go.
fn same(what: &str, said: f64, is: f64) {
    assert!((said - is).abs() <= is.abs() * 0.006 + 1e-9, "{what}: the page says {said}, it is {is}");
}

fn sums() -> Named {
    let mut known = given();
    for r in table("Sums") {
        let v = Sum::of(&name(&r[1]), &known);
        same(&r[0], number(&r[2]), v);
        known.insert(name(&r[0]), v);
    }
    known
}

#[test]
fn the_sums_follow_from_the_slopes() {
    assert!(table("Sums").len() > 15);
    sums();
}

#[test]
fn the_last_table_says_what_the_sums_say() {
    let known = sums();
    let mut seen = 0;
    for r in table("Roles at the size") {
        for cell in &r {
            let Some((before, after)) = cell.split_once(" (`") else { continue };
            let of = after.split('`').next().unwrap_or("");
            let is = *known.get(of).unwrap_or_else(|| panic!("{of} is no sum"));
            same(of, number(before), is);
            seen += 1;
        }
    }
    assert!(seen > 10, "{seen}");
}

/// Bytes and bounds hang on the code alone, and so are looked at again here.
#[test]
fn bytes_and_bounds_are_what_the_code_has() {
    let k = given();
    let dbs = k["databases"] as usize;
    let frames = components::frame_sizes(dbs);
    same("store_bytes", k["store_bytes"], frames.store as f64);
    same("begin_bytes", k["begin_bytes"], frames.snapshot as f64);
    same("news_bytes", k["news_bytes"], frames.change as f64);
    same("pass_bytes", k["pass_bytes"], tail_keeper::first_transfer_bytes(dbs, 1) as f64);
    same("text_bytes", k["text_bytes"], components::parse_configuration(dbs).bytes as f64);
    let registered = components::health_checks(dbs * SERVERS_PER_GROUP).servers;
    same("board_rows", k["board_rows"], registered as f64);
    same("frame_max", k["frame_max"], quincehatch_wire::MAX_FRAME_BYTES as f64);
    same("node_lease_ms", k["node_lease_ms"], quincehatch_store::timing::NODE_LEASE as f64);
    assert_eq!(quincehatch_store::limits::LOG_MAX_ENTRIES, 512, "as the page says");
    same("transfer_max", k["transfer_max"], quincehatch_store::limits::TRANSFER_MAX_BYTES as f64);
    for adoptions in [10, 11, 100] {
        let passed = tail_keeper::first_transfer_bytes(dbs, adoptions) as f64;
        assert!(passed < k["transfer_max"] + k["pass_bytes"], "{adoptions} adoptions in {passed} bytes");
    }
}

#[test]
fn a_fit_finds_its_terms_and_tells_what_is_left() {
    let rows = |f: fn(f64, f64) -> f64| {
        let at = [(6.0, 40.0), (12.0, 40.0), (24.0, 80.0), (48.0, 20.0), (6.0, 160.0)];
        at.map(|(n, g)| Sample { terms: vec![1.0, n, g, n * g], value: f(n, g) }).to_vec()
    };
    let x = fit(&rows(|n, g| 2.0 + 0.1 * n + 0.05 * g + 0.001 * n * g)).unwrap();
    for (is, should) in x.coefficients.iter().zip([2.0, 0.1, 0.05, 0.001]) {
        assert!((is - should).abs() < 1e-6, "{x:?}");
    }
    assert!(x.max_residual < 1e-9);
    assert!(fit(&rows(|n, g| n * n * g)).unwrap().max_residual > 0.01);
    let same_twice = Sample { terms: vec![1.0, 2.0], value: 3.0 };
    assert!(fit(&[same_twice.clone(), same_twice]).is_none());
}
