//! Kubernetes-style objects as a blueprint (§7.4): a small door to the same reading and checks.
use quincehatch_core::{Error, ErrorCode};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

pub const API: &str = "quincehatch/v1";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct Object {
    api_version: String,
    kind: String,
    #[serde(default)]
    metadata: Meta,
    #[serde(default)]
    spec: Map<String, Value>,
    #[serde(default)]
    items: Vec<Value>,
}

/// Of the usual metadata only the name has a meaning here; the rest is taken and left alone.
#[derive(Default, Deserialize)]
struct Meta {
    #[serde(default)]
    name: String,
}

#[derive(Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
struct LabelSelector {
    match_labels: std::collections::BTreeMap<String, String>,
    match_expressions: Vec<Expression>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expression {
    key: String,
    operator: String,
    values: Vec<String>,
}

fn invalid(why: impl std::fmt::Display) -> Error {
    ErrorCode::ConfigurationInvalid.with_detail(why)
}

/// Does the text look like such objects?
pub fn are_objects(text: &str) -> bool {
    text.lines().any(|l| l.trim_start().trim_start_matches(['-', '{', ' ', '"']).starts_with("apiVersion"))
}

/// The objects as one blueprint in JSON, to be read and checked like any other.
pub fn to_json(text: &str) -> Result<String, Error> {
    let mut out = json!({"placements": [], "rules": [], "districts": []});
    for (i, doc) in serde_norway::Deserializer::from_str(text).enumerate() {
        let v = Value::deserialize(doc).map_err(|e| invalid(format_args!("document {}: {e}", i + 1)))?;
        if !v.is_null() {
            put(&mut out, v, &format!("document {}", i + 1))?;
        }
    }
    Ok(out.to_string())
}

fn put(out: &mut Value, v: Value, at: &str) -> Result<(), Error> {
    let o: Object = serde_json::from_value(v).map_err(|e| invalid(format_args!("{at}: {e}")))?;
    if o.kind == "List" {
        let each = o.items.into_iter().enumerate();
        return each.into_iter().try_for_each(|(i, v)| put(out, v, &format!("{at}, item {}", i + 1)));
    }
    if o.api_version != API {
        return Err(invalid(format_args!("{at}: apiVersion is {:?}, known is {API:?}", o.api_version)));
    }
    let mut spec = snake(o.spec);
    let listed = match o.kind.as_str() {
        "Placement" => Some("placements"),
        "Rule" => Some("rules"),
        "District" => Some("districts"),
        "Judges" | "Links" | "Holding" => None,
        k => return Err(invalid(format_args!("{at}: no kind is called {k:?}"))),
    };
    let Some(list) = listed else {
        let key = o.kind.to_lowercase();
        if out.get(&key).is_some() {
            return Err(invalid(format_args!("{at}: {} is given twice", o.kind)));
        }
        out[key] = Value::Object(spec);
        return Ok(());
    };
    if let Some(s) = spec.remove("selector") {
        let (with, without) = selector(s).map_err(|e| invalid(format_args!("{at}: spec.selector: {e}")))?;
        let rule = list == "rules";
        if rule && without.as_object().is_some_and(|w| !w.is_empty()) {
            return Err(invalid(format_args!("{at}: spec.selector: a rule takes no NotIn")));
        }
        spec.insert(if rule { "when" } else { "select" }.into(), with);
        if !rule {
            spec.insert("except".into(), without);
        }
    }
    spec.insert("name".into(), o.metadata.name.into());
    if let Some(l) = out[list].as_array_mut() {
        l.push(Value::Object(spec));
    }
    Ok(())
}

/// `timeoutMs` is `timeout_ms` to the blueprint.
fn snake(m: Map<String, Value>) -> Map<String, Value> {
    m.into_iter()
        .map(|(k, v)| {
            let mut s = String::new();
            for c in k.chars() {
                if c.is_ascii_uppercase() {
                    s.push('_');
                }
                s.push(c.to_ascii_lowercase());
            }
            (s, v)
        })
        .collect()
}

/// Labels that must be among some values, and labels that must not.
fn selector(v: Value) -> Result<(Value, Value), String> {
    let s: LabelSelector = serde_json::from_value(v).map_err(|e| e.to_string())?;
    let (mut with, mut without) = (Map::new(), Map::new());
    s.match_labels.into_iter().for_each(|(k, v)| drop(with.insert(k, json!([v]))));
    for e in s.match_expressions {
        let into = match e.operator.as_str() {
            "In" => &mut with,
            "NotIn" => &mut without,
            o => return Err(format!("the operator {o:?} is not taken; In and NotIn are")),
        };
        if into.insert(e.key.clone(), json!(e.values)).is_some() {
            return Err(format!("{:?} stands twice", e.key));
        }
    }
    Ok((Value::Object(with), Value::Object(without)))
}

#[cfg(test)]
mod tests {
    use crate::configuration::Configuration;

    const GOOD: &str = "
apiVersion: quincehatch/v1
kind: Placement
metadata: { name: scrips, labels: { team: rx } }
spec:
  selector:
    matchLabels: { group: rx }
    matchExpressions: [{ key: tier, operator: NotIn, values: [old] }]
---
apiVersion: quincehatch/v1
kind: Rule
metadata: { name: orders }
spec:
  class: order
  placement: scrips
  timeoutMs: 800
  selector: { matchLabels: { db: rx } }
---
apiVersion: quincehatch/v1
kind: Judges
spec: { returnAfterMs: 20000 }
";

    #[test]
    fn objects_are_a_blueprint_like_any_other() {
        let a = Configuration::parse(GOOD).unwrap();
        let b = Configuration::parse(
            "[[placements]]\nname=\"scrips\"\nselect={group=[\"rx\"]}\nexcept={tier=[\"old\"]}\n[[rules]]\nname=\"orders\"\n\
             class=\"order\"\nplacement=\"scrips\"\ntimeout_ms=800\nwhen={db=[\"rx\"]}\n[judges]\nreturn_after_ms=20000\n",
        );
        assert_eq!(a, b.unwrap());
    }

    #[test]
    fn mistakes_in_objects_are_told_by_document_and_the_same_checks_hold() {
        for (from, to, want) in [
            ("quincehatch/v1\nkind: Rule", "apps/v1\nkind: Rule", "document 2: apiVersion"),
            ("kind: Judges", "kind: Pod", "no kind is called \"Pod\""),
            ("operator: NotIn", "operator: Exists", "In and NotIn are"),
            ("timeoutMs: 800", "timeoutMs: 8", "rules[0].timeout_ms: 8 is outside"),
            ("timeoutMs: 800", "colour: red", "colour"),
            ("matchLabels: { group: rx }", "matchLabels: { host: rx }", "chosen by labels"),
            ("kind: Placement", "kind: [", "document 1"),
        ] {
            let b = Configuration::parse(&GOOD.replace(from, to)).expect_err(to);
            assert!(
                b.has_code(quincehatch_core::ErrorCode::ConfigurationInvalid) && b.text.contains(want),
                "{b} lacks {want:?}"
            );
        }
    }
}
