//! Flags, as `argh` reads them and explains them to `--help`.
//!
//! All are text here: what isn't given as a flag may be an environment variable, and the same rules
//! hold for both, see [`crate::settings::reader`].

use argh::FromArgs;

use crate::settings::Flags;

/// Routes language-model traffic whose prompts share long openings.
#[derive(FromArgs, Debug)]
pub(super) struct Args {
    #[argh(subcommand)]
    pub(super) role: RoleArgs,
}

/// A role's flags.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(super) enum RoleArgs {
    Entry(EntryArgs),
    Sidecar(SidecarArgs),
}

/// The flags of one role: those that all roles have, and its own.
macro_rules! args {
    (
        $(#[$doc:meta])* $name:ident, $command:literal;
        $($(#[$help:meta])* $field:ident,)*
    ) => {
        $(#[$doc])*
        #[derive(FromArgs, Debug, Default)]
        #[argh(subcommand, name = $command)]
        pub(super) struct $name {
            /// address for other processes of the fleet, TCP and UDP (default 127.0.0.1:0)
            #[argh(option)]
            peer_listen: Option<String>,
            /// address told to other processes instead, if theirs is translated to it
            #[argh(option)]
            peer_announce: Option<String>,
            /// address for membership datagrams (default 127.0.0.1:0)
            #[argh(option)]
            gossip_listen: Option<String>,
            /// address for health, metrics and operators (default 127.0.0.1:0)
            #[argh(option)]
            admin_listen: Option<String>,
            /// name of this host (default localhost)
            #[argh(option)]
            host: Option<String>,
            /// failure domain of this host (default local)
            #[argh(option)]
            domain: Option<String>,
            /// region of this host (default local)
            #[argh(option)]
            region: Option<String>,
            /// platform's base URL
            #[argh(option)]
            platform: Option<String>,
            /// membership addresses to start from, separated by commas
            #[argh(option)]
            seeds: Option<String>,
            /// file with the fleet's key, 64 hexadecimal digits
            #[argh(option)]
            key_file: Option<String>,
            /// file with a second key accepted while keys are rotated
            #[argh(option)]
            old_key_file: Option<String>,
            /// traffic threads (default 2)
            #[argh(option)]
            workers: Option<String>,
            /// least severe log level: trace, debug, info, warn, error (default info)
            #[argh(option)]
            log_level: Option<String>,
            /// log format: text or json (default text)
            #[argh(option)]
            log_format: Option<String>,
            /// file for trace spans, one JSON object a line
            #[argh(option)]
            trace_file: Option<String>,
            /// how long late requests are awaited at a planned stop, in milliseconds (default 5000)
            #[argh(option)]
            notice_ms: Option<String>,
            /// print the settings in force and exit
            #[argh(switch)]
            pub(super) print_settings: bool,
            $($(#[$help])* #[argh(option)] $field: Option<String>,)*
        }

        impl $name {
            /// All flags by name, given or not.
            pub(super) fn list(self) -> Flags {
                vec![
                    ("peer_listen", self.peer_listen),
                    ("peer_announce", self.peer_announce),
                    ("gossip_listen", self.gossip_listen),
                    ("admin_listen", self.admin_listen),
                    ("host", self.host),
                    ("domain", self.domain),
                    ("region", self.region),
                    ("platform", self.platform),
                    ("seeds", self.seeds),
                    ("key_file", self.key_file),
                    ("old_key_file", self.old_key_file),
                    ("workers", self.workers),
                    ("log_level", self.log_level),
                    ("log_format", self.log_format),
                    ("trace_file", self.trace_file),
                    ("notice_ms", self.notice_ms),
                    $((stringify!($field), self.$field),)*
                ]
            }
        }
    };
}

args! {
    /// Take callers' requests and find a target for each.
    EntryArgs, "entry";
    /// address for callers (default 127.0.0.1:0)
    listen,
    /// largest request body in bytes (default 4194304)
    max_body,
    /// file with the operators' key
    operator_key_file,
    /// how replicas are chosen: ours, round-robin, least-loaded or consistent-hash (default ours)
    policy,
}

args! {
    /// Stand before one target.
    SidecarArgs, "sidecar";
    /// the target's base URL
    target,
    /// pool that the target serves
    pool,
    /// what the target is: model or plain (default model)
    kind,
    /// most requests handed to the target at a time (default 64)
    slots,
}
