//! The check of an experiment: its arms, its guard and its stage.
//!
//! Invariant: what an accepted experiment compares does not change while it
//! runs, and a concluded one does not change at all, so that its report stays
//! true.

use std::collections::BTreeSet;

use super::Check;
use crate::object::Arm;
use crate::object::Experiment;
use crate::object::Kind;
use crate::object::Spec;
use crate::object::Stage;

/// The fewest and the most arms.
const ARMS: std::ops::RangeInclusive<usize> = 2..=16;
/// The largest weight of an arm.
const WEIGHT_LIMIT: u32 = 10_000;

impl Check<'_> {
    pub(super) fn experiment(&mut self, next: &Experiment) {
        self.reference("service", Kind::Service, &next.service);
        self.arms(&next.arms);
        self.guard(next);
        self.winner(next);
        let past = self.catalog.experiment(&self.object.key.name).cloned();
        self.stage(past.as_ref(), next);
        if next.stage == Stage::Running {
            self.running(past.as_ref(), next);
        }
    }

    fn arms(&mut self, arms: &[Arm]) {
        self.within("arms", arms.len(), ARMS);
        let mut names = BTreeSet::new();
        for (index, arm) in arms.iter().enumerate() {
            let path = format!("arms[{index}]");
            self.name(&format!("{path}.name"), &arm.name);
            self.reference(&format!("{path}.policy"), Kind::Policy, &arm.policy);
            self.within(&format!("{path}.weight"), arm.weight, 0..=WEIGHT_LIMIT);
            if !names.insert(&arm.name) {
                self.add(format!("{path}.name"), format!("arm `{}` is named twice", arm.name));
            }
        }
    }

    fn guard(&mut self, next: &Experiment) {
        self.within("guard.p99_ratio", next.guard.p99_ratio, 1.0..=1000.0);
        self.within("guard.coverage_loss_points", next.guard.coverage_loss_points, 0.0..=100.0);
        self.within("guard.least_requests", next.guard.least_requests, 1..=u64::MAX);
    }

    fn winner(&mut self, next: &Experiment) {
        match &next.winner {
            Some(_) if next.stage != Stage::Concluded => {
                self.add("winner", "only a concluded experiment has a winner");
            }
            Some(name) if next.arms.iter().all(|arm| arm.name != *name) => {
                self.add("winner", format!("there is no arm `{name}`"));
            }
            None if next.stage == Stage::Concluded => {
                self.add("winner", "a concluded experiment names its winner");
            }
            _ => {}
        }
    }

    fn stage(&mut self, past: Option<&Experiment>, next: &Experiment) {
        let from = past.map_or(Stage::Draft, |past| past.stage);
        if from == Stage::Concluded && past != Some(next) {
            self.add("stage", "a concluded experiment can't be changed");
        } else if past != Some(next) && !from.may_become(next.stage) {
            let message = format!("can't go from {} to {}", from.as_str(), next.stage.as_str());
            self.add("stage", message);
        }
    }

    fn running(&mut self, past: Option<&Experiment>, next: &Experiment) {
        if next.arms.first().is_some_and(|baseline| baseline.weight == 0) {
            self.add("arms[0].weight", "the baseline needs a weight above 0");
        }
        for (name, spec) in self.catalog.of_kind(Kind::Experiment) {
            let Spec::Experiment(other) = spec else { continue };
            let same = other.service == next.service && other.stage == Stage::Running;
            if same && *name != self.object.key.name {
                let message = format!("experiment `{name}` runs on service `{}`", next.service);
                self.findings.push(super::Issue::new("stage", message));
            }
        }
        if let Some(past) = past.filter(|past| past.stage == Stage::Running) {
            self.unchanged(past, next);
        }
    }

    fn unchanged(&mut self, past: &Experiment, next: &Experiment) {
        if past.service != next.service {
            self.add("service", "can't change while the experiment runs");
        }
        if past.unit != next.unit {
            self.add("unit", "can't change while the experiment runs");
        }
        if past.arms.len() != next.arms.len() {
            self.add("arms", "can't be added or removed while the experiment runs");
        }
        for (index, (was, is)) in past.arms.iter().zip(&next.arms).enumerate() {
            let stopped = is.weight == 0;
            let same = was.name == is.name && was.policy == is.policy;
            if !same || (was.weight != is.weight && !stopped) {
                let message = "can only be stopped (weight 0) while the experiment runs";
                self.add(format!("arms[{index}]"), message);
            }
        }
    }
}
