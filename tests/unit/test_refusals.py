"""Tests that every refusal kind has a rule with a remedy."""

import testtools

from dragonflyknot.decisions.calls import Outcome
from dragonflyknot.decisions.refusals import Refusal, rule_of


class RefusalRuleTest(testtools.TestCase):
    """Each kind has a status, an outcome and a message."""

    def test_every_kind_has_a_rule(self) -> None:
        for refusal in Refusal:
            rule = rule_of(refusal)
            self.assertIn(rule.status // 100, (4, 5))
            self.assertTrue(rule.message.endswith('.'))

    def test_gateway_failures_have_unknown_outcome(self) -> None:
        for refusal in Refusal:
            rule = rule_of(refusal)
            if rule.status in {502, 504}:
                self.assertIs(rule.outcome, Outcome.UNKNOWN)
