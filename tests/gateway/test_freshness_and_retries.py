"""Tests of key freshness and of the retry budget."""

from cardamommill.domain import entrysettings
from cardamommill.gateway.requests import freshness, retrybudget

BOUNDS = entrysettings.Bounds(retry_slack=130)


def test_keys_are_trusted_while_the_confirmation_is_recent():
    fresh = freshness.Freshness(5000)
    assert not fresh.may_accept_keys(0)
    fresh.confirm(1000)
    assert fresh.may_accept_keys(5000)
    assert not fresh.may_accept_keys(5500)


def test_older_confirmation_changes_nothing():
    fresh = freshness.Freshness(5000)
    fresh.confirm(4000)
    fresh.confirm(1000)
    assert fresh.age_ms(4500) == 500


def test_budgets_of_all_nodes_together_keep_to_the_retry_ratio():
    # Each node counts only its own retries, but the sum over all nodes must
    # stay within the ratio and the slack in any window.
    nodes = [retrybudget.RetryBudget(0.2, 10_000, 130, 0.0) for _ in range(6)]
    requests = retries = 0
    for now_ms in range(0, 10_000, 10):
        budget = nodes[(now_ms // 10) % 6]
        budget.request(now_ms)
        requests += 1
        while budget.may_retry(6, now_ms):
            budget.repeat("r", now_ms)
            retries += 1
    assert retries <= 0.2 * requests + 130
    assert retries > 100


def test_reloaded_settings_do_not_forget_retries():
    """A node that reloads its settings would use its share twice."""
    budgets = retrybudget.RetryBudgets(BOUNDS, 0.0, -20_000.0)
    budget = budgets.for_service("llm")
    while budget.may_retry(1, 0.0):
        budget.repeat("r", 0.0)
    budgets.reload(BOUNDS.model_copy(update={"retry_slack": 10.0}))
    assert not budgets.for_service("llm").may_retry(1, 100.0)
    assert budgets.for_service("llm").may_retry(1, 10_100.0)
    budgets.reload(BOUNDS.model_copy(update={"retry_slack": 0.0}))
    assert not budgets.for_service("llm").may_retry(1, 10_100.0)


def test_node_that_restarts_does_not_use_its_share_again():
    """It has forgotten what it sent within the window before its end."""
    started_ms = 5000.0
    sent = requests = 0
    # One life before the restart, and one after it.
    for life_ms, at_ms in ((-20_000.0, 4000.0), (started_ms, 13_999.0)):
        budget = retrybudget.RetryBudgets(BOUNDS, 0.0,
                                          life_ms).for_service("llm")
        for _ in range(100):
            budget.request(at_ms)
            requests += 1
        while budget.may_retry(6, at_ms):
            budget.repeat("r", at_ms)
            sent += 1
    assert sent <= BOUNDS.retry_ratio * requests + BOUNDS.retry_slack / 6
    sent_by_slack = 0
    while budget.may_retry(6, started_ms + 20_000.0):
        budget.repeat("r", started_ms + 20_000.0)
        sent_by_slack += 1
    share = BOUNDS.retry_slack / 6 * retrybudget.SHARE_SAFETY_FACTOR
    assert sent_by_slack == int(share)


def test_retries_outside_the_window_are_not_counted():
    budget = retrybudget.RetryBudget(0.0, 10_000, 10, 0.0)
    for now_ms in range(8):
        assert budget.may_retry(1, now_ms)
        budget.repeat("r", now_ms)
    assert not budget.may_retry(1, 9000)
    assert budget.may_retry(1, 10_010)
