"""Draining an upstream adds a pool generation and keeps the earlier one."""

import dataclasses

from sapphire_core.configuration import data
from sapphire_core.configuration import merge
from sapphire_data import records

names = ("rota-1", "rota-2")
members = {name: data.PoolMember(name, "tacoma") for name in names}
rota = data.ServiceIntent("rota", 251, members)
centres = {"tacoma": records.DataCentre("tacoma")}
document = data.Document("d1", {"rota": rota}, centres)
addresses = {
    name: data.UpstreamAddress(f"10.0.1.{n}", 6_080, 8_080)
    for n, name in enumerate(names, start=1)
}
bindings = data.Bindings(
    "b1", {"rota": data.ServiceAddress("192.0.2.1", 443)}, addresses
)
first, _ = merge.next_configuration(merge.EMPTY, document, bindings)
drain = records.UpstreamIntent.DRAIN
members["rota-2"] = dataclasses.replace(members["rota-2"], intent=drain)
second, errors = merge.next_configuration(first, document, bindings)
print(second.services_by_name["rota"].generations, errors)
