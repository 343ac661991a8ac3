//! What a node and the tail tell each other.
use quincehatch_core::{Millis, Name, messages};

messages! {
    /// What a node says of one tenant when it settles.
    #[derive(Eq)]
    pub struct Claim {
        /// The tenant.
        pub tenant: Name,
        /// Tokens that the node holds, those that it gives back not among them.
        pub held: u32,
        /// Tokens that it gives back: it has no use for them.
        pub returned: u32,
        /// Operations that it ran without a token since it last settled.
        pub overdrawn: u32,
        /// Operations that wait for a token, or were rejected for want of one since it last settled.
        pub needed: u32,
        /// Tokens that it wants to hold for operations to come.
        pub reserve: u32,
        /// Operations that it ran since it last settled.
        pub used: u32,
        /// Operations that it rejected since it last settled.
        pub rejected: u32
    }

    /// What the tail answers of one tenant.
    #[derive(Eq)]
    pub struct Grant {
        /// The tenant.
        pub tenant: Name,
        /// Tokens for the node.
        pub tokens: u32,
        /// There were fewer than the node needs, and there are none for so long; 0 if there were enough. Meanwhile, or until
        /// it settles again, it rejects what it has no token for.
        pub exhausted_ms: u32,
        /// By which the node's own pace may be multiplied, in percent, so that all nodes together keep to the rate.
        pub headroom_percent: u32
    }

    /// The tail's answer to a settlement.
    #[derive(Eq, Default)]
    pub struct Settlement {
        /// One for each claim.
        pub grants: Vec<Grant>,
        /// Tenants of which no node may run anything on credit until it settles again.
        pub pressed: Vec<Name>
    }

    /// What the tail knows of a tenant.
    #[derive(Eq)]
    pub struct TenantUsage {
        /// The tenant.
        pub tenant: Name,
        /// Operations a second that it may run.
        pub rate_per_s: u64,
        /// Operations beyond the rate.
        pub burst: u64,
        /// Tokens that nobody holds.
        pub available: u64,
        /// Tokens granted since this keeper became the tail.
        pub granted: u64,
        /// Each node that has settled for it.
        pub nodes: Vec<NodeUsage>
    }

    /// What the tail knows of a tenant at one node, since this keeper became the tail.
    #[derive(Eq)]
    pub struct NodeUsage {
        /// The node.
        pub node: Name,
        /// Tokens that it held when it last settled, with those it was granted then.
        pub held: u64,
        /// Operations that it ran.
        pub used: u64,
        /// Of these, operations that it ran before they were paid for.
        pub overdrawn: u64,
        /// Operations that it rejected.
        pub rejected: u64,
        /// Time since it last settled.
        pub age_ms: Millis
    }
}
