"""Checks that a change lets no packet stray to another service."""

from sapphire_core.configuration import failures as config_failures
from sapphire_data import failures
from sapphire_data import records


def check_change(
    previous: records.Configuration, proposed: records.Configuration
) -> list[failures.Failure]:
    """Checks the names, addresses and bucket counts of a change.

    Args:
        previous: The configuration in force.
        proposed: The configuration that would replace it.

    Returns:
        All failures.
    """
    errors: list[failures.Failure] = []
    errors.extend(_check_buckets(previous, proposed))
    errors.extend(_check_names(previous, proposed))
    errors.extend(_check_upstream_addresses(previous, proposed))
    errors.extend(_check_service_addresses(previous, proposed))
    return errors


def _check_buckets(
    previous: records.Configuration, proposed: records.Configuration
) -> list[failures.Failure]:
    """Returns a failure for each service whose bucket count changes."""
    errors: list[failures.Failure] = []
    for name, service in proposed.services_by_name.items():
        before = previous.services_by_name.get(name)
        if before is None or before.bucket_count == service.bucket_count:
            continue
        errors.append(
            config_failures.BucketCountChanged(
                service=name,
                current=before.bucket_count,
                proposed=service.bucket_count,
            )
        )
    return errors


def _check_names(
    previous: records.Configuration, proposed: records.Configuration
) -> list[failures.Failure]:
    """Returns a failure for each upstream name that changes its meaning."""
    held_by_name = _places_by_name(previous)
    errors: list[failures.Failure] = []
    for service in proposed.services_by_name.values():
        for upstream in service.upstreams_by_name.values():
            place = _place(service, upstream)
            held = held_by_name.setdefault(upstream.name, place)
            if held == place:
                continue
            errors.append(
                config_failures.UpstreamNameReused(
                    upstream=upstream.name, held_as=held, proposed=place
                )
            )
    return errors


def _places_by_name(configuration: records.Configuration) -> dict[str, str]:
    """Returns the service and address of each upstream."""
    places: dict[str, str] = {}
    for service in configuration.services_by_name.values():
        for upstream in service.upstreams_by_name.values():
            places[upstream.name] = _place(service, upstream)
    return places


def _place(service: records.Service, upstream: records.Upstream) -> str:
    """Returns what an upstream's name must keep standing for."""
    return (
        f"{service.name} {upstream.data_centre} {upstream.address}"
        f" {upstream.packet_port} {upstream.request_port}"
    )


def _check_upstream_addresses(
    previous: records.Configuration, proposed: records.Configuration
) -> list[failures.Failure]:
    """Returns a failure for each packet address with two upstreams."""
    holder_by_address: dict[str, str] = {}
    for service in previous.services_by_name.values():
        for upstream in service.upstreams_by_name.values():
            holder_by_address[_packet_address(upstream)] = upstream.name
    errors: list[failures.Failure] = []
    for service in proposed.services_by_name.values():
        for upstream in service.upstreams_by_name.values():
            address = _packet_address(upstream)
            holder = holder_by_address.setdefault(address, upstream.name)
            if holder == upstream.name:
                continue
            errors.append(
                config_failures.UpstreamAddressHeld(
                    upstream=upstream.name, holder=holder, address=address
                )
            )
    return errors


def _packet_address(upstream: records.Upstream) -> str:
    """Returns the address that packets are sent to."""
    return f"{upstream.address} {upstream.packet_port}"


def _check_service_addresses(
    previous: records.Configuration, proposed: records.Configuration
) -> list[failures.Failure]:
    """Returns a failure for each service address with two services."""
    holder_by_address: dict[str, str] = {}
    for service in previous.services_by_name.values():
        holder_by_address[f"{service.address} {service.port}"] = service.name
    errors: list[failures.Failure] = []
    for service in proposed.services_by_name.values():
        address = f"{service.address} {service.port}"
        holder = holder_by_address.setdefault(address, service.name)
        if holder == service.name:
            continue
        errors.append(
            config_failures.ServiceAddressHeld(
                service=service.name, holder=holder, address=address
            )
        )
    return errors
