"""Draining an upstream adds a pool generation and keeps the earlier one."""

import dataclasses

from sapphire_core.configuration import data
from sapphire_core.configuration import merge
from sapphire_data import records

upstream_names = ("rota-1", "rota-2")
members = {name: data.PoolMember(name, "tacoma") for name in upstream_names}
service_intent = data.ServiceIntent("rota", 251, members)
data_centres = {"tacoma": records.DataCentre("tacoma")}
document = data.Document("d1", {"rota": service_intent}, data_centres)
upstream_addresses = {
    name: data.UpstreamAddress(f"10.0.1.{n}", 6_080, 8_080)
    for n, name in enumerate(upstream_names, start=1)
}
bindings = data.Bindings(
    "b1", {"rota": data.ServiceAddress("192.0.2.1", 443)}, upstream_addresses
)
first_configuration, _ = merge.next_configuration(
    merge.EMPTY, document, bindings
)
drain = records.UpstreamIntent.DRAIN
members["rota-2"] = dataclasses.replace(members["rota-2"], intent=drain)
second_configuration, errors = merge.next_configuration(
    first_configuration, document, bindings
)
print(second_configuration.services_by_name["rota"].generations, errors)
