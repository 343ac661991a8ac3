//! Whether an earlier rule takes all visits of a later one (§7.3), found by their first labels: blueprints have thousands.
use crate::configuration::Route;
use std::collections::HashMap;

/// Rules by class and by each value of the first label they ask for; those that ask for none take all.
#[derive(Default)]
pub(crate) struct Earlier<'a> {
    by_first: HashMap<(&'a str, &'a str, &'a str), Vec<usize>>,
    any: Vec<usize>,
}

impl<'a> Earlier<'a> {
    pub fn add(&mut self, i: usize, r: &'a Route) {
        match r.when.iter().next() {
            None => self.any.push(i),
            Some((k, vs)) => {
                let at = vs.iter().map(|v| (r.class.as_str(), k.as_str(), v.as_str()));
                at.for_each(|at| self.by_first.entry(at).or_default().push(i));
            }
        }
    }
    pub fn takes_all(&self, rules: &[Route], r: &Route) -> bool {
        // Whoever takes all of them holds each value that the later one asks for, so its first too.
        let firsts = r.when.iter().filter_map(|(k, vs)| vs.first().map(|v| (k.as_str(), v.as_str())));
        let near = firsts.filter_map(|(k, v)| self.by_first.get(&(r.class.as_str(), k, v)));
        near.flatten().chain(&self.any).any(|i| covers(&rules[*i], r))
    }
}

fn covers(e: &Route, r: &Route) -> bool {
    let held =
        |(k, vs): (&String, &Vec<String>)| r.when.get(k).is_some_and(|rv| rv.iter().all(|x| vs.contains(x)));
    e.class == r.class && e.when.iter().all(held)
}
