//! Command-line flags, with their help texts, parsed by `argh`.
//!
//! All values are text here. A setting that isn't given as a flag may be given as an environment
//! variable; [`crate::settings::reader`] parses both in the same way.

use argh::FromArgs;

use crate::settings::Flags;

/// Route language-model traffic whose prompts share long prefixes.
#[derive(FromArgs, Debug)]
pub(super) struct Args {
    #[argh(subcommand)]
    pub(super) role: RoleArgs,
}

/// Flags of a role.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(super) enum RoleArgs {
    Entry(EntryArgs),
    Sidecar(SidecarArgs),
}

/// Defines the flags of a role: those of all roles and its own.
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
            /// address announced to other processes instead, for use behind address translation
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
            /// membership addresses of other members for joining, separated by commas
            #[argh(option)]
            seeds: Option<String>,
            /// file with the fleet's key, 64 hexadecimal digits
            #[argh(option)]
            key_file: Option<String>,
            /// file with a second key that is accepted during key rotation
            #[argh(option)]
            old_key_file: Option<String>,
            /// number of traffic threads (default 2)
            #[argh(option)]
            workers: Option<String>,
            /// minimum log level: trace, debug, info, warn or error (default info)
            #[argh(option)]
            log_level: Option<String>,
            /// log format: text or json (default text)
            #[argh(option)]
            log_format: Option<String>,
            /// file for trace spans, one JSON object per line
            #[argh(option)]
            trace_file: Option<String>,
            /// how long a shutdown expects late requests, in milliseconds (default 5000)
            #[argh(option)]
            notice_ms: Option<String>,
            /// print the settings in force and exit
            #[argh(switch)]
            pub(super) print_settings: bool,
            $($(#[$help])* #[argh(option)] $field: Option<String>,)*
        }

        impl $name {
            /// All flags by name, with the value if given.
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
    /// Accept requests of callers and route each to a target.
    EntryArgs, "entry";
    /// address for callers (default 127.0.0.1:0)
    listen,
    /// maximum size of a request body in bytes (default 4194304)
    max_body,
    /// memory limit of this process in MiB; 0 if it isn't known (default 640)
    memory_mb,
    /// limit of this process's descriptors; 0 for the kernel's (default 0)
    max_fds,
    /// memory held for callers in MiB; 0 for two fifths of the memory limit, 40 without one (default 0)
    caller_memory_mb,
    /// open connections of callers; 0 for half of the descriptors (default 0)
    caller_connections,
    /// how long a caller may acknowledge nothing before it counts as vanished, in milliseconds (default 5000)
    caller_unacked_ms,
    /// how long a caller may take nothing of an answer, in milliseconds (default 600000)
    caller_unread_ms,
    /// longest time for the head of a request in milliseconds (default 10000)
    head_timeout_ms,
    /// longest time without a request on a connection in milliseconds (default 75000)
    idle_timeout_ms,
    /// file with the key for operators
    operator_key_file,
    /// how replicas are chosen: ours, round-robin, least-loaded or consistent-hash (default ours)
    policy,
}

args! {
    /// Queue and dispatch requests for one target.
    SidecarArgs, "sidecar";
    /// base URL of the target
    target,
    /// pool of the target
    pool,
    /// kind of the target: model or plain (default model)
    kind,
    /// maximum number of requests at the target at a time (default 64)
    slots,
}
