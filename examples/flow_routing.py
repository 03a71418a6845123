"""A packet of a settled bucket goes straight to its upstream."""

from sapphire_core.flows import router
from sapphire_core.flows import service_versions
from sapphire_data import records

names = ("rota-1", "rota-2")
upstreams = {
    name: records.Upstream(name, "tacoma", f"10.0.1.{n}", 6_080, 8_080)
    for n, name in enumerate(names, start=1)
}
pool = records.PoolGeneration(1, names)
service = records.Service(
    "rota", "192.0.2.1", 443, 251, upstreams, generations=(pool,)
)
centres = {"tacoma": records.DataCentre("tacoma")}
config = records.Configuration(1, "", {"rota": service}, centres)
host = records.HostAddress("h1", "tacoma", "10.0.0.1", 7_000, 7_001)
member = records.Member(host, 1, records.MemberState.ALIVE, 1, since_ms=0)
view = records.MemberView({"h1": member}, True, prepared_everywhere=1)

routes = router.Router("h1")
routes.set_view(view, 0)
routes.prepare(config, 0)
key = service_versions.service_key(service.address, service.port)
print(routes.route(key, 12_345, False, False, now_ms=1))
