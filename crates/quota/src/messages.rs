//! Messages of a settlement between a node and the tail, and usage reports.
use quincehatch_core::{Millis, Name, messages};

messages! {
    /// A node's claim for one tenant in a settlement.
    #[derive(Eq)]
    pub struct Claim {
        /// The tenant.
        pub tenant: Name,
        /// Tokens that the node holds, without those that it returns.
        pub held: u32,
        /// Unused tokens that the node returns.
        pub returned: u32,
        /// Operations that the node ran without a token since it last settled.
        pub overdrawn: u32,
        /// Operations that wait for a token, or were rejected because there was none since the node last settled.
        pub needed: u32,
        /// Tokens that the node requests for future operations.
        pub reserve: u32,
        /// Operations that the node ran since it last settled.
        pub used: u32,
        /// Operations that the node rejected since it last settled.
        pub rejected: u32
    }

    /// The tail's answer to one claim.
    #[derive(Eq)]
    pub struct Grant {
        /// The tenant.
        pub tenant: Name,
        /// Tokens granted to the node.
        pub tokens: u32,
        /// The time until the next token if there were fewer tokens than the node needs; 0 if there were enough. During
        /// this time, or until it settles again, the node rejects operations for which it holds no token.
        pub exhausted_ms: u32,
        /// The factor, in percent, by which the node may multiply its own rate while it runs operations on credit, such
        /// that all nodes together stay within the tenant's rate.
        pub headroom_percent: u32
    }

    /// The tail's answer to a settlement.
    #[derive(Eq, Default)]
    pub struct Settlement {
        /// One grant for each claim.
        pub grants: Vec<Grant>,
        /// Tenants whose operations the node may not run on credit until it settles again.
        pub pressed: Vec<Name>
    }

    /// The usage of a tenant, as recorded by the tail.
    #[derive(Eq)]
    pub struct TenantUsage {
        /// The tenant.
        pub tenant: Name,
        /// Operations per second that the tenant may run.
        pub rate_per_s: u64,
        /// Additional operations that the tenant may run after a time below the rate.
        pub burst: u64,
        /// Tokens that are available for grants.
        pub available: u64,
        /// Tokens granted since this keeper became the tail.
        pub granted: u64,
        /// The usage at each node that has settled for the tenant.
        pub nodes: Vec<NodeUsage>
    }

    /// The usage of a tenant at one node, recorded since this keeper became the tail.
    #[derive(Eq)]
    pub struct NodeUsage {
        /// The name of the node.
        pub node: Name,
        /// Tokens that the node held after its last settlement, including those that it was granted.
        pub held: u64,
        /// Operations that the node ran.
        pub used: u64,
        /// Of these, operations that the node ran on credit.
        pub overdrawn: u64,
        /// Operations that the node rejected.
        pub rejected: u64,
        /// The time since the node last settled.
        pub age_ms: Millis
    }
}
