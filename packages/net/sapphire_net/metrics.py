"""OpenTelemetry metrics, exposed in the Prometheus text format."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from opentelemetry import metrics as otel_metrics
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
import prometheus_client

Attributes = tuple[tuple[str, str], ...]
ReadValues = Callable[[], Mapping[Attributes, float]]

# Names of attributes follow the semantic conventions of OpenTelemetry.
ATTRIBUTE_ERROR_TYPE = "error.type"
ATTRIBUTE_SERVICE = "sapphirearch.service"
ATTRIBUTE_UPSTREAM = "sapphirearch.upstream"


class Metrics:
    """The metrics of one process.

    Hot paths count in plain integers. Their owners register functions that
    read the integers when the metrics are collected.

    Attributes:
        meter: The OpenTelemetry meter that creates the instruments.
    """

    def __init__(self, service_name: str, instance_id: str) -> None:
        """Creates a meter without instruments.

        Args:
            service_name: The name of the program.
            instance_id: The identity of the host process.
        """
        self._registry = prometheus_client.CollectorRegistry()
        reader = otel_prometheus.PrometheusMetricReader(registry=self._registry)
        resource = resources.Resource.create(
            {
                resources.SERVICE_NAME: service_name,
                resources.SERVICE_INSTANCE_ID: instance_id,
            }
        )
        self._provider = sdk_metrics.MeterProvider(
            metric_readers=[reader], resource=resource
        )
        self.meter: otel_metrics.Meter = self._provider.get_meter(service_name)

    def register_counter(
        self, name: str, unit: str, description: str, read: ReadValues
    ) -> None:
        """Registers a counter that is read when metrics are collected.

        Args:
            name: The name of the instrument, with dots.
            unit: The unit in UCUM notation, such as `By` or `{packet}`.
            description: One sentence on what is counted.
            read: Returns the count of each set of attributes.
        """
        self.meter.create_observable_counter(
            name, [_callback(read)], unit=unit, description=description
        )

    def register_gauge(
        self, name: str, unit: str, description: str, read: ReadValues
    ) -> None:
        """Registers a gauge that is read when metrics are collected.

        Args:
            name: The name of the instrument, with dots.
            unit: The unit in UCUM notation.
            description: One sentence on what is measured.
            read: Returns the value of each set of attributes.
        """
        self.meter.create_observable_gauge(
            name, [_callback(read)], unit=unit, description=description
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shuts the meter down."""
        self._provider.shutdown()


def _callback(
    read: ReadValues,
) -> Callable[
    [otel_metrics.CallbackOptions], Iterable[otel_metrics.Observation]
]:
    """Returns the OpenTelemetry callback that calls a read function."""

    def collect(
        _options: otel_metrics.CallbackOptions,
    ) -> Iterable[otel_metrics.Observation]:
        return [
            otel_metrics.Observation(value, dict(attributes))
            for attributes, value in read().items()
        ]

    return collect
