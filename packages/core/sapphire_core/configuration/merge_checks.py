"""Checks that a change sends no packet to another service or upstream.

Hosts and upstreams may still use the previous configuration or hold open
flows of it, so names and addresses must not change what they stand for.
"""

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
    """Returns a failure for each upstream name that is bound differently."""
    binding_by_name = _bindings_by_name(previous)
    errors: list[failures.Failure] = []
    for service in proposed.services_by_name.values():
        for upstream in service.upstreams_by_name.values():
            proposed_binding = _binding(service, upstream)
            held_binding = binding_by_name.setdefault(
                upstream.name, proposed_binding
            )
            if held_binding == proposed_binding:
                continue
            errors.append(
                config_failures.UpstreamNameReused(
                    upstream=upstream.name,
                    held_as=held_binding,
                    proposed=proposed_binding,
                )
            )
    return errors


def _bindings_by_name(configuration: records.Configuration) -> dict[str, str]:
    """Returns the binding of each upstream, by the upstream's name."""
    bindings: dict[str, str] = {}
    for service in configuration.services_by_name.values():
        for upstream in service.upstreams_by_name.values():
            bindings[upstream.name] = _binding(service, upstream)
    return bindings


def _binding(service: records.Service, upstream: records.Upstream) -> str:
    """Returns the service, data centre, address and ports of an upstream.

    They must not change while the configuration has the upstream's name.
    """
    return (
        f"{service.name} {upstream.data_centre} {upstream.address}"
        f" {upstream.packet_port} {upstream.request_port}"
    )


def _check_upstream_addresses(
    previous: records.Configuration, proposed: records.Configuration
) -> list[failures.Failure]:
    """Returns a failure for each upstream whose packet address is taken."""
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
    """Returns the address and port that an upstream receives packets at."""
    return f"{upstream.address} {upstream.packet_port}"


def _check_service_addresses(
    previous: records.Configuration, proposed: records.Configuration
) -> list[failures.Failure]:
    """Returns a failure for each service whose address is taken."""
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
