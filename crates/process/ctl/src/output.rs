//! Prints results as tables for people, or as JSON lines for programs.
//!
//! Invariant: both formats contain the same facts.

use std::io::Write;

use serde_json::Value;
use serde_json::json;

use crate::command::Format;
use crate::error::Error;
use conf::document;
use conf::object::Object;
use conf::schema;
use rpc::proto;

/// Prints results in one format.
pub struct Printer<'a> {
    format: Format,
    out: &'a mut dyn Write,
}

type PrintResult = Result<(), Error>;

impl<'a> Printer<'a> {
    /// A printer to `out`.
    pub fn new(format: Format, out: &'a mut dyn Write) -> Self {
        Self { format, out }
    }

    /// Prints a text that is the same in both formats.
    pub fn text(&mut self, text: &str) -> PrintResult {
        Ok(writeln!(self.out, "{text}")?)
    }

    fn print(&mut self, table: &str, value: &Value) -> PrintResult {
        match self.format {
            Format::Table => self.text(table.trim_end()),
            Format::Json => self.text(&value.to_string()),
        }
    }

    /// Prints a message.
    pub fn message(&mut self, message: &str) -> PrintResult {
        self.print(message, &json!({"message": message}))
    }

    /// Prints the result of a write.
    pub fn write_result(&mut self, verb: &str, object: &Object) -> PrintResult {
        let mut value = object_to_json(object);
        value["result"] = json!(verb);
        self.print(&format!("{} {verb} at revision {}", object.key, object.revision), &value)
    }

    /// Prints one object; as a table, this is a document that can be applied.
    pub fn object(&mut self, object: &Object) -> PrintResult {
        self.print(&document::to_yaml(object), &object_to_json(object))
    }

    /// Prints a list of objects.
    pub fn objects(&mut self, objects: &[Object]) -> PrintResult {
        let row = |object: &Object| {
            let key = &object.key;
            vec![key.kind.to_string(), key.name.to_string(), object.revision.to_string()]
        };
        let rows = objects.iter().map(row).collect();
        let value = objects.iter().map(object_to_json).collect();
        self.print(&table(&["KIND", "NAME", "REVISION"], rows), &value)
    }

    /// Prints the status of the deployment's nodes.
    pub fn status(&mut self, status: &proto::StatusReply) -> PrintResult {
        let platform = match (status.platform_reachable, status.platform_silent_ms) {
            (true, _) => "answers".to_string(),
            (false, Some(ms)) => format!("has not answered for {ms} ms"),
            (false, None) => "has not answered since the node started".to_string(),
        };
        let leaving = match status.leaving_servers.as_slice() {
            [] => "none".to_string(),
            servers => servers.join(", "),
        };
        let header = ["NODE", "DATA CENTRE", "LIVENESS", "REVISION", "FRESH", "LEAVING", "AGE MS"];
        let text = format!(
            "asked node: {}\nplatform: {platform}\nlowest applied revision: {}\nleaving servers: {leaving}\n\n{}",
            status.node,
            status.lowest_applied_revision,
            table(&header, status.members.iter().map(node_row).collect()),
        );
        let value = json!({
            "node": status.node,
            "platform_reachable": status.platform_reachable,
            "platform_silent_ms": status.platform_silent_ms,
            "lowest_applied_revision": status.lowest_applied_revision,
            "leaving_servers": status.leaving_servers,
            "members": status.members.iter().map(node_to_json).collect::<Vec<_>>(),
        });
        self.print(&text, &value)
    }

    /// Prints the state of a node.
    pub fn dump(&mut self, dump: &proto::DumpReply) -> PrintResult {
        let state: Value = serde_json::from_str(&dump.state_json)
            .unwrap_or_else(|_| Value::from(dump.state_json.clone()));
        let value = json!({"node": dump.node, "state": state});
        self.print(&format!("node: {}\n{state:#}", dump.node), &value)
    }

    /// Prints the trace of one request.
    pub fn trace(&mut self, trace: &str) -> PrintResult {
        self.print(trace, &json!({"trace": trace.lines().collect::<Vec<_>>()}))
    }

