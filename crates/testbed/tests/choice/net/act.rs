//! The size of a world, and the acts that may happen next in it.

/// How large a world is tried out.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub servers: usize,
    pub promotions: usize,
    pub orders: usize,
    /// Lists a promotion may bring, as servers' letters.
    pub lists: &'static [&'static str],
    /// What a replica asks and what it gets may be long under way.
    pub late: bool,
}

#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// A promotion that brings this list takes a fence and closes the lead. Between the two nothing can happen that
    /// matters, but that a higher fence is taken, and then it may as well not have begun.
    Begin(usize),
    /// A server is fenced. Whoever has heard enough chooses, and writes its list if it is new: what comes between can
    /// only keep that from the chain, and then it may as well not have heard.
    Fence(usize, usize),
    Promote(usize),
    Name(usize),
    /// A replica asks a primary; the primary answers; the replica takes it.
    Request(usize, usize),
    Give(usize),
    Take(usize),
    Order(usize),
    Settle,
}
