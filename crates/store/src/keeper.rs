//! A keeper: one replica of the store. It may be a voter of the view register and, independently of that, a member of
//! the replication chain: its head, its tail or a replica in between.
//!
//! [`Keeper::step`] implements the whole protocol without I/O: it takes one [`Input`] and returns [`Output`]s. The
//! caller makes records durable, sends messages and supplies the time.
mod event;
mod feed_updates;
mod heartbeat;
mod lease_handover;
mod membership;
mod proposals;
mod recent_changes;
mod replication;
mod requests;
mod snapshot_transfer;
mod status;
mod step;
mod view_adoption;
mod view_lease;
mod view_repair;

use crate::disk_usage::DiskUsage;
use crate::dismissed_leases::DismissedLeases;
use crate::entry_log::EntryLog;
use crate::feed::PackedSnapshot;
use crate::node_leases::NodeLeases;
use crate::record::RecoveredState;
use crate::register::{Acceptor, Proposer};
use crate::snapshot::{IncomingSnapshot, OutgoingSnapshot};
use crate::store::Store;
use crate::timing::{VIEW_LEASE, with_clock_drift};
use crate::view::View;
use feed_updates::PackedConfiguration;
use membership::{Discovery, Leaving};
use quincehatch_core::{ChangeNumber, Millis, Name, Version, hash64};
use quincehatch_quota::Tolerance;
use quincehatch_runtime::seam;
use recent_changes::RecentChanges;
use requests::{CommitTimes, PendingWrite, Polls, Quota};
use std::collections::BTreeMap;
use view_lease::{ViewLease, initial_sequence};

pub use event::{Input, Output};
pub use membership::DiscoverySettings;

/// One replica of the store.
#[derive(Clone, Debug)]
pub struct Keeper {
    /// The keeper's name, which belongs to its disk.
    pub name: Name,
    /// The newest view that the keeper knows.
    pub view: View,
    /// The state that results from all entries up to the newest one that this keeper holds.
    pub store: Store,
    /// The newest entry that the keeper knows to be committed.
    pub committed: ChangeNumber,
    /// The newest entry that the keeper knows to be applied by every node with a lease.
    pub in_force: ChangeNumber,

    // The current step.
    now: Millis,
    outputs: Vec<Output>,

    // Replication.
    /// The newest entries, which are sent to members that lag behind.
    log: EntryLog,
    /// Whether the keeper holds every entry that its predecessor held when the predecessor adopted the view.
    in_sync: bool,
    /// Whether the keeper has joined the chain and its predecessor has not yet sent it all entries. The keeper may lack
    /// entries that were committed before it joined, so it neither serves nor removes other members.
    catching_up: bool,
    /// The newest entry that the keeper held when it adopted the view.
    last_change_at_adoption: ChangeNumber,
    /// The newest entry that the tail has acknowledged in this view.
    acknowledged: ChangeNumber,
    /// The smallest number of members with which a chain commits, so every committed entry is on at least as many
    /// disks.
    min_replicas: usize,
    outgoing_snapshot: Option<OutgoingSnapshot>,
    incoming_snapshot: IncomingSnapshot,
    last_fetch_at: Millis,
    disk_usage: DiskUsage,

    // Requests and the feed.
    recent_changes: RecentChanges,
    /// The configuration in force, packed once for all snapshots that contain it.
    packed_configuration: Option<PackedConfiguration>,
    /// The snapshot that was last packed for nodes.
    packed_snapshot: Option<PackedSnapshot>,
    commit_times: CommitTimes,
    pending_writes: Vec<PendingWrite>,
    polls: Polls,

    // Views.
    acceptor: Acceptor,
    proposer: Proposer,
    /// The view whose version directly precedes that of the current view, if this keeper had adopted it.
    previous_view: Option<View>,
    view_adopted_at: Millis,
    last_proposal_at: Millis,
    /// When this voter first noticed that it has accepted a view which it does not know to be decided.
    undecided_view_since: Option<Millis>,

    // Contact and leases.
    /// When the last message from each other keeper arrived.
    last_heard: BTreeMap<Name, Millis>,
    next_heartbeat_at: Millis,
    view_lease: ViewLease,
    /// Until then the tail of an older view may hold its view lease and serve.
    older_tail_lease_until: Millis,
    /// The last view in which this keeper served as the tail.
    served_version: Version,
    /// The leases that this keeper has granted as the tail of the current view.
    node_leases: Option<NodeLeases>,
    /// The leases that this keeper granted as the tail of the previous view, to be handed over to the current tail.
    previous_node_leases: Option<NodeLeases>,
    dismissed_leases: DismissedLeases,
    /// The tenants' operations that this keeper has counted as the tail of the current view.
    quota: Quota,

