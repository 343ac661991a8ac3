//! Texts on their way to many: packed, and as what changed of the one before (§5.10).
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use quincehatch_core::messages;
use std::collections::HashMap;

/// Longest text taken.
const MOST: usize = 4 << 20;
const LEVEL: u8 = 6;

messages! {
    #[derive(Eq, Default)]
    pub struct PackedText { bytes: Vec<u8> }

    #[derive(Eq)]
    pub enum PatchPiece {
        /// Bytes of the old text.
        Copy { from: u32, len: u32 },
        /// The next bytes of what is new.
        Insert { len: u32 }
    }

    /// How a text comes out of another.
    #[derive(Eq, Default)]
    pub struct Patch { pieces: Vec<PatchPiece>, new: PackedText }
}

impl PackedText {
    pub fn pack(text: &str) -> PackedText {
        PackedText {
            bytes: if text.is_empty() { Vec::new() } else { compress_to_vec(text.as_bytes(), LEVEL) },
        }
    }
    pub fn unpack(&self) -> Option<String> {
        if self.bytes.is_empty() {
            return Some(String::new());
        }
        String::from_utf8(decompress_to_vec_with_limit(&self.bytes, MOST).ok()?).ok()
    }
    pub fn size(&self) -> usize {
        self.bytes.len()
    }
}

/// Parts that end with a closing brace: a rule, a placement, a group.
fn parts(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let mut at = 0;
    text.split_inclusive('}').map(move |p| {
        let from = at;
        at += p.len();
        (from, p)
    })
}

impl Patch {
    pub fn between(old: &str, new: &str) -> Patch {
        let mut known: HashMap<&str, usize> = HashMap::new();
        for (at, p) in parts(old) {
            known.entry(p).or_insert(at);
        }
        let (mut pieces, mut put) = (Vec::<PatchPiece>::new(), String::new());
        for (_, p) in parts(new) {
            // What follows on what was copied last is copied on; the same words may stand elsewhere too.
            let next = match pieces.last() {
                Some(PatchPiece::Copy { from, len }) => Some((from + len) as usize),
                _ => None,
            };
            let goes_on = next.filter(|n| old.get(*n..).is_some_and(|o| o.starts_with(p)));
            match (goes_on.or_else(|| known.get(p).copied()), pieces.last_mut()) {
                (Some(at), Some(PatchPiece::Copy { from, len })) if (*from + *len) as usize == at => {
                    *len += p.len() as u32;
                }
                (Some(at), _) => pieces.push(PatchPiece::Copy { from: at as u32, len: p.len() as u32 }),
                (None, Some(PatchPiece::Insert { len })) => {
                    *len += p.len() as u32;
                    put.push_str(p);
                }
                (None, _) => {
                    pieces.push(PatchPiece::Insert { len: p.len() as u32 });
                    put.push_str(p);
                }
            }
        }
        Patch { pieces, new: PackedText::pack(&put) }
    }

    /// Bytes it takes in memory.
    pub fn size(&self) -> usize {
        self.new.size() + self.pieces.len() * size_of::<PatchPiece>()
    }

    /// The new text; none if this is no patch of `old`.
    pub fn apply(&self, old: &str) -> Option<String> {
        let put = self.new.unpack()?;
        let (mut out, mut at) = (String::new(), 0);
        for p in &self.pieces {
            let piece = match p {
                PatchPiece::Copy { from, len } => {
                    old.get(*from as usize..(*from as usize + *len as usize))?
                }
                PatchPiece::Insert { len } => {
                    at += *len as usize;
                    put.get(at - *len as usize..at)?
                }
            };
            out.push_str(piece);
            if out.len() > MOST {
                return None;
            }
        }
        Some(out)
    }
}
