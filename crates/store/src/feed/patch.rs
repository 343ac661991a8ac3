//! Patches: the differences between two versions of a JSON text.
use crate::compression::{MAX_TEXT_BYTES, PackedText};
use quincehatch_core::messages;
use std::collections::HashMap;

messages! {
    /// A consecutive piece of the new text.
    #[derive(Eq)]
    pub enum PatchPiece {
        /// Bytes that are copied from the old text.
        Copy {
            /// Offset of the first byte in the old text.
            from: u32,
            /// Number of bytes.
            len: u32
        },
        /// The next bytes of the inserted text, which the old text does not contain.
        Insert {
            /// Number of bytes.
            len: u32
        }
    }

    /// The steps that construct a new text from an old one.
    #[derive(Eq, Default)]
    pub struct Patch { pieces: Vec<PatchPiece>, inserted: PackedText }
}

/// A part of a text and the offset of the part.
struct TextPart<'a> {
    offset: usize,
    text: &'a str,
}

/// Splits a text after each closing brace, which in a configuration ends a route, a placement or a group. The parts
/// together contain every byte of the text.
fn split_after_braces(text: &str) -> impl Iterator<Item = TextPart<'_>> {
    let mut next_offset = 0;
    text.split_inclusive('}').map(move |part| {
        let offset = next_offset;
        next_offset += part.len();
        TextPart { offset, text: part }
    })
}

/// Builds a patch from the parts of the new text.
struct PatchBuilder<'a> {
    old: &'a str,
    /// The first offset of each part in the old text.
    known_parts: HashMap<&'a str, usize>,
    pieces: Vec<PatchPiece>,
    inserted: String,
}

impl<'a> PatchBuilder<'a> {
    fn new(old: &'a str) -> Self {
        let mut known_parts = HashMap::new();
        for part in split_after_braces(old) {
            known_parts.entry(part.text).or_insert(part.offset);
        }
        Self { old, known_parts, pieces: Vec::new(), inserted: String::new() }
    }

    /// Adds the next part of the new text.
    fn add(&mut self, part: &str) {
        match self.offset_in_old(part) {
            Some(offset) => self.copy(offset, part.len()),
            None => self.insert(part),
        }
    }

    /// Returns an offset at which the old text contains the part. The offset that continues the last copy is preferred,
    /// because one long copy takes fewer bytes than two.
    fn offset_in_old(&self, part: &str) -> Option<usize> {
        let copy_end = self.end_of_last_copy();
        let continued = copy_end.filter(|end| self.is_in_old_at(*end, part));
        continued.or_else(|| self.known_parts.get(part).copied())
    }

    fn end_of_last_copy(&self) -> Option<usize> {
        match self.pieces.last() {
            Some(PatchPiece::Copy { from, len }) => Some((from + len) as usize),
            _ => None,
        }
    }

    fn is_in_old_at(&self, offset: usize, part: &str) -> bool {
        self.old.get(offset..).is_some_and(|rest| rest.starts_with(part))
    }

    fn copy(&mut self, offset: usize, length: usize) {
        match self.pieces.last_mut() {
            Some(PatchPiece::Copy { from, len }) if (*from + *len) as usize == offset => {
                *len += length as u32;
            }
            _ => self.pieces.push(PatchPiece::Copy { from: offset as u32, len: length as u32 }),
        }
    }

    fn insert(&mut self, part: &str) {
        match self.pieces.last_mut() {
            Some(PatchPiece::Insert { len }) => *len += part.len() as u32,
            _ => self.pieces.push(PatchPiece::Insert { len: part.len() as u32 }),
        }
        self.inserted.push_str(part);
    }

    fn finish(self) -> Patch {
        Patch { pieces: self.pieces, inserted: PackedText::pack(&self.inserted) }
    }
}

impl Patch {
    /// Returns the patch that turns `old` into `new`.
    pub fn between(old: &str, new: &str) -> Patch {
        let mut builder = PatchBuilder::new(old);
        for part in split_after_braces(new) {
            builder.add(part.text);
        }
        builder.finish()
    }

    /// Returns the bytes of memory that the patch takes.
    pub fn size(&self) -> usize {
        self.inserted.size() + self.pieces.len() * size_of::<PatchPiece>()
    }

    /// Returns the new text; `None` if the patch was not made for `old` or the new text would be too long.
    pub fn apply(&self, old: &str) -> Option<String> {
        let inserted = self.inserted.unpack()?;
        let mut new = String::new();
        let mut inserted_offset = 0;
        for piece in &self.pieces {
            let text = match piece {
                PatchPiece::Copy { from, len } => slice(old, *from as usize, *len as usize)?,
                PatchPiece::Insert { len } => {
                    let start = inserted_offset;
                    inserted_offset += *len as usize;
                    slice(&inserted, start, *len as usize)?
                }
            };
            new.push_str(text);
            if new.len() > MAX_TEXT_BYTES {
                return None;
            }
        }
        Some(new)
    }
}

/// Returns `length` bytes of the text from `start`; `None` if the range exceeds the text or splits a character.
fn slice(text: &str, start: usize, length: usize) -> Option<&str> {
    text.get(start..start + length)
}