    // Membership.
    discovery: Option<Discovery>,
    /// The next view, in which a member has invited this keeper to be a voter.
    invitation: Option<View>,
    leaving: Option<Leaving>,
}

impl Keeper {
    /// Creates a keeper from the state that was recovered from its disk.
    pub fn new(name: Name, now: Millis, recovered: RecoveredState) -> Self {
        // The proposer's id is derived from the name and not from the position in the list of voters, which changes: no
        // two proposers may ever use the same ballot.
        let mut proposer = Proposer::new(hash64(&[name.as_bytes()]));
        proposer.observe_ballot(recovered.acceptor.promised.number);
        let view = &recovered.view;
        // A tail that has already served in this view has waited for the leases of older tails and lacks no entries.
        let has_served = view.tail() == Some(&name) && recovered.served_version == view.version;
        let is_complete_head = view.head() == Some(&name) && !recovered.catching_up;
        let older_tail_lease_until = if has_served { now } else { now + with_clock_drift(VIEW_LEASE) };
        Self {
            now,
            outputs: Vec::new(),
            committed: 0,
            in_force: 0,
            log: recovered.log,
            in_sync: has_served || is_complete_head,
            catching_up: recovered.catching_up,
            last_change_at_adoption: recovered.store.last_change,
            acknowledged: 0,
            min_replicas: 1,
            outgoing_snapshot: None,
            incoming_snapshot: IncomingSnapshot::default(),
            last_fetch_at: 0,
            disk_usage: DiskUsage::default(),
            recent_changes: RecentChanges::default(),
            packed_configuration: None,
            packed_snapshot: None,
            commit_times: CommitTimes::default(),
            pending_writes: Vec::new(),
            polls: Polls::new(now),
            acceptor: recovered.acceptor,
            proposer,
            previous_view: None,
            view_adopted_at: now,
            last_proposal_at: 0,
            undecided_view_since: None,
            last_heard: BTreeMap::new(),
            next_heartbeat_at: now,
            view_lease: ViewLease::new(initial_sequence()),
            older_tail_lease_until,
            served_version: recovered.served_version,
            node_leases: None,
            previous_node_leases: None,
            dismissed_leases: DismissedLeases::from_recovered(&recovered.store, now),
            quota: Quota::default(),
            discovery: None,
            invitation: None,
            leaving: None,
            name,
            view: recovered.view,
            store: recovered.store,
        }
    }

    /// Enables discovery, by which keepers join the view and replace lost voters without an operator.
    pub fn with_discovery(mut self, settings: DiscoverySettings) -> Self {
        self.discovery = Some(Discovery::new(settings, self.now));
        self
    }

    /// Sets the smallest number of members with which a chain commits.
    pub fn with_min_replicas(mut self, min_replicas: usize) -> Self {
        self.min_replicas = min_replicas;
        self
    }

    /// Sets by how much tenants may exceed their limits.
    pub fn with_quota_tolerance(mut self, tolerance: Tolerance) -> Self {
        self.quota.tolerance = tolerance;
        self
    }

    /// Records the size of the keeper's data directory.
    pub fn set_disk_usage(&mut self, usage: DiskUsage) {
        self.disk_usage = usage;
    }

    /// Returns whether this keeper is the tail of the newest view it knows.
    pub fn is_tail(&self) -> bool {
        self.view.tail() == Some(&self.name)
    }

    /// Returns whether this keeper is the head of the newest view it knows.
    pub fn is_head(&self) -> bool {
        self.view.head() == Some(&self.name)
    }

    /// Returns whether this keeper may answer requests as the tail at this moment.
    ///
    /// The keeper must hold the view lease, so that no tail of a newer view serves; the view leases of older tails must
    /// have ended; and the keeper must hold every entry that they have committed.
    pub fn is_serving(&self) -> bool {
        let has_lease = self.view_lease.is_held(self.now) || seam::injected_bug("no-view-lease");
        self.is_tail() && self.in_sync && self.now >= self.older_tail_lease_until && has_lease
    }

    /// Returns whether this keeper may commit entries and answer reads of committed state.
    pub fn can_commit(&self) -> bool {
        self.is_serving() && self.view.members.len() >= self.min_replicas
    }

    fn is_member(&self) -> bool {
        self.view.is_member(&self.name)
    }

    fn is_voter(&self) -> bool {
        self.view.is_voter(&self.name)
    }

    fn predecessor(&self) -> Option<&Name> {
        self.view.predecessor(&self.name)
    }

    fn successor(&self) -> Option<&Name> {
        self.view.successor(&self.name)
    }
}
