//! Names become dense indices at the door (§2.3).
use crate::Name;
use std::collections::HashMap;

/// Index of a name in a [`Names`] table; only ever grows, so an index stays good for the process's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NameIndex(pub u32);

#[derive(Debug, Default)]
pub struct NameTable {
    by_name: HashMap<Name, NameIndex>,
    names: Vec<Name>,
}

impl NameTable {
    pub fn intern(&mut self, name: &str) -> NameIndex {
        if let Some(ix) = self.by_name.get(name) {
            return *ix;
        }
        let ix = NameIndex(self.names.len() as u32);
        self.names.push(name.into());
        self.by_name.insert(name.into(), ix);
        ix
    }
    pub fn index_of(&self, name: &str) -> Option<NameIndex> {
        self.by_name.get(name).copied()
    }
    pub fn name(&self, ix: NameIndex) -> &Name {
        &self.names[ix.0 as usize]
    }
    pub fn len(&self) -> usize {
        self.names.len()
    }
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
