//! The settings file of an entry node.
//!
//! Invariant: each setting is declared once, in the `declare!` block below. Parsing,
//! checks, defaults and the reference page are generated from that declaration, so
//! they can't disagree.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use marked_yaml::types::MarkedMappingNode;
use marked_yaml::types::MarkedScalarNode;

use crate::report::Finding;
use crate::report::Report;
use crate::report::Span;
use crate::value::Bounds;
use crate::value::FromYaml;
use crate::yaml;

/// The value of a setting that the file does not contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Default {
    /// None: the file must contain the setting.
    Required,
    /// The setting stays unset.
    Unset,
    /// The value that this YAML text gives.
    Text(&'static str),
}

/// The declaration of a setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// The setting's key in the file.
    pub name: &'static str,
    /// The name of its type, for the reference page.
    pub type_name: &'static str,
    /// Its value if the file does not contain it.
    pub default: Default,
    /// Its unit; empty if it has none.
    pub unit: &'static str,
    /// The limits of its value.
    pub bounds: Bounds,
    /// Its description on the reference page.
    pub description: &'static str,
}

macro_rules! declare {
    ($($(#[doc = $doc:literal])+ $name:ident: $kind:ty = $default:expr, $unit:literal, $bounds:expr;)+) => {
        /// The settings of an entry node.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Settings {
            $($(#[doc = $doc])+ pub $name: $kind,)+
        }

        /// Every setting, in the order of the reference page.
        pub const SETTINGS: &[Setting] = &[
            $(Setting {
                name: stringify!($name),
                type_name: <$kind as FromYaml>::TYPE,
                default: $default,
                unit: $unit,
                bounds: $bounds,
                description: concat!($($doc),+),
            },)+
        ];

        impl Settings {
            fn read(reader: &mut Reader<'_>) -> Option<Self> {
                // Read all settings first, so that all errors are reported.
                $(let $name = reader.read::<$kind>(stringify!($name));)+
                Some(Self { $($name: $name?,)+ })
            }
        }
    };
}

declare! {
    /// The node's name, unique in the deployment.
    name: Arc<str> = Default::Required, "", Bounds::Length(1, 63);
    /// The data centre that the node runs in.
    data_centre: Arc<str> = Default::Required, "", Bounds::Length(1, 63);
    /// The region of the data centre.
    region: Arc<str> = Default::Required, "", Bounds::Length(1, 63);
    /// The address for callers; port 0 selects any free port.
    caller_address: SocketAddr = Default::Required, "", Bounds::Any;
    /// The address for the other nodes; port 0 selects any free port.
    peer_address: SocketAddr = Default::Required, "", Bounds::Any;
    /// The address for operators; port 0 selects any free port.
    operator_address: SocketAddr = Default::Required, "", Bounds::Any;
    /// The address that lookups return to callers, if it differs from
    /// `caller_address`.
    advertise_caller: Option<SocketAddr> = Default::Unset, "", Bounds::Any;
    /// The addresses of the platform's object API; the first that answers is used.
    platform: Vec<SocketAddr> = Default::Required, "", Bounds::Length(1, 16);
    /// Peer addresses of nodes that a starting node contacts first; if there are
    /// none, the node discovers the others through the platform.
    seeds: Vec<SocketAddr> = Default::Text("[]"), "", Bounds::Length(0, 64);
    /// The number of entry nodes of the deployment when none is being replaced.
    /// Each node's share of a server's slots and connections is computed from it.
    fleet_size: u32 = Default::Text("6"), "nodes", Bounds::Number(1, 10_000);
    /// The number of extra nodes that may run while others are being replaced;
    /// their share of a server's connections is kept free.
    reserve: u32 = Default::Text("1"), "nodes", Bounds::Number(0, 1_000);
    /// How long a caller may cache the answer to a lookup. During a planned stop
    /// the node accepts requests for at least this long.
    keep_ms: u64 = Default::Text("2000"), "ms", Bounds::Number(100, 60_000);
    /// The number of tickets that the node keeps for non-idempotent requests. When
    /// the table is full, such requests are refused as not run.
    ticket_capacity: u32 = Default::Text("65536"), "tickets", Bounds::Number(16, 16_777_216);
    /// How long the outcome of a ticket is kept for resends.
    ticket_keep_ms: u64 = Default::Text("600000"), "ms", Bounds::Number(1_000, 86_400_000);
    /// The number of tickets that one lookup returns.
    ticket_block: u32 = Default::Text("8"), "tickets", Bounds::Number(1, 1_024);
    /// The time limit of a planned stop, counted from the end of `keep_ms`. When it
    /// expires, the node exits even if the stop is incomplete.
    stop_limit_ms: u64 = Default::Text("60000"), "ms", Bounds::Number(1_000, 600_000);
    /// The timeout of a call to the platform. After a write that timed out, the
    /// object is read back.
    platform_timeout_ms: u64 = Default::Text("2000"), "ms", Bounds::Number(10, 60_000);
    /// The maximum rate of the node's calls to the platform.
    platform_calls: u32 = Default::Text("20"), "calls/s", Bounds::Number(1, 1_000);
    /// The number of recent requests whose traces are kept for `explain`.
    explain_capacity: u32 = Default::Text("4096"), "requests", Bounds::Number(0, 1_000_000);
    /// The log filter: a level, or a default level with levels of log targets, such
    /// as `info, peer=debug`.
    log: Arc<str> = Default::Text("info"), "", Bounds::Length(1, 1_000);
    /// The number of threads that serve requests.
    threads: u32 = Default::Text("2"), "threads", Bounds::Number(1, 256);
    /// The seed of all random choices, for reproducible runs; if unset, each start
    /// uses a random seed.
    seed: Option<u64> = Default::Unset, "", Bounds::Any;
}

/// Reads a settings file. All errors are reported together.
pub fn load(path: &Path) -> Result<Settings, Report> {
    let text = std::fs::read_to_string(path).map_err(|error| Report::unreadable(path, &error))?;
    parse(&path.display().to_string(), &text)
}

/// Parses the text of the settings file `file`. All errors are reported together.
pub fn parse(file: &str, text: &str) -> Result<Settings, Report> {
    let mut findings = Vec::new();
    match read(text, &mut findings) {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(Report::new(file, text, findings)),
    }
}

fn read(text: &str, findings: &mut Vec<Finding>) -> Option<Settings> {
    let documents = yaml::documents(text);
    let top = Span { line: 1, column: 1, length: 1 };
    let [document] = documents.as_slice() else {
        let message = format!("expected one document, found {}", documents.len());
        findings.push(Finding { span: top, message });
        return None;
    };
    let tree = document.parse(findings)?;
    let mapping = tree.as_mapping()?;
    report_unknown_keys(mapping, findings);
    Settings::read(&mut Reader { mapping, top, findings })
}

fn report_unknown_keys(mapping: &MarkedMappingNode, findings: &mut Vec<Finding>) {
    let known = |key: &MarkedScalarNode| SETTINGS.iter().any(|s| s.name == key.as_str());
    for key in mapping.keys().filter(|key| !known(key) && !yaml::is_duplicate(key.as_str())) {
        let message = format!("unknown setting `{}`", key.as_str());
        findings.push(Finding { span: yaml::scalar_span(key), message });
    }
}

/// Reads settings from a mapping according to their declarations.
struct Reader<'a> {
    mapping: &'a MarkedMappingNode,
    /// The position at which missing settings are reported.
    top: Span,
    findings: &'a mut Vec<Finding>,
}

impl Reader<'_> {
    fn read<T: FromYaml>(&mut self, name: &str) -> Option<T> {
        let setting = SETTINGS.iter().find(|setting| setting.name == name)?;
        if let Some(node) = self.mapping.get_node(name) {
            let first = self.findings.len();
            let value = T::from_yaml(node, setting.bounds, self.findings);
            for finding in &mut self.findings[first..] {
                finding.message = format!("`{name}`: {}", finding.message);
            }
            return value;
        }
        match setting.default {
            Default::Required => {
                let message = format!("`{name}` is missing");
                self.findings.push(Finding { span: self.top, message });
                None
            }
            Default::Unset => T::default_if_absent(),
            Default::Text(text) => {
                let tree = marked_yaml::parse_yaml(0, format!("{name}: {text}")).ok()?;
                let node = tree.as_mapping()?.get_node(name)?.clone();
                T::from_yaml(&node, setting.bounds, self.findings)
            }
        }
    }
}

/// Generates the settings reference page, in Markdown.
pub fn reference() -> String {
    let mut page = String::from(REFERENCE_HEADER);
    for setting in SETTINGS {
        let default = match setting.default {
            Default::Required => "required".to_string(),
            Default::Unset => "unset".to_string(),
            Default::Text(text) => format!("`{text}`"),
        };
        let unit = if setting.unit.is_empty() { "-" } else { setting.unit };
        let (name, kind, bounds) = (setting.name, setting.type_name, setting.bounds);
        let description = setting.description.trim();
        // Writing to a String can't fail.
        let _ =
            writeln!(page, "| `{name}` | {kind} | {default} | {unit} | {bounds} | {description} |");
    }
    page
}

const REFERENCE_HEADER: &str = "# Settings of an entry node

A process reads one YAML file, whose path is given on its command line.
`heatherseam --check FILE` reports all errors in a file with their positions and
starts nothing; `hsctl settings` prints this page. An unknown key is an error.

| Setting | Type | Default | Unit | Bounds | What it does |
|---|---|---|---|---|---|
";
