//! What a query was told, advised and asked for, line by line.
//!
//! Invariant: a trace is complete: the plan, the events and the advice together
//! determine every action, so a printed trace can be replayed.
//!
//! The text form has directives (`; key: value`) first, then a line for each
//! thing with its time: `>` an event, `=` advice, `<` an action. Found bodies
//! are left out.

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

/// What a chooser or a budget answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Who is asked for a shard.
    Choose {
        /// The shard.
        shard: Shard,
        /// The server, or why there is none.
        choice: Result<Server, Reason>,
    },
    /// No server holds a shard; that one does is not recorded.
    Mismatched {
        /// The snapshot.
        snapshot: Snapshot,
        /// The shard.
        shard: Shard,
    },
    /// How long to wait for a server before a hedge.
    Delay {
        /// The server.
        server: Server,
        /// How long.
        delay: Duration,
    },
    /// Whether the budget allowed a hedge.
    Hedge(bool),
    /// Whether the budget allowed a retry.
    Retry(bool),
}

/// What a line tells.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// Something happened.
    Event(Event),
    /// Something was advised.
    Decision(Decision),
    /// Something was asked for.
    Action(Action),
}

/// One line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When.
    pub at: Time,
    /// What.
    pub what: What,
}

impl Line {
    /// A line about an event, without the body that it may carry.
    pub fn with_event(at: Time, event: &Event) -> Self {
        let mut event = event.clone();
        if let Event::Replied { reply, .. } = &mut event {
            reply.body = serde_json::Value::Null;
        }
        Self { at, what: What::Event(event) }
    }

    /// A line about an action, without the parts of an answer.
    pub fn with_action(at: Time, action: &Action) -> Self {
        let mut action = action.clone();
        if let Action::Finish(Response::Answer(answer)) = &mut action {
            answer.parts.clear();
        }
        Self { at, what: What::Action(action) }
    }
}

/// The trace of one query.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// What it ran by.
    pub plan: Plan,
    /// What came of it, in order.
    pub lines: Vec<Line>,
}
