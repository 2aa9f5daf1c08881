"""Find the route of a request by its method and the longest path prefix."""

from collections.abc import Iterable

from dragonflyknot.decisions.document import Route


class RouteTable:
    """Match requests to the routes of one configuration."""

    def __init__(self, routes: Iterable[Route]) -> None:
        """Index the routes by method, longest prefix first."""
        self._routes_by_method: dict[str, list[Route]] = {}
        for route in sorted(routes, key=_prefix_length, reverse=True):
            self._routes_by_method.setdefault(route.method, []).append(route)

    def find(self, method: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self._routes_by_method.get(method, ()):
            if _matches(path, route.prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def _matches(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    remainder = path[len(prefix) :]
    return not remainder or prefix.endswith('/') or remainder[0] == '/'
