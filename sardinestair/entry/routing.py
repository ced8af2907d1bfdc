"""Maps requests to routes by host and path prefix."""

from collections.abc import Iterable

from sardinestair.settings.tree import RouteNode

__all__ = ["find_route"]


def find_route(
    routes: Iterable[RouteNode], host: str, path: str
) -> RouteNode | None:
    """Returns the route with the longest matching prefix, or None.

    Args:
        routes: All routes.
        host: Host of the request; a port is ignored.
        path: Path of the request.

    Examples:
        >>> quotes = RouteNode("a.example", "/q/", "quotes", "usual")
        >>> urgent = RouteNode("a.example", "/q/urgent/", "quotes", "urgent")
        >>> find_route([quotes, urgent], "a.example:80", "/q/urgent/1").kind
        'urgent'
        >>> find_route([quotes], "b.example", "/q/1") is None
        True
    """
    hostname = host.partition(":")[0]
    matching = [
        route
        for route in routes
        if route.host == hostname and path.startswith(route.prefix)
    ]
    return max(matching, key=lambda r: len(r.prefix), default=None)
