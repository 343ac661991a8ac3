//! The commands that the chain replicates, and the answers to them.
use quincehatch_core::{
    ChangeNumber, Error, FencingToken, Name, PrimaryAssignment, ServerRecord, Version, messages,
};

messages! {
    /// A change of the replicated state. On disk and on the wire a command is known by its position in this list: new
    /// ones are added at the end.
    #[derive(Eq)]
    pub enum Command {
        /// Replaces the configuration, if its version is still `base`.
        PushConfiguration {
            /// The version of the configuration that the new one was derived from.
            base: Version,
            /// The configuration as JSON.
            text: String,
            /// The operator who sent it.
            by: Name
        },
        /// Issues the next fencing token for a singleton duty.
        AcquireFence {
            /// The key of the duty.
            duty: Name,
            /// The node that takes the duty.
            by: Name
        },
        /// Sets a group's primary, under a fencing token of the group's promotion duty.
        AssignPrimary {
            /// The group of servers.
            group: Name,
            /// The primary, and the token under which it is set.
            primary: PrimaryAssignment
        },
        /// Adopts a configuration document that its operator has numbered. The highest number is in force; a lower one
        /// changes nothing.
        AdoptDocument {
            /// The operator's number of the document.
            number: u64,
            /// The configuration made from the document, as JSON.
            text: String,
            /// The operator's document, byte for byte.
            source: String,
            /// The operator who sent it.
            by: Name
        },
        /// Adds a server or updates its record.
        RegisterServer {
            /// The server's record.
            at: ServerRecord
        },
        /// Removes a server that was shut down in an orderly way.
        DeregisterServer {
            /// The server's name.
            server: Name
        },
        /// Enrolls a node's process. Only enrolled processes are granted leases, so a new tail knows which nodes may
        /// hold one.
        EnrollNode {
            /// The node's name.
            node: Name,
            /// Tells this process of the node from earlier ones.
            incarnation: u64
        },
        /// Ends an enrollment: the process holds no lease any more and asks for none.
        DismissNode {
            /// The node's name.
            node: Name,
            /// The number of the entry that enrolled the process.
            enrolled: ChangeNumber
        },
        /// Forgets the voter sets from before the present one. Sent once the primary under `fence` has its whole log on
        /// enough servers of the present set.
        DropPreviousVoters {
            /// The group of servers.
            group: Name,
            /// The fencing token under which the primary was set.
            fence: FencingToken
        },
        /// Issues the next fencing token for a group's promotion duty, if the group's state is still the one the
        /// promotion was planned for. A node that plans from an outdated state gets no token, so it never invalidates a
        /// promotion under way only to give up afterwards.
        AcquireFenceIfUnchanged {
            /// The group of servers.
            group: Name,
            /// The node that takes the duty.
            by: Name,
            /// The state that the promotion was planned for.
            expected: PrimaryState
        }
    }

    /// What the replicated state says about a group's primary.
    #[derive(Eq, Default)]
    pub struct PrimaryState {
        /// The newest fencing token of the group's promotion duty. If it is above the primary's own, a promotion has
        /// begun that has not written anything yet.
        pub fence: FencingToken,
        /// The primary as it was last written.
        pub primary: Option<PrimaryAssignment>
    }

    /// A command in the replicated log.
    #[derive(Eq)]
    pub struct Entry {
        /// The entry's number; numbers are consecutive.
        pub number: ChangeNumber,
        /// The idempotency key: of two entries with the same key only the first takes effect.
        pub key: Name,
        /// What the entry changes.
        pub command: Command
    }

    /// The answer to a command. It depends on nothing but the entries before it, so every replica computes the same.
    #[derive(Eq)]
    pub enum Answer {
        /// The version of the configuration that is in force now.
        Version(Version),
        /// The fencing token that was issued.
        Fence(FencingToken),
        /// Applied; there is nothing more to say.
        Done,
        /// Not applied, and why.
        Rejected(Error),
        /// The number of the entry that enrolled the node.
        Enrolled(ChangeNumber),
        /// The group's primary as it is recorded now.
        Primary(PrimaryAssignment)
    }
}
