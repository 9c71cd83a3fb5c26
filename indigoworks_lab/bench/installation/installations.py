"""The two installations of today.

Servers, slots, connections and delays are those of the installations; a delay counts one way.
Scale: the service times are the bench's own choice. They are long enough that one run of the whole
installation at half its capacity stays under a minute of real time.
"""

from dataclasses import replace

from indigoworks_lab.bench.installation.group_shape import GroupShape
from indigoworks_lab.bench.installation.installation import Installation
from indigoworks_lab.bench.installation.service_shape import ServiceShape

AMMAN_SERVICE_MEDIAN_S = 0.040
FIJI_SERVICE_MEDIAN_S = 0.080
SHORT_SERVICE_MEDIAN_S = 0.004

WITHIN_ZONE_S = 0.00005

AMMAN = Installation(
    name="amman",
    tree_file="etc/amman.tree.yaml",
    within_zone_s=WITHIN_ZONE_S,
    between_zones_s=0.0005,
    to_clients_s=0.003,
    services=(
        ServiceShape("catalogue", 15, 2, 100, AMMAN_SERVICE_MEDIAN_S, 0.95),
        ServiceShape("scheduler", 7, 2, 100, AMMAN_SERVICE_MEDIAN_S, 0.5),
        ServiceShape("checkout", 6, 2, 100, AMMAN_SERVICE_MEDIAN_S, 0.2),
    ),
    groups=(
        GroupShape("shop-web", 6),
        GroupShape("shop-mobile", 6),
        GroupShape("stores", 3),
        GroupShape("call-centre", 3),
        GroupShape("reporting", 1),
    ),
    hot_service="catalogue",
    flooding_group="stores",
)

FIJI_CENTRAL = Installation(
    name="fiji",
    tree_file="etc/fiji-central.tree.yaml",
    within_zone_s=WITHIN_ZONE_S,
    between_zones_s=0.0015,
    to_clients_s=0.001,
    services=(
        ServiceShape("roster-view", 20, 4, 130, FIJI_SERVICE_MEDIAN_S, 1.0),
        ServiceShape("shift-desk", 10, 4, 130, FIJI_SERVICE_MEDIAN_S, 0.5),
        ServiceShape("visit-ledger", 6, 4, 130, FIJI_SERVICE_MEDIAN_S, 0.3),
    ),
    groups=(
        GroupShape("agency-suva", 5),
        GroupShape("agency-nausori", 3),
        GroupShape("agency-rakiraki", 2),
        GroupShape("family-portal", 1),
    ),
    hot_service="roster-view",
    flooding_group="agency-rakiraki",
)

AMMAN_SHORT = replace(
    AMMAN,
    name="amman-short",
    services=(ServiceShape("checkout", 6, 2, 100, SHORT_SERVICE_MEDIAN_S, 0.2),),
    hot_service="checkout",
)
"""One service of Amman with a tenth of the service time, at the full rate of requests."""

INSTALLATIONS = {each.name: each for each in (AMMAN, AMMAN_SHORT, FIJI_CENTRAL)}
