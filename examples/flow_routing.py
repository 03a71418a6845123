"""A packet of a settled bucket is forwarded directly to its upstream."""

from sapphire_core.flows import router
from sapphire_core.flows import service_versions
from sapphire_data import records

upstream_names = ("rota-1", "rota-2")
upstreams = {
    name: records.Upstream(name, "tacoma", f"10.0.1.{n}", 6_080, 8_080)
    for n, name in enumerate(upstream_names, start=1)
}
generation = records.PoolGeneration(1, upstream_names)
service = records.Service(
    "rota", "192.0.2.1", 443, 251, upstreams, generations=(generation,)
)
data_centres = {"tacoma": records.DataCentre("tacoma")}
configuration = records.Configuration(1, "", {"rota": service}, data_centres)
host = records.HostAddress("h1", "tacoma", "10.0.0.1", 7_000, 7_001)
member = records.Member(host, 1, records.MemberState.ALIVE, 1, since_ms=0)
view = records.MemberView({"h1": member}, True, prepared_everywhere=1)

flow_router = router.Router("h1")
flow_router.set_view(view, 0)
flow_router.prepare(configuration, 0)
service_key = service_versions.service_key(service.address, service.port)
print(flow_router.route(service_key, 12_345, False, False, now_ms=1))
