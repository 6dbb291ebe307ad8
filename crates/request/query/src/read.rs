//! Parses the text form of a trace.
//!
//! Invariant: all invalid lines are collected and reported together. Lines with
//! actions are skipped, since a replay generates them again.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use crate::event::Completion;
use crate::event::Event;
use crate::event::Reply;
use crate::plan::Candidate;
use crate::plan::Plan;
use crate::trace::Decision;
use crate::trace::Entry;
use crate::trace::Line;
use crate::trace::Trace;
use crate::write::NONE;
use base::entity::Attempt;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use conf::object::Preference;
use wire::caller::Reason;
use wire::id::Incarnation;
use wire::id::Snapshot;
use wire::upstream::State;

/// The lines of a trace that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ParseError(
    /// The line numbers (from 1) with their text.
    pub Vec<(usize, String)>,
);

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|(line, text)| writeln!(f, "line {line}: cannot parse `{text}`"))
    }
}

impl FromStr for Trace {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let plan = Plan::new(Incarnation(0), 0, Vec::new(), Time::from_millis(1000));
        let mut trace = Self { plan, lines: Vec::new() };
        let mut errors = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if trace.parse_line(line.trim()).is_none() {
                errors.push((index + 1, line.to_owned()));
            }
        }
        if errors.is_empty() { Ok(trace) } else { Err(ParseError(errors)) }
    }
}

impl Trace {
    fn parse_line(&mut self, text: &str) -> Option<()> {
        if text.is_empty() {
            return Some(());
        }
        if let Some(directive) = text.strip_prefix(';') {
            let (key, value) = directive.split_once(':')?;
            return self.plan.parse_directive(key.trim(), value.trim());
        }
        let mut words = text.split_whitespace();
        let at = time(words.next()?)?;
        let entry = match words.next()? {
            ">" => Entry::Event(event(&mut words)?),
            "=" => Entry::Decision(decision(&mut words)?),
            "<" => return Some(()),
            _ => return None,
        };
        self.lines.push(Line { at, entry });
        words.next().is_none().then_some(())
    }
}

impl Plan {
    fn parse_directive(&mut self, key: &str, value: &str) -> Option<()> {
        let settings = &mut self.settings;
        match key {
            // The title of a file test.
            "case" => {}
            "request" => {
                let (node, request) = value.split_once('-')?;
                self.node = Incarnation(u64::from_str_radix(node, 16).ok()?);
                self.request = u64::from_str_radix(request, 16).ok()?;
            }
            "target" => self.candidates.push(candidate(value)?),
            "deadline" => {
                self.deadline = time(value)?;
                self.soft_deadline = self.soft_deadline.min(self.deadline);
            }
            "value" => match value.strip_prefix("tail ") {
                Some(soft_deadline) => {
                    self.preference = Preference::Tail;
                    self.soft_deadline = time(soft_deadline)?;
                }
                None if value == "coverage" => self.preference = Preference::Coverage,
                None => return None,
            },
            "named_shards" => self.named_shards = value.parse().ok()?,
            "min_version" => self.min_version = value.parse().ok()?,
            "non_idempotent" => self.non_idempotent = value.parse().ok()?,
            "hedge" => settings.hedge = value.parse().ok()?,
            "attempts" => settings.max_attempts = value.parse().ok()?,
            "pause" => settings.pause = duration(value)?,
            "replica_wait" => settings.replica_wait = duration(value)?,
            "restart_left" => settings.restart_left = duration(value)?,
            "way" => settings.network_time = duration(value)?,
            _ => return None,
        }
        Some(())
    }
}

type Words<'a> = std::str::SplitWhitespace<'a>;

fn event(words: &mut Words<'_>) -> Option<Event> {
    Some(match words.next()? {
        "start" => Event::Start,
        "sent" => Event::Sent { attempt: attempt(words.next()?)? },
        "reply" => Event::Replied { attempt: attempt(words.next()?)?, reply: reply(words)? },
        "ended" => {
            Event::Ended { attempt: attempt(words.next()?)?, completion: completion(words)? }
        }
        "timer" => Event::Timer,
        "caller_gone" => Event::CallerGone,
        _ => return None,
    })
}

