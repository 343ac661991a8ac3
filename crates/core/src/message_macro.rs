//! The macro that declares the records that processes exchange or store on disk.

/// Declares structs and enums with the derives that a message needs: borsh for messages between the project's
/// own processes and for stored records, serde for JSON in files and in calls of clients and operators.
///
/// The borsh layout follows the order of fields and variants, so new ones are only ever added at the end.
#[macro_export]
macro_rules! messages {
    ($($(#[$attribute:meta])* $visibility:vis $kind:ident $name:ident { $($body:tt)* })*) => {$(
        $(#[$attribute])*
        #[derive(Clone, Debug, PartialEq, ::borsh::BorshSerialize, ::borsh::BorshDeserialize,
                 ::serde::Serialize, ::serde::Deserialize)]
        $visibility $kind $name { $($body)* }
    )*};
}
