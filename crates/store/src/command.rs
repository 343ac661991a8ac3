//! The commands that the chain replicates, and the answers to them.
use quincehatch_core::{
    ChangeNumber, Error, FencingToken, Name, PrimaryAssignment, ServerRecord, Version, messages,
};

messages! {
    /// A change of the replicated state. On disk and on the wire a command is identified by its position in this list:
    /// new commands are added at the end.
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
        /// Issues the next fencing token for a singleton role.
        AcquireFence {
            /// The key of the singleton role.
            duty: Name,
            /// The node that acquires the role.
            by: Name
        },
        /// Sets a group's primary, under a fencing token of the group's promotion role.
        AssignPrimary {
            /// The group of servers.
            group: Name,
            /// The primary, and the token under which it is set.
            primary: PrimaryAssignment
        },
        /// Adopts a configuration document that the operator has numbered. The document with the highest number is in
        /// force; one with a lower number has no effect.
        AdoptDocument {
            /// The operator's number of the document.
            number: u64,
            /// The configuration derived from the document, as JSON.
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
        /// Removes a server that was shut down gracefully.
        DeregisterServer {
            /// The server's name.
            server: Name
        },
        /// Enrolls a node's process. Only enrolled processes are granted leases, so a new tail knows which nodes may
        /// hold one.
        EnrollNode {
            /// The node's name.
            node: Name,
            /// Distinguishes this process of the node from earlier ones.
            incarnation: u64
        },
        /// Ends an enrollment: the process no longer holds a lease and requests none.
        DismissNode {
            /// The node's name.
            node: Name,
            /// The number of the entry that enrolled the process.
            enrolled: ChangeNumber
        },
        /// Removes the voter sets that precede the current one. Sent once the primary under `fence` has replicated its
        /// whole log to enough servers of the current set.
        DropPreviousVoters {
            /// The group of servers.
            group: Name,
            /// The fencing token under which the primary was set.
            fence: FencingToken
        },
        /// Issues the next fencing token for a group's promotion role if the group's state is still the one that the
        /// promotion was planned for. A node that planned with an outdated state gets no token, so it does not
        /// invalidate a promotion in progress and abort its own afterwards.
        AcquireFenceIfUnchanged {
            /// The group of servers.
            group: Name,
            /// The node that acquires the role.
            by: Name,
            /// The state that the promotion was planned for.
            expected: PrimaryState
        }
    }

    /// The replicated state of a group's primary.
    #[derive(Eq, Default)]
    pub struct PrimaryState {
        /// The newest fencing token of the group's promotion role. If it is higher than the token of `primary`, a
        /// promotion has begun that has not written its primary yet.
        pub fence: FencingToken,
        /// The primary that was last written.
        pub primary: Option<PrimaryAssignment>
    }

    /// A command in the replicated log.
    #[derive(Eq)]
    pub struct Entry {
        /// The entry's number; numbers are consecutive.
        pub number: ChangeNumber,
        /// The idempotency key: of two entries with the same key only the first takes effect.
        pub key: Name,
        /// The command to apply.
        pub command: Command
    }

    /// The answer to a command. It depends only on the command and the entries before it, so every replica computes the
    /// same answer.
    #[derive(Eq)]
    pub enum Answer {
        /// The version of the configuration that is in force after the command.
        Version(Version),
        /// The fencing token that was issued.
        Fence(FencingToken),
        /// The command was applied and has no result.
        Done,
        /// The command was not applied, for this reason.
        Rejected(Error),
        /// The number of the entry that enrolled the node.
        Enrolled(ChangeNumber),
        /// The group's primary after the command.
        Primary(PrimaryAssignment)
    }
}
