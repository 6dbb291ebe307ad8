//! What a process that has just started makes of what others tell: the same as one that has run for
//! an hour.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use base::time::Time;
use poison::identity::Identity;
use poison::identity::Parts;
use poison::ledger::Ledger;
use poison::ledger::Standing;
use poison::notice::End;
use poison::notice::Notice;

const HOUR: Duration = Duration::from_secs(3600);

fn request(number: u32) -> Identity {
    let path = format!("/view/{number}");
    Identity::new(&Parts { method: "GET", host: b"h", path: &path, caller: &[], body: b"" })
}

fn notice(rng: &mut ChaCha8Rng, number: u32) -> Notice {
    let end = |server| End { server: number * 10 + server, age_ms: rng.random_range(0..90_000) };
    let ends = (0..4).map(end).collect();
    Notice { identity: request(number), ends, refuted: Vec::new(), trial_age_ms: None }
}

/// Guards against ends from before the start that are all dated to the start, and are taken for an
/// outage: a blocked request would be sent on (review/9).
#[test]
fn new_process_judges_requests_like_an_old_one() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let notices: Vec<Notice> = (0..4).map(|number| notice(&mut rng, number)).collect();
        let start = Time::from_millis(rng.random_range(0..3000));
        let mut ledgers = [(Ledger::new(0.3), start), (Ledger::new(0.3), start + HOUR)];
        for (ledger, start) in &mut ledgers {
            for notice in &notices {
                ledger.on_notice(*start, notice);
            }
        }
        for step in 0..600 {
            let after = Duration::from_millis(step * 500);
            for number in 0..4 {
                let identity = request(number);
                let [new, old] = &ledgers;
                let of = |(ledger, start): &(Ledger, Time)| match ledger
                    .standing(*start + after, identity)
                {
                    Standing::Blocked { until } => ("blocked", until.since(*start)),
                    Standing::Clear => ("clear", Duration::ZERO),
                    Standing::Suspect => ("suspect", Duration::ZERO),
                    Standing::Held => ("held", Duration::ZERO),
                    Standing::TrialDue => ("trial", Duration::ZERO),
                };
                assert_eq!(of(new), of(old), "seed {seed}: request {number} after {after:?}");
            }
        }
    }
}
