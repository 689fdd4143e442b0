"""Policy documents: the settings that they override, the errors of invalid ones, and the stricter of two."""

import pytest
from bench_free import group, site

from wickvane import parts
from wickvane.config_log.policy_document import Policy, parse_policy
from wickvane.config_log.policy_overrides import apply_policy, differences, strictest
from wickvane.events import Deployment
from wickvane.scheduling.scheduler import Scheduler

GROUPS = ("lookup", "load")
TENANTS = ("acme", "beta")
SETTINGS = site([group(), group(priority_weight=5.0)], tenants=2, retry_budget_window=50_000)


def parsed(text: str) -> Policy:
    return parse_policy(text, GROUPS, TENANTS, SETTINGS)


def applied(text: str) -> Deployment:
    return apply_policy(parsed(text), SETTINGS, GROUPS, TENANTS)


def test_a_policy_overrides_only_the_settings_in_its_document():
    deployment = applied("""policy {
        group "lookup" { target "500ms"; timeout "5s"; value 2.0 }
        tenant "acme" share=0.25
        further free=2 share=0.05
        cold multiple=2.0
    }""")
    assert differences(SETTINGS, deployment, GROUPS, TENANTS) == [
        ("group lookup target", 15_000, 5_000),
        ("group lookup timeout", 75_000, 50_000),
        ("group lookup value", 1.0, 2.0),
        ("tenant acme share", 0.5, 0.25),
        ("further free", 3.0, 2.0),
        ("further share", 0.1, 0.05),
        ("cold multiple", 2.5, 2.0),
    ]
    assert applied("policy") == SETTINGS
    Scheduler(1, deployment)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ('policy { group "lookup" { timeout "9s" } }', "settings' 7500ms (rule 1)"),
        ('policy { group "lookup" { target "6s"; timeout "5s" } }', "a target within the timeout"),
        ('policy { group "other" { value 1.0 } }', "a resource group of the settings: lookup, load"),
        ('policy { group "lookup" { effect "read-only" } }', "expected late, target, timeout, value"),
        ('policy { group "lookup"; group "lookup" }', "a unique name"),
        ('policy { tenant "acme" }', "a property share"),
        ('policy { tenant "acme" share=0.6; tenant "beta" share=0.6 }', "shares whose sum is at most 1"),
        ("policy { further free=4 }", "settings' 3 (rule 7)"),
        ("policy { further share=0.2 }", "settings' 0.1 (rule 7)"),
        ("policy { cold multiple=3.0 }", "settings' 2.5 (rule 4)"),
        ("policy { key-rest 0 }", "key-rest: expected cold, further, group, tenant"),
        ("policy 3", "no value of its own"),
        ("other", "a single node named policy"),
        ("policy {", "not a KDL 2 document"),
        ("/" * 65_537, "longer than 65536"),
    ],
)
def test_the_error_for_an_invalid_document_names_what_was_expected(text, words):
    with pytest.raises(parts.InvalidDocumentError) as error:
        parsed(text)
    assert words in str(error.value)


def test_the_strictest_of_two_deployments_has_the_lower_of_every_bound():
    one = applied('policy { group "load" { value 9.0; timeout "5s" }; further free=1 }')
    other = applied('policy { group "load" { timeout "6s" }; cold multiple=1.5 }')
    lower = strictest(one, other)
    assert lower == strictest(other, one)
    assert (lower.groups[1].priority_weight, lower.groups[1].timeout) == (5.0, 50_000)
    assert (lower.retry_budget_minimum, lower.collapse_multiple) == (1.0, 1.5)
