//! The trace of a query: its events, its actions, and the decisions of its chooser
//! and budget.
//!
//! Invariant: the plan, the events and the decisions together determine every
//! action, so a printed trace can be replayed.
//!
//! The text form starts with the plan as directives (`; key: value`). Each entry
//! follows on a line of its own, with its time and a mark: `>` for an event, `=`
//! for a decision, `<` for an action. Reply bodies are omitted.

use std::time::Duration;

use crate::event::Action;
use crate::event::Event;
use crate::event::Response;
use crate::plan::Plan;
use base::entity::Server;
use base::entity::Shard;
use base::time::Time;
use wire::caller::Reason;
use wire::id::Snapshot;

/// A decision of the chooser or the budget.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The server chosen for a shard.
    Choose {
        /// The shard.
        shard: Shard,
        /// The server, or the reason why there is none.
        choice: Result<Server, Reason>,
    },
    /// No server holds a shard at a snapshot. The opposite is not recorded.
    Mismatched {
        /// The snapshot.
        snapshot: Snapshot,
        /// The shard.
        shard: Shard,
    },
    /// The hedge delay of a server.
    Delay {
        /// The server.
        server: Server,
        /// The delay.
        delay: Duration,
    },
    /// Whether the budget allowed a hedge.
    Hedge(bool),
    /// Whether the budget allowed a retry.
    Retry(bool),
}

/// The content of a trace line.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// An event that the machine handled.
    Event(Event),
    /// A decision that the machine requested.
    Decision(Decision),
    /// An action that the machine emitted.
    Action(Action),
}

/// One line of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The time of the entry.
    pub at: Time,
    /// The content.
    pub entry: Entry,
}

impl Line {
    /// Creates a line for an event, without the body of a reply.
    pub fn with_event(at: Time, event: &Event) -> Self {
        let mut event = event.clone();
        if let Event::Replied { reply, .. } = &mut event {
            reply.body = serde_json::Value::Null;
        }
        Self { at, entry: Entry::Event(event) }
    }

    /// Creates a line for an action, without the results of an answer.
    pub fn with_action(at: Time, action: &Action) -> Self {
        let mut action = action.clone();
        if let Action::Finish(Response::Answer(answer)) = &mut action {
            answer.parts.clear();
        }
        Self { at, entry: Entry::Action(action) }
    }
}

/// The trace of one query.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The plan of the query.
    pub plan: Plan,
    /// The events, decisions and actions, in order.
    pub lines: Vec<Line>,
}
