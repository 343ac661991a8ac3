//! Consistency of docs/CAPACITY.md (§9.6): its sums follow from its slopes and sizes, its byte counts and limits are
//! those of the code, and its last table agrees with its sums.
use quincehatch_capacity::fit::{Sample, fit};
use quincehatch_capacity::samples::SERVERS_PER_GROUP;
use quincehatch_capacity::{components, tail_keeper};
use std::collections::BTreeMap;

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

type NamedFigures = BTreeMap<String, f64>;

/// Returns the cells of the table under a heading, row by row, without the header.
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

fn sizes_and_slopes() -> NamedFigures {
    let of = |t: &str| table(t).into_iter().map(|r| (name(&r[0]), number(&r[1]))).collect::<Vec<_>>();
    of("Sizes").into_iter().chain(of("Slopes")).collect()
}

/// A parser that evaluates expressions of names, numbers, the four basic operators and parentheses.
struct Expression<'a> {
    left: std::iter::Peekable<std::vec::IntoIter<&'a str>>,
    known: &'a NamedFigures,
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

impl Expression<'_> {
    fn evaluate(text: &str, known: &NamedFigures) -> f64 {
        let mut s = Expression { left: tokens(text).into_iter().peekable(), known };
        let v = s.sum();
        assert!(s.left.peek().is_none(), "{text}: unexpected text after the expression");
        v
    }
    fn sum(&mut self) -> f64 {
        let mut v = self.product();
        while let Some(op) = self.left.next_if(|t| matches!(*t, "+" | "-")) {
            let w = self.product();
            v = if op == "+" { v + w } else { v - w };
        }
        v
    }
    fn product(&mut self) -> f64 {
        let mut v = self.factor();
        while let Some(op) = self.left.next_if(|t| matches!(*t, "*" | "/")) {
            let w = self.factor();
            v = if op == "*" { v * w } else { v / w };
        }
        v
    }
    fn factor(&mut self) -> f64 {
        match self.left.next() {
            Some("(") => {
                let v = self.sum();
                assert_eq!(self.left.next(), Some(")"));
                v
            }
            Some(t) => match t.parse() {
                Ok(v) => v,
                Err(_) => *self.known.get(t).unwrap_or_else(|| panic!("{t} is not defined in a table above")),
            },
            None => panic!("unexpected end of the expression"),
        }
    }
}

/// Asserts that a figure of the page equals the actual value, within the precision of the page's digits.
fn assert_same(what: &str, said: f64, is: f64) {
    assert!(
        (said - is).abs() <= is.abs() * 0.006 + 1e-9,
        "{what}: the page has {said}, the actual value is {is}"
    );
}

fn sums() -> NamedFigures {
    let mut known = sizes_and_slopes();
    for r in table("Sums") {
        let v = Expression::evaluate(&name(&r[1]), &known);
        assert_same(&r[0], number(&r[2]), v);
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
fn the_last_table_agrees_with_the_sums() {
    let known = sums();
    let mut seen = 0;
    for r in table("Roles at the size") {
        for cell in &r {
            let Some((before, after)) = cell.split_once(" (`") else { continue };
            let of = after.split('`').next().unwrap_or("");
            let is = *known.get(of).unwrap_or_else(|| panic!("{of} is not among the sums"));
            assert_same(of, number(before), is);
            seen += 1;
        }
    }
    assert!(seen > 10, "{seen}");
}

/// Byte counts and limits depend only on the code, so this test computes them again.
#[test]
fn byte_counts_and_limits_match_the_code() {
    let k = sizes_and_slopes();
    let dbs = k["databases"] as usize;
    let frames = components::frame_sizes(dbs);
    assert_same("store_bytes", k["store_bytes"], frames.store as f64);
    assert_same("begin_bytes", k["begin_bytes"], frames.snapshot as f64);
    assert_same("news_bytes", k["news_bytes"], frames.change as f64);
    assert_same("pass_bytes", k["pass_bytes"], tail_keeper::first_transfer_bytes(dbs, 1) as f64);
    assert_same("text_bytes", k["text_bytes"], components::parse_configuration(dbs).bytes as f64);
    let registered = components::health_checks(dbs * SERVERS_PER_GROUP).servers;
    assert_same("board_rows", k["board_rows"], registered as f64);
    assert_same("frame_max", k["frame_max"], quincehatch_wire::MAX_FRAME_BYTES as f64);
    assert_same("node_lease_ms", k["node_lease_ms"], quincehatch_store::timing::NODE_LEASE as f64);
    assert_eq!(quincehatch_store::limits::LOG_MAX_ENTRIES, 512, "as the page says");
    assert_same("transfer_max", k["transfer_max"], quincehatch_store::limits::TRANSFER_MAX_BYTES as f64);
    for adoptions in [10, 11, 100] {
        let passed = tail_keeper::first_transfer_bytes(dbs, adoptions) as f64;
        assert!(passed < k["transfer_max"] + k["pass_bytes"], "{adoptions} adoptions in {passed} bytes");
    }
}

#[test]
fn a_fit_finds_the_coefficients_and_reports_the_residual() {
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
