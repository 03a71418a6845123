"""What responses of a route usually look like: their size and their time.

A host sees no response, only what its caller acknowledges. An error or a
rejection carries little else than its head, so it is far shorter than the
responses that the route's callers ask for.
"""

import collections
import math

from sapphire_core.tagged_flows import data

# A record takes about 1 KB. Routes beyond this number are forgotten, least
# recently used first.
MAX_ROUTES = 256
# Responses after which a mean or a size is taken for usual.
MIN_RESPONSES = 8
# Sizes are counted in classes of a factor of two, up to 1 GB. A size is known
# to within its class.
_SIZE_CLASSES = 31
# The time constant of the shares of the classes. Upstreams that are full reject
# many times as much as they process while callers come back at once, so the
# sizes of some seconds, not of a number of responses, tell what is usual.
SIZE_TIME_CONSTANT_MS = 10_000
# An error is a head and a line or two; the users' upstreams send 121 to 153
# bytes. Routes whose responses are as short tell nothing by their size.
MAX_ERROR_BYTES = 512
# An error is also below this part of the lower edge of the class that holds the
# median, so that small responses of a route of small ones count as usual.
_SHORT_PART = 2
# The weights of sizes grow with time and are then scaled back at once.
_MAX_TOTAL_WEIGHT = 1e12
# The weight of a response time in the mean.
_TIME_WEIGHT = 1 / 16


class _Route:
    """The usual response of one route.

    The shares of the classes of sizes are their weights divided by the total: a
    new size then adds to its class alone, instead of decaying all the others.
    """

    def __init__(self) -> None:
        self.size_weights = [0.0] * _SIZE_CLASSES
        self.total_weight = 0.0
        self.sizes = 0
        self.size_recorded_ms = 0
        self.mean_ms = 0.0
        self.times = 0


class UsualResponses:
    """Usual sizes and times of responses, by the endpoint of their route."""

    def __init__(self) -> None:
        self._routes: collections.OrderedDict[data.Endpoint, _Route] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of routes that are remembered."""
        return len(self._routes)

    def record_size(
        self, endpoint: data.Endpoint, size_bytes: int, now_ms: int
    ) -> None:
        """Records the size of a response that has ended.

        Args:
            endpoint: The endpoint of its route.
            size_bytes: How many bytes the caller acknowledged; above 0.
            now_ms: The current time.
        """
        route = self._get_or_create(endpoint)
        elapsed_ms = max(0, now_ms - route.size_recorded_ms)
        weight = 1 - math.exp(-elapsed_ms / SIZE_TIME_CONSTANT_MS)
        weight = min(weight, 1 / MIN_RESPONSES)
        route.sizes += 1
        if route.sizes <= MIN_RESPONSES:
            weight = 1 / route.sizes
        route.size_recorded_ms = now_ms
        if route.total_weight > _MAX_TOTAL_WEIGHT:
            route.size_weights = [
                each / route.total_weight for each in route.size_weights
            ]
            route.total_weight = 1.0
        # The first size has the weight of all.
        added = 1.0
        if weight < 1:
            added = route.total_weight * weight / (1 - weight)
        size_class = min(size_bytes.bit_length(), _SIZE_CLASSES - 1)
        route.size_weights[size_class] += added
        route.total_weight += added

    def is_short(self, endpoint: data.Endpoint, size_bytes: int) -> bool:
        """Whether a response is far shorter than the median of its route.

        Args:
            endpoint: The endpoint of its route.
            size_bytes: How many bytes the caller acknowledged.

        Returns:
            False while the usual size is not known. As the median holds, it
            is wrong if half of a route's responses are errors for long.
        """
        route = self._routes.get(endpoint)
        if route is None or route.sizes < MIN_RESPONSES:
            return False
        if size_bytes > MAX_ERROR_BYTES:
            return False
        remaining = route.total_weight / 2
        for size_class, weight in enumerate(route.size_weights):
            remaining -= weight
            if remaining <= 0:
                lower_edge = 1 << max(size_class - 1, 0)
                return size_bytes * _SHORT_PART < lower_edge
        return False

    def record_time(self, endpoint: data.Endpoint, time_ms: int) -> None:
        """Records the time until a response began.

        Args:
            endpoint: The endpoint of its route.
            time_ms: The time since the last data of the request.
        """
        route = self._get_or_create(endpoint)
        route.times += 1
        weight = max(1 / route.times, _TIME_WEIGHT)
        route.mean_ms += (time_ms - route.mean_ms) * weight

    def mean_ms(self, endpoint: data.Endpoint) -> float | None:
        """Returns the mean time of a route, None while it is not known.

        Args:
            endpoint: The endpoint of the route.
        """
        route = self._routes.get(endpoint)
        if route is None or route.times < MIN_RESPONSES:
            return None
        return max(route.mean_ms, 1.0)

    def _get_or_create(self, endpoint: data.Endpoint) -> _Route:
        """Returns the record of a route and marks it as used."""
        route = self._routes.get(endpoint)
        if route is None:
            route = self._routes[endpoint] = _Route()
        self._routes.move_to_end(endpoint)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        return route
