//! Sample documents of the size that large installations use.
#![allow(dead_code)]
use quincehatch_store::{Command, Entry};

pub const DOCUMENT_BYTES: usize = 150_000;

/// Returns a document of about 900 routes. A few routes differ between consecutive numbers.
pub fn document(number: u64) -> String {
    let mut text = format!("{{\"revision\": {number}, \"routes\": [");
    let mut route = 0u64;
    while text.len() < DOCUMENT_BYTES {
        let changed = if route % 200 == number % 200 { number } else { 0 };
        let mixed = (route ^ changed << 32).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 20;
        text.push_str(&format!(
            "{{\"id\": \"route-{route}\", \"database\": \"db-{:05x}\", \"timeout_ms\": {}, \
             \"labels\": {{\"kind\": \"read\", \"zone\": \"ie-east-{}\"}}}},",
            mixed & 0xfffff,
            100 + mixed % 5_000,
            route % 4,
        ));
        route += 1;
    }
    text.push_str("]}");
    text
}

/// Returns a document that is barely compressible.
pub fn noise(number: u64) -> String {
    let mut state = number.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut text = String::with_capacity(DOCUMENT_BYTES);
    while text.len() < DOCUMENT_BYTES {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        text.push_str(&format!("{state:016x}"));
    }
    text
}

/// Returns the command that adopts a document with this number and text.
pub fn adopt(number: u64, text: String) -> Command {
    Command::AdoptDocument { number, source: text.clone(), text, by: "operator".into() }
}

pub fn entry(number: u64, text: String) -> Entry {
    Entry { number, key: format!("adopt/{number}").into(), command: adopt(number, text) }
}
