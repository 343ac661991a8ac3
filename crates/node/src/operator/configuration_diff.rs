//! The difference between two configurations, setting by setting.
use serde_json::Value;

/// Returns one line `- path = value` for each setting that only `old` has, then one line `+ path = value` for each that
/// only `new` has. Both texts are JSON; invalid JSON counts as `null`.
pub fn configuration_diff(old: &str, new: &str) -> Vec<String> {
    let old_settings = settings(old);
    let new_settings = settings(new);
    let mut lines = Vec::new();
    for setting in old_settings.iter().filter(|setting| !new_settings.contains(setting)) {
        lines.push(format!("- {setting}"));
    }
    for setting in new_settings.iter().filter(|setting| !old_settings.contains(setting)) {
        lines.push(format!("+ {setting}"));
    }
    lines
}

/// Returns one line `path = value` for each setting.
fn settings(text: &str) -> Vec<String> {
    let document: Value = serde_json::from_str(text).unwrap_or(Value::Null);
    let mut lines = Vec::new();
    collect_settings("", &document, &mut lines);
    lines
}

fn collect_settings(path: &str, value: &Value, lines: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                collect_settings(&format!("{path}.{key}"), field, lines);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (index, item) in items.iter().enumerate() {
                collect_settings(&format!("{path}[{}]", item_name(index, item)), item, lines);
            }
        }
        value => lines.push(format!("{} = {value}", path.trim_start_matches('.'))),
    }
}

/// Returns the value of an item's field `name`, or its index if it has none.
fn item_name(index: usize, item: &Value) -> String {
    match item.get("name").and_then(Value::as_str) {
        Some(name) => name.to_owned(),
        None => index.to_string(),
    }
}
