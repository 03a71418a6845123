"""Validated models of the operators' document and of the bindings."""

import ipaddress
from typing import Annotated

import pydantic

from sapphire_data import records
from sapphire_wire import validation

DEFAULT_BUCKET_COUNT = 1_021
MAX_BUCKET_COUNT = 65_537
MAX_SLOTS = 100_000
MAX_WARM_UP_MS = 3_600_000
MAX_COLD_FLOWS_PER_SECOND = 1_000_000.0
MAX_QUEUE = 1_000_000
MAX_BODY_BYTES = 1_073_741_824
MAX_REQUEST_TIMEOUT_MS = 3_600_000
NAME_PATTERN = r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$"


def _require_prime(value: int) -> int:
    """Returns the value if it is a prime number.

    Raises:
        ValueError: The value is not a prime number.
    """
    divisor = 2
    while divisor * divisor <= value:
        if value % divisor == 0:
            raise ValueError("must be a prime number")
        divisor += 1
    return value


def _require_ip_address(value: str) -> str:
    """Returns an IP address in its canonical form.

    Raises:
        ValueError: The value is not an IP address.
    """
    return str(ipaddress.ip_address(value))


Name = Annotated[
    str, pydantic.StringConstraints(pattern=NAME_PATTERN, strict=True)
]
Address = Annotated[str, pydantic.AfterValidator(_require_ip_address)]
Port = Annotated[int, pydantic.Field(ge=1, le=65_535, strict=True)]
Share = Annotated[float, pydantic.Field(gt=0.0, lt=1.0)]
BucketCount = Annotated[
    int,
    pydantic.Field(ge=2, le=MAX_BUCKET_COUNT, strict=True),
    pydantic.AfterValidator(_require_prime),
]


class DataCentreModel(validation.StrictModel):
    """A data centre: `{state: "in"}` or `{state: "out"}`."""

    state: records.DataCentreState = records.DataCentreState.IN


class UpstreamModel(validation.StrictModel):
    """An upstream of a pool."""

    data_centre: Name
    slots: Annotated[int, pydantic.Field(ge=1, le=MAX_SLOTS, strict=True)] = 1
    cold_flows_per_second: Annotated[
        float, pydantic.Field(gt=0.0, le=MAX_COLD_FLOWS_PER_SECOND)
    ] = 10.0
    warm_up_ms: Annotated[
        int, pydantic.Field(ge=0, le=MAX_WARM_UP_MS, strict=True)
    ] = 30_000
    intent: records.UpstreamIntent = records.UpstreamIntent.SERVE


class LimitsModel(validation.StrictModel):
    """The limits of a service on queued requests, bodies, time and retries."""

    max_queue: Annotated[
        int, pydantic.Field(ge=0, le=MAX_QUEUE, strict=True)
    ] = 64
    max_body_bytes: Annotated[
        int, pydantic.Field(ge=0, le=MAX_BODY_BYTES, strict=True)
    ] = 8_388_608
    request_timeout_ms: Annotated[
        int, pydantic.Field(ge=1, le=MAX_REQUEST_TIMEOUT_MS, strict=True)
    ] = 10_000
    retry_share: Annotated[float, pydantic.Field(ge=0.0, le=1.0)] = 0.1


class ObjectivesModel(validation.StrictModel):
    """The service-level objectives of a service."""

    flows_kept: Share = 0.9999
    requests_answered: Share = 0.999
    move_service: Share = 0.999


class ServiceModel(validation.StrictModel):
    """A service with the upstreams of its pool."""

    buckets: BucketCount = DEFAULT_BUCKET_COUNT
    pool: dict[Name, UpstreamModel]
    limits: LimitsModel = LimitsModel()
    objectives: ObjectivesModel = ObjectivesModel()


class DocumentModel(validation.StrictModel):
    """The operators' document: data centres and services by name."""

    data_centres: dict[Name, DataCentreModel]
    services: dict[Name, ServiceModel]


class ServiceAddressModel(validation.StrictModel):
    """The address and port at which callers reach a service."""

    address: Address
    port: Port


class UpstreamAddressModel(validation.StrictModel):
    """The address of an upstream and its ports for packets and requests."""

    address: Address
    packet_port: Port
    request_port: Port


class BindingsModel(validation.StrictModel):
    """The addresses of services and upstreams in one environment.

    Names that are not in the document are allowed, so that addresses can be
    bound before the document that uses them is promoted.
    """

    services: dict[Name, ServiceAddressModel]
    upstreams: dict[Name, UpstreamAddressModel]
