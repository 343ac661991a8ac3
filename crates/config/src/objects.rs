//! Kubernetes-style objects: they are converted to a plain configuration, which is then read and validated like any
//! other.
use crate::deprecated_keys::{self, DeprecatedKeys};
use quincehatch_core::{Error, ErrorCode};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::fmt::Display;

/// The `apiVersion` of all objects.
pub const API_VERSION: &str = "quincehatch/v1";

/// The kind that only lists other objects.
const LIST_KIND: &str = "List";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct Object {
    api_version: String,
    kind: String,
    #[serde(default)]
    metadata: Metadata,
    #[serde(default)]
    spec: Map<String, Value>,
    #[serde(default)]
    items: Vec<Value>,
}

/// Of the usual metadata only the name has a meaning here; the rest is accepted and ignored.
#[derive(Default, Deserialize)]
struct Metadata {
    #[serde(default)]
    name: String,
}

#[derive(Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
struct LabelSelector {
    match_labels: BTreeMap<String, String>,
    match_expressions: Vec<Expression>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expression {
    key: String,
    operator: String,
    values: Vec<String>,
}

/// A label selector in the configuration's own form.
struct SplitSelector {
    /// Labels that must have one of the listed values.
    required: Map<String, Value>,
    /// Labels that must have none of the listed values.
    excluded: Map<String, Value>,
}

/// The part of the configuration that an object's `spec` is added to.
enum Target {
    /// Appended to a list of named entries.
    List(&'static str),
    /// A section of its own, given at most once.
    Section(&'static str),
}

/// One configuration of all objects, and the deprecated kinds among them.
pub(crate) struct Converted {
    pub(crate) configuration: Value,
    pub(crate) deprecated_kinds: DeprecatedKeys,
}

fn invalid(why: impl Display) -> Error {
    ErrorCode::ConfigurationInvalid.with_detail(why)
}

/// True when the text looks like Kubernetes-style objects: one of its lines begins with `apiVersion`.
pub fn are_objects(text: &str) -> bool {
    text.lines().any(|line| {
        let line = line.trim_start().trim_start_matches(['-', '{', ' ', '"']);
        line.starts_with("apiVersion")
    })
}

/// Converts YAML documents, each an object or a `List` of objects. Deprecated keys of a `spec` are not
/// renamed yet.
pub(crate) fn to_configuration(text: &str) -> Result<Converted, Error> {
    let mut converted = Converted {
        configuration: json!({"placements": [], "routes": [], "zones": []}),
        deprecated_kinds: DeprecatedKeys::default(),
    };
    for (index, document) in serde_norway::Deserializer::from_str(text).enumerate() {
        let location = format!("document {}", index + 1);
        let value =
            Value::deserialize(document).map_err(|error| invalid(format_args!("{location}: {error}")))?;
        if !value.is_null() {
            converted.add(value, &location)?;
        }
    }
    Ok(converted)
}

impl Converted {
    fn add(&mut self, value: Value, location: &str) -> Result<(), Error> {
        let object: Object =
            serde_json::from_value(value).map_err(|error| invalid(format_args!("{location}: {error}")))?;
        if object.kind == LIST_KIND {
            for (index, item) in object.items.into_iter().enumerate() {
                self.add(item, &format!("{location}, item {}", index + 1))?;
            }
            return Ok(());
        }
        if object.api_version != API_VERSION {
            let given = object.api_version;
            return Err(invalid(format_args!(
                "{location}: apiVersion is {given:?}, known is {API_VERSION:?}"
            )));
        }
        match self.target(&object.kind, location)? {
            Target::Section(section) => self.add_section(section, object, location),
            Target::List(list) => self.add_entry(list, object, location),
        }
    }

    fn target(&mut self, kind: &str, location: &str) -> Result<Target, Error> {
        let renamed = deprecated_keys::renamed_object_kind(kind);
        if let Some(key) = renamed {
            self.deprecated_kinds.add(&format!("kind {}", key.old), key.new);
        }
        match renamed.map_or(kind, |key| key.new) {
            "Placement" => Ok(Target::List("placements")),
            "Route" => Ok(Target::List("routes")),
            "Zone" => Ok(Target::List("zones")),
            "Health" => Ok(Target::Section("health")),
            "Connections" => Ok(Target::Section("connections")),
            "Queue" => Ok(Target::Section("queue")),
            _ => Err(invalid(format_args!("{location}: no kind is called {kind:?}"))),
        }
    }

    fn add_section(&mut self, section: &str, object: Object, location: &str) -> Result<(), Error> {
        if self.configuration.get(section).is_some() {
            return Err(invalid(format_args!("{location}: {} is given twice", object.kind)));
        }
        self.configuration[section] = Value::Object(snake_case_keys(object.spec));
        Ok(())
    }

    fn add_entry(&mut self, list: &str, object: Object, location: &str) -> Result<(), Error> {
        let mut spec = snake_case_keys(object.spec);
        if let Some(selector) = spec.remove("selector") {
            let selector = split_selector(selector)
                .map_err(|error| invalid(format_args!("{location}: spec.selector: {error}")))?;
            insert_selector(&mut spec, list, selector, location)?;
        }
        spec.insert("name".into(), object.metadata.name.into());
        if let Some(entries) = self.configuration[list].as_array_mut() {
            entries.push(Value::Object(spec));
        }
        Ok(())
    }
}

fn insert_selector(
    spec: &mut Map<String, Value>,
    list: &str,
    selector: SplitSelector,
    location: &str,
) -> Result<(), Error> {
    if list != "routes" {
        spec.insert("select".into(), Value::Object(selector.required));
        spec.insert("except".into(), Value::Object(selector.excluded));
        return Ok(());
    }
    if !selector.excluded.is_empty() {
        return Err(invalid(format_args!("{location}: spec.selector: a route takes no NotIn")));
    }
    spec.insert("when".into(), Value::Object(selector.required));
    Ok(())
}

/// Converts the keys of an object, which are in camel case, to those of the configuration: `timeoutMs` to `timeout_ms`.
fn snake_case_keys(map: Map<String, Value>) -> Map<String, Value> {
    map.into_iter().map(|(key, value)| (snake_case(&key), value)).collect()
}

fn snake_case(camel_case: &str) -> String {
    let mut snake = String::new();
    for character in camel_case.chars() {
        if character.is_ascii_uppercase() {
            snake.push('_');
        }
        snake.push(character.to_ascii_lowercase());
    }
    snake
}

fn split_selector(selector: Value) -> Result<SplitSelector, String> {
    let selector: LabelSelector = serde_json::from_value(selector).map_err(|error| error.to_string())?;
    let mut split = SplitSelector { required: Map::new(), excluded: Map::new() };
    for (key, value) in selector.match_labels {
        split.required.insert(key, json!([value]));
    }
    for expression in selector.match_expressions {
        let labels = match expression.operator.as_str() {
            "In" => &mut split.required,
            "NotIn" => &mut split.excluded,
            other => return Err(format!("the operator {other:?} is not supported; In and NotIn are")),
        };
        if labels.insert(expression.key.clone(), json!(expression.values)).is_some() {
            return Err(format!("{:?} is given twice", expression.key));
        }
    }
    Ok(split)
}
