"""Limits: credits, admission control, retry budgets, quotas and budgets."""

from sardinestair.limits.admission import AdmissionControl, ServiceLoad
from sardinestair.limits.credits import CreditAccount, CreditLedger
from sardinestair.limits.quota import TeamQuota
from sardinestair.limits.retries import RetryBudget

__all__ = [
    "AdmissionControl",
    "CreditAccount",
    "CreditLedger",
    "ServiceLoad",
    "RetryBudget",
    "TeamQuota",
]
