"""All hosts select the same store followers without exchanging messages."""

from sapphire_core.configuration import store_followers

data_centres = ("tacoma", "salem", "spokane")
data_centre_by_host = {f"h{n}": data_centres[n % 3] for n in range(9)}
followers_before = store_followers.select(data_centre_by_host)
data_centre_by_host.pop(min(followers_before))
print(
    sorted(followers_before),
    sorted(store_followers.select(data_centre_by_host)),
)