fn reply(words: &mut Words<'_>) -> Option<Reply> {
    let complete = match words.next()? {
        "whole" => true,
        "cut" => false,
        _ => return None,
    };
    Some(Reply {
        complete,
        attempt_id: optional(words.next()?, |text| text.parse().ok())?,
        snapshot: optional(words.next()?, snapshot)?,
        shard: optional(words.next()?, shard)?,
        body: serde_json::Value::Null,
    })
}

fn completion(words: &mut Words<'_>) -> Option<Completion> {
    Some(match words.next()? {
        "not_sent" => Completion::NotSent(reason(words.next()?)?),
        "unknown" => Completion::Unknown,
        "refused" => {
            let mut retry_after = None;
            let mut state = None;
            while let Some(word) = words.next() {
                match word {
                    "after" => retry_after = Some(duration(words.next()?)?),
                    word => state = Some(State::parse(word)?),
                }
            }
            Completion::Refused { retry_after, state }
        }
        _ => return None,
    })
}

fn decision(words: &mut Words<'_>) -> Option<Decision> {
    let allowed = |word| match word {
        "allowed" => Some(true),
        "denied" => Some(false),
        _ => None,
    };
    Some(match words.next()? {
        "choose" => {
            let shard = shard(words.next()?)?;
            let choice = match words.next()? {
                NONE => Err(reason(words.next()?)?),
                word => Ok(server(word)?),
            };
            Decision::Choose { shard, choice }
        }
        "lacks" => {
            let snapshot = snapshot(words.next()?)?;
            Decision::Mismatched { snapshot, shard: shard(words.next()?)? }
        }
        "delay" => {
            let server = server(words.next()?)?;
            Decision::Delay { server, delay: duration(words.next()?)? }
        }
        "hedge" => Decision::Hedge(allowed(words.next()?)?),
        "retry" => Decision::Retry(allowed(words.next()?)?),
        _ => return None,
    })
}

/// Parses a word that may be [`NONE`]; an outer `None` is an error.
fn optional<T>(word: &str, read: impl Fn(&str) -> Option<T>) -> Option<Option<T>> {
    if word == NONE { Some(None) } else { read(word).map(Some) }
}

fn number(word: &str, prefix: &str) -> Option<u32> {
    word.strip_prefix(prefix)?.parse().ok()
}

fn attempt(word: &str) -> Option<Attempt> {
    number(word, "attempt").map(Attempt::from_u32)
}

fn shard(word: &str) -> Option<Shard> {
    number(word, "shard").map(Shard::from_u32)
}

fn server(word: &str) -> Option<Server> {
    number(word, "server").map(Server::from_u32)
}

fn snapshot(word: &str) -> Option<Snapshot> {
    let (map, version) = word.rsplit_once('@')?;
    Some(Snapshot { version: version.parse().ok()?, map: Arc::from(map) })
}

fn reason(word: &str) -> Option<Reason> {
    serde_json::from_value(serde_json::Value::String(word.to_owned())).ok()
}

/// Parses milliseconds with up to three decimals: `12ms`, `12.3ms`.
fn time(word: &str) -> Option<Time> {
    let word = word.strip_suffix("ms")?;
    let (whole, part) = word.split_once('.').unwrap_or((word, "0"));
    let (whole, part): (u64, u64) = (whole.parse().ok()?, format!("{part:0<3}").parse().ok()?);
    (part < 1000).then(|| Time::from_micros(whole.saturating_mul(1000).saturating_add(part)))
}

fn duration(word: &str) -> Option<Duration> {
    time(word).map(|time| time.since(Time::ZERO))
}

fn candidate(text: &str) -> Option<Candidate> {
    let (name, ranges) = text.split_once(' ')?;
    let mut shards = Vec::new();
    for range in ranges.split(',').filter(|range| *range != NONE) {
        let (first, last) = range.split_once('-').unwrap_or((range, range));
        let (first, last): (u32, u32) = (first.parse().ok()?, last.parse().ok()?);
        shards.extend((first..=last).map(Shard::from_u32));
    }
    Some(Candidate { snapshot: snapshot(name)?, shards: shards.into() })
}
