//! Which rules an earlier one leaves nothing (§7.3), however many there are.
use quincehatch_config::configuration::{Configuration, Route};
use quincehatch_runtime::rng::Rng;

fn covers(e: &Route, r: &Route) -> bool {
    e.class == r.class
        && e.when.iter().all(|(k, vs)| r.when.get(k).is_some_and(|rv| rv.iter().all(|x| vs.contains(x))))
}

fn rule(rng: &mut Rng, i: usize) -> String {
    let mut when = Vec::new();
    for k in ["db", "kind", "prefix"] {
        if rng.below(3) > 0 {
            let vs: Vec<String> =
                (0..=rng.below(2)).map(|j| format!(r#""{}""#, (j + rng.below(2)) % 3)).collect();
            when.push(format!(r#""{k}":[{}]"#, vs.join(",")));
        }
    }
    let class = if rng.below(2) == 0 { "order" } else { "lookup" };
    format!(r#"{{"name":"r{i}","class":"{class}","placement":"p","when":{{{}}}}}"#, when.join(","))
}

#[test]
fn the_same_rules_are_named_as_by_comparing_each_with_each() {
    let start = r#"{"placements":[{"name":"p","select":{"group":["g"]}}],"rules":[{"name":"x","class":"order","placement":"p","when":{"db":["x"]}}]}"#;
    let whole = Configuration::parse(start).unwrap();
    let (mut some, mut none) = (0, 0);
    for seed in 0..300 {
        let mut rng = Rng::new(seed);
        let n = 2 + rng.below(5) as usize;
        let rules: Vec<String> = (0..n).map(|i| rule(&mut rng, i)).collect();
        let text = format!(
            r#"{{"placements":[{{"name":"p","select":{{"group":["g"]}}}}],"rules":[{}]}}"#,
            rules.join(",")
        );
        let said = Configuration::parse(&text).map_or_else(|b| b.to_string(), |_| String::new());
        // The rules themselves, read one by one, as no check compares one with itself.
        let read = |r: &String| {
            let one =
                format!(r#"{{"placements":[{{"name":"p","select":{{"group":["g"]}}}}],"rules":[{r}]}}"#);
            Configuration::parse(&one).unwrap().routes.remove(0)
        };
        let all: Vec<Route> = rules.iter().map(read).collect();
        for i in 0..n {
            let taken = all[..i].iter().any(|e| covers(e, &all[i]));
            let named = said.contains(&format!("rules[{i}].when: an earlier rule"));
            assert_eq!(named, taken, "seed {seed}, rule {i}: {said}\n{text}");
            if taken { some += 1 } else { none += 1 }
        }
    }
    assert!(some > 50 && none > 50 && whole.routes.len() == 1, "{some} {none}");
}

#[test]
fn what_was_checked_is_read_again_as_it_was() {
    let text = r#"{"placements":[{"name":"p","select":{"group":["g"]}}],"rules":[{"name":"x","class":"order","placement":"p","when":{"db":["x"]}}],"groups":[{"name":"g","sync_replicas":1}]}"#;
    let bp = Configuration::parse(text).unwrap();
    assert_eq!(Configuration::parse_stored(&bp.to_stored_json()).unwrap(), bp);
    assert_eq!(
        Configuration::parse_stored(text).unwrap(),
        bp,
        "as an operator wrote it, with what stands for the rest"
    );
}
