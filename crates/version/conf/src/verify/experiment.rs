//! The check of an experiment: its arms, its guard and its stage.
//!
//! Invariant: the service, unit and arms of an accepted experiment don't change while
//! it runs, except that an arm may be stopped. A concluded experiment does not change
//! at all, so that its report stays valid.

use std::collections::BTreeSet;

use super::Check;
use crate::object::Arm;
use crate::object::Experiment;
use crate::object::Kind;
use crate::object::Spec;
use crate::object::Stage;

/// The range of the number of arms.
const ARMS: std::ops::RangeInclusive<usize> = 2..=16;
/// The largest weight of an arm.
const MAX_WEIGHT: u32 = 10_000;

impl Check<'_> {
    pub(super) fn check_experiment(&mut self, next: &Experiment) {
        self.check_reference("service", Kind::Service, &next.service);
        self.check_arms(&next.arms);
        self.check_guard(next);
        self.check_winner(next);
        let previous = self.catalog.experiment(&self.object.key.name).cloned();
        self.check_stage(previous.as_ref(), next);
        if next.stage == Stage::Running {
            self.check_running(previous.as_ref(), next);
        }
    }

    fn check_arms(&mut self, arms: &[Arm]) {
        self.check_range("arms", arms.len(), ARMS);
        let mut names = BTreeSet::new();
        for (index, arm) in arms.iter().enumerate() {
            let path = format!("arms[{index}]");
            self.check_name(&format!("{path}.name"), &arm.name);
            self.check_reference(&format!("{path}.policy"), Kind::Policy, &arm.policy);
            self.check_range(&format!("{path}.weight"), arm.weight, 0..=MAX_WEIGHT);
            if !names.insert(&arm.name) {
                self.add_issue(
                    format!("{path}.name"),
                    format!("arm `{}` is named twice", arm.name),
                );
            }
        }
    }

    fn check_guard(&mut self, next: &Experiment) {
        self.check_range("guard.p99_ratio", next.guard.p99_ratio, 1.0..=1000.0);
        self.check_range(
            "guard.coverage_loss_points",
            next.guard.coverage_loss_points,
            0.0..=100.0,
        );
        self.check_range("guard.least_requests", next.guard.least_requests, 1..=u64::MAX);
    }

    fn check_winner(&mut self, next: &Experiment) {
        match &next.winner {
            Some(_) if next.stage != Stage::Concluded => {
                self.add_issue("winner", "only a concluded experiment has a winner");
            }
            Some(name) if next.arms.iter().all(|arm| arm.name != *name) => {
                self.add_issue("winner", format!("there is no arm `{name}`"));
            }
            None if next.stage == Stage::Concluded => {
                self.add_issue("winner", "a concluded experiment names its winner");
            }
            _ => {}
        }
    }

    fn check_stage(&mut self, previous: Option<&Experiment>, next: &Experiment) {
        let from = previous.map_or(Stage::Draft, |previous| previous.stage);
        if from == Stage::Concluded && previous != Some(next) {
            self.add_issue("stage", "a concluded experiment can't be changed");
        } else if previous != Some(next) && !from.may_become(next.stage) {
            let message = format!("can't go from {} to {}", from.as_str(), next.stage.as_str());
            self.add_issue("stage", message);
        }
    }

    fn check_running(&mut self, previous: Option<&Experiment>, next: &Experiment) {
        if next.arms.first().is_some_and(|baseline| baseline.weight == 0) {
            self.add_issue("arms[0].weight", "the baseline needs a weight above 0");
        }
        for (name, spec) in self.catalog.of_kind(Kind::Experiment) {
            let Spec::Experiment(other) = spec else { continue };
            let conflicts = other.service == next.service && other.stage == Stage::Running;
            if conflicts && *name != self.object.key.name {
                let message = format!("experiment `{name}` runs on service `{}`", next.service);
                self.issues.push(super::Issue::new("stage", message));
            }
        }
        if let Some(previous) = previous.filter(|previous| previous.stage == Stage::Running) {
            self.check_unchanged(previous, next);
        }
    }

    fn check_unchanged(&mut self, previous: &Experiment, next: &Experiment) {
        if previous.service != next.service {
            self.add_issue("service", "can't change while the experiment runs");
        }
        if previous.unit != next.unit {
            self.add_issue("unit", "can't change while the experiment runs");
        }
        if previous.arms.len() != next.arms.len() {
            self.add_issue("arms", "can't be added or removed while the experiment runs");
        }
        for (index, (before, after)) in previous.arms.iter().zip(&next.arms).enumerate() {
            let stopped = after.weight == 0;
            let same = before.name == after.name && before.policy == after.policy;
            if !same || (before.weight != after.weight && !stopped) {
                let message = "can only be stopped (weight 0) while the experiment runs";
                self.add_issue(format!("arms[{index}]"), message);
            }
        }
    }
}
