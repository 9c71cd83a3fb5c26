"""Splits the requests of a route among services by weight."""

from indigoworks.routes.route import Route


class WeightedSplit:
    """Smooth weighted round robin.

    With two services, the counts deviate from the shares by at most one at any time. With more,
    they are exact after each round of as many requests as the sum of the weights.
    """

    def __init__(self) -> None:
        self._credit: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of `route`."""
        if len(route.services) == 1:
            return route.services[0].service
        names = {each.service for each in route.services}
        credit = self._credit.get(route.name)
        if credit is None or set(credit) != names:
            credit = self._credit[route.name] = dict.fromkeys(names, 0.0)
        total = sum(each.weight for each in route.services)
        for each in route.services:
            credit[each.service] += each.weight
        chosen = max(route.services, key=lambda each: credit[each.service]).service
        credit[chosen] -= total
        return chosen
