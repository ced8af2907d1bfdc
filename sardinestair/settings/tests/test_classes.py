"""Classes that the settings define, and the order that follows."""

from sardinestair.placement import OrderPolicy
from sardinestair.settings import parse_tree
from sardinestair.settings.classes import priorities, resolve_service


def make_tree(*kind_priorities):
    kinds = ", ".join(
        f"k{n}: {{set: {{priority: {priority}}}}}"
        for n, priority in enumerate(kind_priorities)
    )
    return parse_tree(
        "set: {order: urgent_first}\n"
        f"services: {{q: {{zones: {{'*': {{kinds: {{{kinds}}}}}}}}}}}"
    ).ok


def test_each_priority_is_a_class():
    tree = make_tree(0, 2, 2)
    assert priorities(tree, "q", "z") == {0, 2}
    assert resolve_service(tree, "q", "z").order is OrderPolicy.URGENT_FIRST


def test_one_priority_is_served_by_least_slack():
    tree = make_tree(1, 1)
    assert resolve_service(tree, "q", "z").order is OrderPolicy.LEAST_SLACK


def test_other_orders_stay():
    tree = make_tree(0, 1)
    tree.set.order = OrderPolicy.SMALL_FIRST
    assert resolve_service(tree, "q").order is OrderPolicy.SMALL_FIRST
