//! Conversion of `schematic`'s errors to one plain sentence.
use schematic::ConfigError;

/// Returns the error with its whole chain of causes, on one line and without colours.
pub(crate) fn describe(error: &ConfigError) -> String {
    let mut text = match error {
        ConfigError::Validator { error, .. } => error.to_string(),
        _ => error.to_string(),
    };
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        let cause_text = cause.to_string();
        if !text.contains(&cause_text) {
            text = format!("{text}: {cause_text}");
        }
        source = cause.source();
    }
    without_escapes(&text)
}

/// Removes the terminal's escape sequences for colours and joins the lines.
fn without_escapes(text: &str) -> String {
    let mut plain = String::new();
    let mut in_escape = false;
    for character in text.chars() {
        match (in_escape, character) {
            (false, '\u{1b}') => in_escape = true,
            (true, 'm') => in_escape = false,
            (true, _) => {}
            (false, '\n') => plain.push(' '),
            (false, _) => plain.push(character),
        }
    }
    plain
}
