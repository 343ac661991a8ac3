//! Interned names: dense indices that are cheap to copy and to compare.
use crate::Name;
use std::collections::HashMap;

/// Index of a name in a [`NameTable`]. Tables only grow, so an index stays valid for the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NameIndex(pub u32);

/// Names in the order in which they were first seen.
#[derive(Debug, Default)]
pub struct NameTable {
    indices: HashMap<Name, NameIndex>,
    names: Vec<Name>,
}

impl NameTable {
    /// Returns the index of `name`, and adds the name if it is new.
    pub fn intern(&mut self, name: &str) -> NameIndex {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = NameIndex(self.names.len() as u32);
        self.names.push(name.into());
        self.indices.insert(name.into(), index);
        index
    }

    /// Returns the index of `name`, if it was interned.
    pub fn index_of(&self, name: &str) -> Option<NameIndex> {
        self.indices.get(name).copied()
    }

    /// Returns the name at `index`.
    ///
    /// # Panics
    /// If the index comes from another table and is out of range here.
    pub fn name(&self, index: NameIndex) -> &Name {
        &self.names[index.0 as usize]
    }

    /// Number of interned names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is interned.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
