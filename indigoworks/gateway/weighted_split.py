"""Sharing the requests of a route among services by weight."""

from indigoworks.routes.route import Route


class WeightedSplit:
    """Smooth weighted round robin.

    Two services have their shares right within one after any number of requests; of more, each has
    them exactly after each round of as many requests as the weights add up to.
    """

    def __init__(self) -> None:
        self._credit: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the next request of `route`."""
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
