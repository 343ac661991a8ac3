//! Layout of text tables.
use std::fmt::Display;

/// Text of a cell without a value.
const NO_VALUE: &str = "-";

/// Renders a table with a heading line. Every column is as wide as its widest cell.
pub fn table(headings: &[&str], rows: Vec<Vec<String>>) -> String {
    let heading = headings.iter().map(|cell| (*cell).to_owned()).collect();
    let mut lines: Vec<Vec<String>> = vec![heading];
    lines.extend(rows);
    let widths: Vec<usize> = (0..headings.len()).map(|column| column_width(&lines, column)).collect();
    let mut text = String::new();
    for line in lines {
        let cells: Vec<String> =
            line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}", width = *width)).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn column_width(lines: &[Vec<String>], column: usize) -> usize {
    let cells = lines.iter().filter_map(|line| line.get(column));
    cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
}

/// Formats a value as a cell, or as [`NO_VALUE`] if its text is empty.
pub fn cell(value: impl Display) -> String {
    let text = value.to_string();
    if text.is_empty() { NO_VALUE.to_owned() } else { text }
}

/// Formats an optional value as a cell, or as [`NO_VALUE`] if it is `None`.
pub fn optional_cell(value: Option<impl Display>) -> String {
    value.map_or_else(|| NO_VALUE.to_owned(), cell)
}