    /// Prints the results of an experiment.
    pub fn report(&mut self, report: &proto::ReportReply) -> PrintResult {
        let header = [
            "ARM",
            "POLICY",
            "REQUESTS",
            "P50 MS",
            "P99 MS",
            "COVERAGE",
            "SENDS/SHARD",
            "P99 RATIO",
            "COVERAGE DIFF",
            "LOAD RATIO",
            "STOPPED",
        ];
        let missing = match report.nodes_missing.as_slice() {
            [] => "none".to_string(),
            nodes => nodes.join(", "),
        };
        let text = format!(
            "experiment: {} ({}) on service {}, which values {}\nfrom nodes: {}\nwithout nodes: {missing}\n\n{}\nverdict: {}",
            report.experiment,
            report.stage,
            report.service,
            report.value,
            report.nodes.join(", "),
            table(&header, report.arms.iter().map(arm_row).collect()),
            report.verdict,
        );
        let value = json!({
            "experiment": report.experiment,
            "service": report.service,
            "stage": report.stage,
            "value": report.value,
            "arms": report.arms.iter().map(arm_to_json).collect::<Vec<_>>(),
            "winner": report.winner,
            "verdict": report.verdict,
            "nodes": report.nodes,
            "nodes_missing": report.nodes_missing,
        });
        self.print(&text, &value)
    }
}

/// Converts an object to JSON.
pub fn object_to_json(object: &Object) -> Value {
    json!({
        "kind": object.key.kind.as_str(),
        "name": object.key.name,
        "revision": object.revision,
        "spec": object.spec.as_ref().map(schema::to_json),
    })
}

fn yes_or_no(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_string()
}

fn node_row(node: &proto::Node) -> Vec<String> {
    vec![
        node.name.clone(),
        node.data_centre.clone(),
        node.liveness.clone(),
        node.applied_revision.to_string(),
        yes_or_no(node.fresh),
        yes_or_no(node.leaving),
        node.age_ms.to_string(),
    ]
}

fn node_to_json(node: &proto::Node) -> Value {
    json!({
        "name": node.name,
        "data_centre": node.data_centre,
        "incarnation": node.incarnation,
        "peer_address": node.peer_address,
        "applied_revision": node.applied_revision,
        "fresh": node.fresh,
        "leaving": node.leaving,
        "liveness": node.liveness,
        "age_ms": node.age_ms,
    })
}

fn interval_text(interval: Option<&proto::Interval>) -> String {
    interval.map_or_else(
        || "-".to_string(),
        |i| format!("{:.3} [{:.3}, {:.3}]", i.estimate, i.low, i.high),
    )
}

fn interval_to_json(interval: Option<&proto::Interval>) -> Value {
    interval.map_or(Value::Null, |i| json!({"estimate": i.estimate, "low": i.low, "high": i.high}))
}

fn arm_row(arm: &proto::ArmReport) -> Vec<String> {
    vec![
        arm.name.clone(),
        arm.policy.clone(),
        arm.requests.to_string(),
        format!("{:.2}", arm.p50_ms),
        format!("{:.2}", arm.p99_ms),
        format!("{:.4}", arm.coverage),
        format!("{:.4}", arm.sends_per_shard),
        interval_text(arm.p99_ratio.as_ref()),
        interval_text(arm.coverage_difference.as_ref()),
        interval_text(arm.extra_load_ratio.as_ref()),
        arm.stopped.clone().unwrap_or_else(|| "-".to_string()),
    ]
}

fn arm_to_json(arm: &proto::ArmReport) -> Value {
    json!({
        "name": arm.name,
        "policy": arm.policy,
        "requests": arm.requests,
        "p50_ms": arm.p50_ms,
        "p99_ms": arm.p99_ms,
        "coverage": arm.coverage,
        "sends_per_shard": arm.sends_per_shard,
        "p99_ratio": interval_to_json(arm.p99_ratio.as_ref()),
        "coverage_difference": interval_to_json(arm.coverage_difference.as_ref()),
        "extra_load_ratio": interval_to_json(arm.extra_load_ratio.as_ref()),
        "stopped": arm.stopped,
    })
}

/// Formats rows in columns that are as wide as their widest cell.
fn table(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let header = header.iter().map(ToString::to_string).collect();
    let lines: Vec<Vec<String>> = std::iter::once(header).chain(rows).collect();
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        lines.iter().filter_map(|line| line.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let cells: Vec<String> = cells.collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
