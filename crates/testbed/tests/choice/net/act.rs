//! The size of a model, and the actions that may happen in it.

/// The bounds of a model.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub servers: usize,
    pub promotions: usize,
    pub orders: usize,
    /// Voter lists that a promotion may propose, as the servers' letters.
    pub lists: &'static [&'static str],
    /// Whether a replica's pull and its response may be delayed.
    pub late: bool,
}

#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// A promotion with this voter list acquires a fence and closes the old primary's assignment. The two are one
    /// action: the only relevant event in between is that a higher fence is acquired, which equals a promotion that
    /// never began.
    Begin(usize),
    /// A promotion fences a server. With enough replies it chooses the primary and writes a new voter list. These are
    /// one action: an event in between can only prevent the write, which equals a reply that never arrived.
    Fence(usize, usize),
    Promote(usize),
    Name(usize),
    /// A replica sends a pull, the primary responds to it, and the replica applies the response.
    Request(usize, usize),
    Give(usize),
    Take(usize),
    Order(usize),
    Settle,
}
