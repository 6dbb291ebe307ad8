//! Every order in which three nodes can stop together, by exhaustive search.

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
enum Body {
    Announce(Departure),
    Ask,
    Granted(bool),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    from: usize,
    to: usize,
    body: Body,
}

/// All nodes, what each knows of each, and the messages on their way. Time stands
/// still, so no limit ever passes and every delay is possible.
#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    stops: Vec<Shutdown>,
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
            stops: (0..NODES).map(|node| Shutdown::new(incarnation(node), &settings)).collect(),
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

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Announce(peers) => {
                    for peer in peers {
                        let body = Body::Announce(self.stops[node].departure());
                        self.messages.insert(Message { from: node, to: peer.0 as usize, body });
                    }
                }
                Action::AskToStay(peer) => {
                    let to = peer.0 as usize;
                    self.asking[node] = Some(to);
                    self.messages.insert(Message { from: node, to, body: Body::Ask });
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let Message { from, to, body } = message;
        self.messages.remove(&message);
        match body {
            Body::Announce(sent) => {
                // The answer's way is short; the knowledge that it brings grows
                // old all the same, since every other announcement may be late.
                let own = self.stops[to].departure();
                self.known[to][from] = self.known[to][from].max(sent);
                self.known[from][to] = self.known[from][to].max(own);
                self.stops[from].on_announced(incarnation(to), sent, Duration::ZERO);
            }
            Body::Ask => {
                let body = Body::Granted(self.stops[to].grants_stay());
                self.messages.insert(Message { from: to, to: from, body });
            }
            Body::Granted(granted) => {
                self.asking[to] = None;
                let actions = self.stops[to].on_stay_reply(incarnation(from), granted, Time::ZERO);
                self.act(to, actions);
            }
        }
    }

    /// The asker gives up waiting; what is on its way no longer counts.
    fn give_up(&mut self, node: usize, peer: usize) {
        self.asking[node] = None;
        let between = |m: &Message| {
            let asked = (m.from, m.to, m.body) == (node, peer, Body::Ask);
            asked || (m.from, m.to) == (peer, node) && matches!(m.body, Body::Granted(_))
        };
        self.messages.retain(|message| !between(message));
        self.stops[node].on_stay_reply(incarnation(peer), false, Time::ZERO);
    }

    fn next(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        for node in 0..NODES {
            let mut world = self.clone();
            let actions = if world.stops[node].phase() == Phase::Serving {
                world.stops[node].begin(Time::ZERO)
            } else {
                let view = world.view(node);
                world.stops[node].step(Time::ZERO, &view)
            };
            world.act(node, actions);
            worlds.push(world);
            if let Some(peer) = self.asking[node] {
                let mut world = self.clone();
                world.give_up(node, peer);
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

    fn going(&self) -> usize {
        self.stops.iter().filter(|stop| stop.departure() == Departure::Going).count()
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

#[test]
fn one_of_three_stays_named_in_every_order() {
    let mut seen = HashSet::new();
    let mut open = VecDeque::from([World::new()]);
    let mut most_going = 0;
    while let Some(world) = open.pop_front() {
        for next in world.next() {
            if !seen.insert(next.fingerprint()) {
                continue;
            }
            assert!(next.going() < NODES, "all go after {} states", seen.len());
            most_going = most_going.max(next.going());
            open.push_back(next);
        }
    }
    assert_eq!(most_going, NODES - 1, "the others do get to go, in {} states", seen.len());
    println!("{} states", seen.len());
}

#[test]
fn all_but_one_go_whatever_the_turns() {
    use rand::RngExt;
    use rand::SeedableRng;

    for seed in 0..200 {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new();
        for _ in 0..600 {
            let mut worlds = world.next();
            let chosen = random.random_range(0..worlds.len());
            world = worlds.swap_remove(chosen);
        }
        assert_eq!(world.going(), NODES - 1, "seed {seed}");
    }
}
