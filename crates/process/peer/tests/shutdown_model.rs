//! Exhaustive search of the orders of events when three nodes shut down together.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use base::time::Time;
use peer::record::Departure;
use peer::shutdown::Action;
use peer::shutdown::Peer;
use peer::shutdown::Phase;
use peer::shutdown::Settings;
use peer::shutdown::Shutdown;
use peer::shutdown::View;
use wire::id::Incarnation;

const NODES: usize = 3;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Payload {
    Announce(Departure),
    AskToStay,
    StayReply(bool),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    from: usize,
    to: usize,
    payload: Payload,
}

/// All nodes, the departures that each has recorded for the others, and the messages in
/// flight. Time does not advance, so no timeout expires and messages may be delayed by
/// any number of steps.
#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    shutdowns: Vec<Shutdown>,
    known: [[Departure; NODES]; NODES],
    messages: BTreeSet<Message>,
    asking: [Option<usize>; NODES],
}

fn incarnation(node: usize) -> Incarnation {
    Incarnation(node as u64)
}

impl World {
    fn new() -> Self {
        let settings = Settings::default();
        Self {
            shutdowns: (0..NODES).map(|node| Shutdown::new(incarnation(node), &settings)).collect(),
            known: [[Departure::Staying; NODES]; NODES],
            messages: BTreeSet::new(),
            asking: [None; NODES],
        }
    }

    fn view(&self, node: usize) -> View {
        let others = (0..NODES).filter(|other| *other != node);
        let peers = others.map(|other| Peer {
            incarnation: incarnation(other),
            departure: self.known[node][other],
            ready: true,
        });
        View { peers: peers.collect(), running: 0 }
    }

    fn execute(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Announce(peers) => {
                    for peer in peers {
                        let payload = Payload::Announce(self.shutdowns[node].departure());
                        self.messages.insert(Message { from: node, to: peer.0 as usize, payload });
                    }
                }
                Action::AskToStay(peer) => {
                    let to = peer.0 as usize;
                    self.asking[node] = Some(to);
                    self.messages.insert(Message { from: node, to, payload: Payload::AskToStay });
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let Message { from, to, payload } = message;
        self.messages.remove(&message);
        match payload {
            Payload::Announce(sent) => {
                // The answer arrives at once, which loses no generality: what it reports
                // can still become outdated, since other announcements may be late.
                let own = self.shutdowns[to].departure();
                self.known[to][from] = self.known[to][from].max(sent);
                self.known[from][to] = self.known[from][to].max(own);
                self.shutdowns[from].on_announced(incarnation(to), sent, Duration::ZERO);
            }
            Payload::AskToStay => {
                let payload = Payload::StayReply(self.shutdowns[to].grants_stay());
                self.messages.insert(Message { from: to, to: from, payload });
            }
            Payload::StayReply(granted) => {
                self.asking[to] = None;
                let actions =
                    self.shutdowns[to].on_stay_reply(incarnation(from), granted, Time::ZERO);
                self.execute(to, actions);
            }
        }
    }

    /// The asking node stops waiting; the request or reply in flight is dropped.
    fn time_out(&mut self, node: usize, peer: usize) {
        self.asking[node] = None;
        let between = |m: &Message| {
            let is_request = (m.from, m.to, m.payload) == (node, peer, Payload::AskToStay);
            is_request
                || (m.from, m.to) == (peer, node) && matches!(m.payload, Payload::StayReply(_))
        };
        self.messages.retain(|message| !between(message));
        self.shutdowns[node].on_stay_reply(incarnation(peer), false, Time::ZERO);
    }

    fn successors(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        for node in 0..NODES {
            let mut world = self.clone();
            let actions = if world.shutdowns[node].phase() == Phase::Serving {
                world.shutdowns[node].begin(Time::ZERO)
            } else {
                let view = world.view(node);
                world.shutdowns[node].step(Time::ZERO, &view)
            };
            world.execute(node, actions);
            worlds.push(world);
            if let Some(peer) = self.asking[node] {
                let mut world = self.clone();
                world.time_out(node, peer);
                worlds.push(world);
            }
        }
        for message in &self.messages {
            let mut world = self.clone();
            world.deliver(*message);
            worlds.push(world);
        }
        worlds
    }

    fn leaving_count(&self) -> usize {
        self.shutdowns.iter().filter(|shutdown| shutdown.departure() == Departure::Going).count()
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

#[test]
fn one_of_three_nodes_stays_in_every_order() {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([World::new()]);
    let mut most_leaving = 0;
    while let Some(world) = queue.pop_front() {
        for next in world.successors() {
            if !seen.insert(next.fingerprint()) {
                continue;
            }
            assert!(next.leaving_count() < NODES, "all leave after {} states", seen.len());
            most_leaving = most_leaving.max(next.leaving_count());
            queue.push_back(next);
        }
    }
    assert_eq!(most_leaving, NODES - 1, "the others do leave, in {} states", seen.len());
    println!("{} states", seen.len());
}

#[test]
fn all_but_one_leave_in_random_orders() {
    use rand::RngExt;
    use rand::SeedableRng;

    for seed in 0..200 {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new();
        for _ in 0..600 {
            let mut worlds = world.successors();
            let chosen = random.random_range(0..worlds.len());
            world = worlds.swap_remove(chosen);
        }
        assert_eq!(world.leaving_count(), NODES - 1, "seed {seed}");
    }
}
